package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const validSettings = `name: vm-1
availability_zone: a
caller:
  address: 127.0.0.1:8080
operator:
  address: 127.0.0.1:8081
peer:
  address: 127.0.0.1:8082
platform: 127.0.0.1:9000
peers:
  - 127.0.0.2:8082
operator_keys:
  - name: anna
    digest: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
limits:
  queue_deadline: 5s
`

func TestParseValidSettings(t *testing.T) {
	vm, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := time.Duration(vm.Limits.QueueDeadline), 5*time.Second; got != want {
		t.Errorf("got a queue deadline of %v, want %v", got, want)
	}
	if got, want := time.Duration(vm.Limits.RequestDeadline), 60*time.Second; got != want {
		t.Errorf("got a request deadline of %v, want the default %v", got, want)
	}
}

func TestFaultsNameFieldLineAndRemedy(t *testing.T) {
	cases := []struct {
		name, old, new string
		field          string
		line           int
	}{
		{"no name", "name: vm-1\n", "", "name", 0},
		{"no zone", "availability_zone: a\n", "", "availability_zone", 0},
		{"unknown field", "platform:", "platfrom:", "platfrom", 9},
		{"bad address", "127.0.0.1:8080", "localhost:8080", "caller.address", 4},
		{"two listeners on one address", "127.0.0.1:8081", "127.0.0.1:8080", "operator.address", 6},
		{"short digest", "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", "abc", "operator_keys[0].digest", 14},
		{"duration without unit", "5s", "5", "limits.queue_deadline", 16},
		{"duration out of bounds", "5s", "500h", "limits.queue_deadline", 16},
		{"TLS key without certificate", "  address: 127.0.0.1:8080", "  address: 127.0.0.1:8080\n  tls:\n    key_env: K", "caller.tls", 6},
		{"not YAML", "name: vm-1", "name: [", "", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(validSettings, test.old) {
				t.Fatalf("%q is not in the valid settings", test.old)
			}
			_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			var faults Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("got %v, want faults", err)
			}
			got := faults[0]
			if test.field != "" && got.Field != test.field || test.line != 0 && got.Line != test.line || got.Remedy == "" {
				t.Errorf("got %+v, want field %q at line %d with a remedy", got, test.field, test.line)
			}
		})
	}
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	_, err := Parse([]byte("name: x\n"))
	var faults Faults
	if !errors.As(err, &faults) || len(faults) < 5 {
		t.Errorf("got %v, want at least 5 faults, one for each missing field", err)
	}
}

func TestOperatorKeyFromEnvironment(t *testing.T) {
	text := strings.Split(validSettings, "operator_keys")[0]
	if _, err := Parse([]byte(text)); err == nil {
		t.Fatal("got success without an operator key, want a fault")
	}
	t.Setenv(OperatorKeyEnv, strings.Repeat("0a", 32))
	if _, err := Parse([]byte(text)); err != nil {
		t.Errorf("got %v, want success with the key from the environment", err)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add(validSettings)
	f.Add("name: [")
	f.Add("limits:\n  queue_deadline: -1s")
	f.Add("a: &a [*a]")
	f.Fuzz(func(t *testing.T, text string) {
		vm, err := Parse([]byte(text))
		if err == nil && (vm.Name == "" || !vm.Platform.IsValid()) {
			t.Errorf("got settings without a name or platform from %q", text)
		}
	})
}
