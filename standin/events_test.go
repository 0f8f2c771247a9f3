package standin

import (
	"bufio"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/bramleygw/bramleygw/prefix"
)

func TestCacheEventsAreNumberedWithGaps(t *testing.T) {
	engine := &Engine{Model: "m", Weights: "w1", Blocks: 2}
	if err := engine.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	engine.cache.use([]prefix.Hash{1})
	engine.LoseEvents(1)
	engine.cache.use([]prefix.Hash{2}) // its event is dropped
	engine.cache.use([]prefix.Hash{3}) // evicts 1
	response, err := http.Get("http://" + engine.Addr().String() + "/v1/cache_events")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var got []string
	for lines := bufio.NewScanner(response.Body); len(got) < 3 && lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			got = append(got, id)
		}
	}
	if want := "[1 3 4]"; fmt.Sprint(got) != want {
		t.Errorf("got events %v, want %s", got, want)
	}
}

func TestAnswerIsDeterministic(t *testing.T) {
	want := Answer("m", "w1", []byte("prompt"), 16)
	if got := Answer("m", "w1", []byte("prompt"), 16); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for _, other := range []string{Answer("n", "w1", []byte("prompt"), 16), Answer("m", "w2", []byte("prompt"), 16), Answer("m", "w1", []byte("other"), 16)} {
		if other == want {
			t.Errorf("got the same answer for another model, weights or prompt")
		}
	}
}
