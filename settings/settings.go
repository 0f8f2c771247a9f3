// Package settings reads and checks the settings of one VM.
//
// Settings are YAML. They are checked as a whole before anything starts; each
// fault names the field, its line and the remedy. Secrets come from the
// environment, since VMs have no disks. docs/SETTINGS.md lists each field.
//
// # Usage
//
//	vm, err := settings.Read("vm.yaml")
//	if err != nil { ... } // a settings.Faults
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// VM is the settings of one process.
type VM struct {
	Name             string   `yaml:"name"`
	AvailabilityZone string   `yaml:"availability_zone"`
	Caller           Listener `yaml:"caller"`
	Operator         Listener `yaml:"operator"`
	Peer             Listener `yaml:"peer"`
	// Targets holds the TLS material for targets that are reached by TLS.
	Targets      Targets          `yaml:"targets"`
	Platform     netip.AddrPort   `yaml:"platform"`
	Peers        []netip.AddrPort `yaml:"peers"`
	OperatorKeys []OperatorKey    `yaml:"operator_keys"`
	Limits       Limits           `yaml:"limits"`
	Log          Log              `yaml:"log"`
}

// Listener is where one of the three surfaces listens.
type Listener struct {
	Address netip.AddrPort `yaml:"address"`
	TLS     TLS            `yaml:"tls"`
}

// Targets is how targets are reached.
type Targets struct {
	TLS TLS `yaml:"tls"`
}

// TLS names the environment variables that hold PEM text, or the files.
type TLS struct {
	CertificateEnv  string `yaml:"certificate_env"`
	KeyEnv          string `yaml:"key_env"`
	AuthorityEnv    string `yaml:"authority_env"`
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	AuthorityFile   string `yaml:"authority_file"`
}

// Enabled reports whether any certificate is named.
func (tls TLS) Enabled() bool {
	return tls.CertificateEnv != "" || tls.CertificateFile != ""
}

// OperatorKey is a key for the administration API, as a SHA-256 digest in hex.
type OperatorKey struct {
	Name   string `yaml:"name"`
	Digest string `yaml:"digest"`
}

// Limits bound what one caller can make the process hold.
type Limits struct {
	MaxBodyBytes   int `yaml:"max_body_bytes"`
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	MaxConnections int `yaml:"max_connections"`
	// MaxConnectionsPerAddress bounds connections from one IP address; 0 means no bound.
	MaxConnectionsPerAddress int `yaml:"max_connections_per_address"`
	// RequestDeadline is the longest that a request may run, from its arrival.
	RequestDeadline Span `yaml:"request_deadline"`
	// QueueDeadline is the longest that a request may wait for a target.
	QueueDeadline Span `yaml:"queue_deadline"`
	// StreamSilence is the longest gap between two tokens.
	StreamSilence Span `yaml:"stream_silence"`
	// DrainNotice is how long the health check fails before a planned stop
	// closes the listener; longer than the balancer's interval.
	DrainNotice Span `yaml:"drain_notice"`
	// HeaderDeadline is the longest that a caller may take to send a request.
	HeaderDeadline Span `yaml:"header_deadline"`
}

// Log selects what is logged.
type Log struct {
	Level string `yaml:"level"`
}

// Span is a configured length of time, such as "30s"; what is stored at run
// time are the deadlines made from it.
type Span time.Duration

// UnmarshalYAML reads the textual form. What cannot be read becomes 0, which is
// out of bounds, so that the check names the field and its line.
func (span *Span) UnmarshalYAML(text []byte) error {
	*span = 0
	var value string
	if yaml.Unmarshal(text, &value) != nil {
		return nil
	}
	duration, err := time.ParseDuration(value)
	if err == nil {
		*span = Span(duration)
	}
	return nil
}

// readAddress reads an IP:PORT. What cannot be read stays invalid, which the
// check reports with the field and its line.
func readAddress(address *netip.AddrPort, text []byte) error {
	*address = netip.AddrPort{}
	var value string
	if yaml.Unmarshal(text, &value) != nil {
		return nil
	}
	if parsed, err := netip.ParseAddrPort(value); err == nil {
		*address = parsed
	}
	return nil
}

// After returns the deadline that lies the span after a time.
func (span Span) After(now time.Time) time.Time {
	return now.Add(time.Duration(span))
}

// Defaults returns settings with all optional fields set.
func Defaults() VM {
	return VM{
		Limits: Limits{
			MaxBodyBytes:    4 << 20,
			MaxHeaderBytes:  16 << 10,
			MaxConnections:  20000,
			RequestDeadline: Span(60 * time.Second),
			QueueDeadline:   Span(10 * time.Second),
			StreamSilence:   Span(2 * time.Second),
			DrainNotice:     Span(3 * time.Second),
			HeaderDeadline:  Span(10 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// OperatorKeyEnv holds an operator key's digest in place of operator_keys.
const OperatorKeyEnv = "BRAMLEYGW_OPERATOR_KEY_DIGEST"

// Fault is one thing wrong in the settings.
type Fault struct {
	Field  string
	Line   int
	Remedy string
}

// String returns the fault as one line.
func (fault Fault) String() string {
	if fault.Line == 0 {
		return fmt.Sprintf("%s: %s", fault.Field, fault.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s", fault.Line, fault.Field, fault.Remedy)
}

// Faults is all that is wrong in the settings.
type Faults []Fault

// Error implements error.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Read reads and checks a file.
func Read(path string) (VM, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return VM{}, errors.Wrap(err, "read settings; name a readable file with --settings")
	}
	return Parse(text)
}

// Parse checks settings text. The error is a Faults, or the YAML parser's.
func Parse(text []byte) (VM, error) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return VM{}, syntaxFault(err)
	}
	vm := Defaults()
	if err := yaml.UnmarshalWithOptions(text, &vm, yaml.Strict(), yaml.CustomUnmarshaler(readAddress)); err != nil {
		return VM{}, syntaxFault(err)
	}
	if digest := os.Getenv(OperatorKeyEnv); digest != "" {
		vm.OperatorKeys = append(vm.OperatorKeys, OperatorKey{Name: "environment", Digest: digest})
	}
	if faults := check(vm); len(faults) > 0 {
		for i := range faults {
			faults[i].Line = lineOf(file, faults[i].Field)
		}
		return VM{}, faults
	}
	return vm, nil
}

func syntaxFault(err error) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return Faults{{Field: "settings", Remedy: err.Error() + "; docs/SETTINGS.md shows the form of each field"}}
	}
	found := located.GetToken()
	return Faults{{Field: found.Value, Line: found.Position.Line, Remedy: located.GetMessage() + "; docs/SETTINGS.md lists the fields"}}
}

// lineOf returns the line of a field, or of its nearest parent in the file.
func lineOf(file *ast.File, field string) int {
	for field != "" {
		if path, err := yaml.PathString("$." + field); err == nil {
			if node, err := path.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 0
}
