package objects_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/standin"
)

type spec struct {
	Value int `json:"value"`
}

// startPlatform starts an endpoint of the platform and returns a client of the
// endpoint and the endpoint itself.
func startPlatform(t *testing.T, platform *standin.Platform) (*objects.Client, *standin.Endpoint) {
	t.Helper()
	server, err := platform.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Stop)
	client := objects.New(server.Addr())
	t.Cleanup(client.Close)
	return client, server
}

func TestClientOperations(t *testing.T) {
	client, _ := startPlatform(t, &standin.Platform{})
	ctx := t.Context()
	created, err := client.Create(ctx, objects.Configs, "a", spec{1})
	if err != nil {
		t.Fatal(err)
	}
	changed, err := client.Update(ctx, objects.Configs, "a", created.Metadata.ResourceVersion, spec{2})
	if err != nil || changed.Metadata.ResourceVersion <= created.Metadata.ResourceVersion {
		t.Fatalf("got %+v %v, want a higher version than %s", changed, err, created.Metadata.ResourceVersion)
	}
	old := created.Metadata.ResourceVersion
	cases := []struct {
		name string
		act  func() error
		want error
	}{
		{"create an object that exists", func() error { _, err := client.Create(ctx, objects.Configs, "a", spec{3}); return err }, objects.ErrExists},
		{"update an old version", func() error { _, err := client.Update(ctx, objects.Configs, "a", old, spec{3}); return err }, objects.ErrConflict},
		{"delete an old version", func() error { return client.Delete(ctx, objects.Configs, "a", old) }, objects.ErrConflict},
		{"get a missing object", func() error { _, err := client.Get(ctx, objects.Configs, "b"); return err }, objects.ErrNotFound},
		{"update a missing object", func() error { _, err := client.Update(ctx, objects.Configs, "b", old, spec{3}); return err }, objects.ErrNotFound},
		{"same name in another collection", func() error { _, err := client.Create(ctx, objects.Claims, "a", spec{3}); return err }, nil},
	}
	for _, test := range cases {
		if err := test.act(); !errors.Is(err, test.want) && (err != nil || test.want != nil) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
	list, err := client.List(ctx, objects.Configs)
	if err != nil || len(list.Items) != 1 || string(list.Items[0].Spec) != `{"value":2}` {
		t.Errorf("got %+v %v, want one object, with the update", list, err)
	}
}

func TestCallErrors(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*standin.Endpoint)
		want  error
		// created reports whether the creation takes effect in spite of the error.
		created bool
	}{
		{"answer lost after the change", func(server *standin.Endpoint) { server.LoseAnswers.Store(1) }, objects.ErrUnknown, true},
		{"call lost before the change", func(server *standin.Endpoint) { server.LoseCalls.Store(1) }, objects.ErrUnknown, false},
		{"outage", func(server *standin.Endpoint) { server.Disconnect() }, objects.ErrUnavailable, false},
		{"answer after the deadline", func(server *standin.Endpoint) { server.Delay.Store(int64(1500 * time.Millisecond)) }, objects.ErrUnknown, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			platform := &standin.Platform{}
			client, server := startPlatform(t, platform)
			other, _ := startPlatform(t, platform)
			test.fault(server)
			_, err := client.Create(t.Context(), objects.Claims, "a", spec{1})
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			for deadline := time.Now().Add(10 * time.Second); ; {
				_, err = other.Get(t.Context(), objects.Claims, "a")
				if (err == nil) == test.created {
					return
				}
				if time.Now().After(deadline) {
					t.Fatalf("got created=%t, want %t", err == nil, test.created)
				}
			}
		})
	}
}

// Guards against answers with heads that no answer may have, which count as proper ones.
func TestMalformedHeadsCarryNoObjects(t *testing.T) {
	for name, head := range map[string]string{"status": "HTTP/1.1 000 OK\r\n", "field name": "HTTP/1.1 200 OK\r\nX-A : b\r\n"} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				standin.WriteRaw(writer, head+"Content-Length: 3\r\n\r\n{}\n")
			}))
			defer server.Close()
			client := objects.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
			defer client.Close()
			if object, err := client.Get(t.Context(), objects.Configs, "a"); !errors.Is(err, objects.ErrUnknown) {
				t.Errorf("got %+v, %v, want ErrUnknown", object, err)
			}
			err := client.Watch(t.Context(), objects.Configs, 1, func(event objects.WatchEvent) error {
				t.Errorf("got event %+v, want none", event)
				return nil
			})
			if !errors.Is(err, objects.ErrUnknown) {
				t.Errorf("got %v from a watch, want ErrUnknown", err)
			}
		})
	}
}

