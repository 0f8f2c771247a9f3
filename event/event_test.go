package event

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

func TestMarkdownMatchesDocs(t *testing.T) {
	want, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if got := Markdown(); got != string(want) {
		t.Errorf("docs/EVENTS.md differs from the catalogue; run make events\ngot:\n%s", got)
	}
}

func TestEventNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}
	for _, event := range All() {
		if other, ok := seen[event.Number]; ok {
			t.Errorf("got number %d for %s and %s, want each once", event.Number, other, event.Name)
		}
		seen[event.Number] = event.Name
	}
}

func TestEmitWritesNumberAndFields(t *testing.T) {
	var output bytes.Buffer
	log := New(&output, "vm-1", LevelInfo)
	log.Emit(PlatformDown, F("attempt", 3))
	log.Emit(RightTaken) // below the level
	got := output.String()
	for _, want := range []string{`"event":301`, `"attempt":3`, `"vm":"vm-1"`} {
		if !strings.Contains(got, want) {
			t.Errorf("got %s, want it to contain %s", got, want)
		}
	}
	if strings.Contains(got, "config_applied") {
		t.Errorf("got %s, want no event below the level", got)
	}
}