func TestReadsAboveRateAreThrottled(t *testing.T) {
	client, _ := startPlatform(t, &standin.Platform{ReadsPerSecond: 5})
	throttled := false
	for range 30 {
		_, err := client.List(t.Context(), objects.Configs)
		throttled = throttled || errors.Is(err, objects.ErrThrottled)
	}
	if !throttled {
		t.Error("got no ErrThrottled above the rate, want one")
	}
}

func TestWatchReportsEachChangeOnce(t *testing.T) {
	client, _ := startPlatform(t, &standin.Platform{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first, err := client.Create(ctx, objects.Configs, "before", spec{0})
	if err != nil {
		t.Fatal(err)
	}
	const changes = 50
	var writer sync.WaitGroup
	defer writer.Wait() // a failed write must be reported before the test ends
	writer.Go(func() {
		for i := range changes {
			// The watch may report the last change before its write has been
			// answered.
			if _, err := client.Create(t.Context(), objects.Configs, string(rune('a'+i/26))+string(rune('a'+i%26)), spec{i}); err != nil {
				t.Errorf("write %d: got %v", i, err)
			}
		}
	})
	next := 0
	done := errors.New("done")
	err = client.Watch(ctx, objects.Configs, first.Metadata.ResourceVersion, func(event objects.WatchEvent) error {
		if event.Type == objects.Bookmark {
			return nil
		}
		var got spec
		if err := json.Unmarshal(event.Object.Spec, &got); err != nil {
			return err
		}
		if got.Value != next {
			t.Errorf("got change %d, want %d", got.Value, next)
		}
		if next++; next == changes {
			return done
		}
		return nil
	})
	if !errors.Is(err, done) {
		t.Errorf("got %v, want all changes", err)
	}
}

func TestWatchOfOldVersionReturnsErrGone(t *testing.T) {
	platform := &standin.Platform{}
	client, _ := startPlatform(t, platform)
	for _, name := range []string{"a", "b"} {
		if _, err := client.Create(t.Context(), objects.Configs, name, spec{1}); err != nil {
			t.Fatal(err)
		}
	}
	platform.CompactHistory()
	err := client.Watch(t.Context(), objects.Configs, 1, func(objects.WatchEvent) error { return nil })
	if !errors.Is(err, objects.ErrGone) {
		t.Errorf("got %v, want %v", err, objects.ErrGone)
	}
}

func TestWatchFailsDuringOutage(t *testing.T) {
	client, server := startPlatform(t, &standin.Platform{})
	err := client.Watch(t.Context(), objects.Configs, 0, func(objects.WatchEvent) error {
		server.Disconnect()
		return nil
	})
	if err == nil || errors.Is(err, objects.ErrGone) {
		t.Errorf("got %v, want a connection error", err)
	}
}

// Guards against VMs that stop following a collection because one of its objects cannot be
// decoded.
func TestOddObjectLeavesTheOthers(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	const sound = `{"metadata":{"name":"b","resourceVersion":"3"},"spec":{"value":1}}`
	for name, odd := range map[string]string{
		"deeply nested":        `{"metadata":{"name":"a","resourceVersion":"2"},"spec":` + deep + `}`,
		"time of another type": `{"metadata":{"name":"a","resourceVersion":"2","creationTimestamp":7},"spec":{"value":1}}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				text := `{"metadata":{"resourceVersion":"3"},"items":[` + odd + `,` + sound + `]}`
				if request.URL.Query().Has("watch") {
					text = `{"type":"MODIFIED","object":` + odd + "}\n" + `{"type":"MODIFIED","object":` + sound + "}\n"
				}
				_, _ = writer.Write([]byte(text)) // fails if the client has disconnected
			}))
			defer server.Close()
			client := objects.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
			defer client.Close()
			list, err := client.List(t.Context(), objects.Configs)
			if err != nil || len(list.Items) != 2 || list.Items[1].Metadata.Name != "b" || list.Metadata.ResourceVersion != 3 {
				t.Errorf("got %d objects at version %v and %v, want 2 at version 3", len(list.Items), list.Metadata.ResourceVersion, err)
			}
			got := ""
			_ = client.Watch(t.Context(), objects.Configs, 1, func(event objects.WatchEvent) error { // ends with the answer
				got += event.Object.Metadata.Name + "@" + event.Object.Metadata.ResourceVersion.String() + " "
				return nil
			})
			if want := "a@2 b@3 "; got != want {
				t.Errorf("got the events %q, want %q", got, want)
			}
		})
	}
}
