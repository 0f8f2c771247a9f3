// Package settings reads and checks the settings of one VM.
//
// Settings are YAML. All of them are checked before anything starts; each fault
// gives the field, its line and the remedy. Secrets are read from the environment,
// since VMs have no disks. docs/SETTINGS.md lists all fields.
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

// VM contains the settings of one process.
type VM struct {
	Name             string   `yaml:"name"`
	AvailabilityZone string   `yaml:"availability_zone"`
	Caller           Listener `yaml:"caller"`
	Operator         Listener `yaml:"operator"`
	Peer             Listener `yaml:"peer"`
	// Targets contains the certificate and keys for targets that use TLS.
	Targets      Targets          `yaml:"targets"`
	Platform     netip.AddrPort   `yaml:"platform"`
	Peers        []netip.AddrPort `yaml:"peers"`
	OperatorKeys []OperatorKey    `yaml:"operator_keys"`
	Limits       Limits           `yaml:"limits"`
	Log          Log              `yaml:"log"`
}

// Listener is the address and TLS configuration of one of the three listeners: for
// callers, for operators and for other VMs (peers).
type Listener struct {
	Address netip.AddrPort `yaml:"address"`
	TLS     TLS            `yaml:"tls"`
}

// Targets configures connections to targets.
type Targets struct {
	TLS TLS `yaml:"tls"`
}

// TLS names the environment variables that contain PEM text, or the files. An
// environment variable takes precedence over a file.
type TLS struct {
	CertificateEnv  string `yaml:"certificate_env"`
	KeyEnv          string `yaml:"key_env"`
	AuthorityEnv    string `yaml:"authority_env"`
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	AuthorityFile   string `yaml:"authority_file"`
}

// Enabled reports whether a certificate is configured.
func (tls TLS) Enabled() bool {
	return tls.CertificateEnv != "" || tls.CertificateFile != ""
}

// OperatorKey is a key for the operator API, given as its SHA-256 digest in hex.
type OperatorKey struct {
	Name   string `yaml:"name"`
	Digest string `yaml:"digest"`
}

// Limits bound the resources that one caller can make the process use.
type Limits struct {
	MaxBodyBytes   int `yaml:"max_body_bytes"`
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	MaxConnections int `yaml:"max_connections"`
	// MaxConnectionsPerAddress limits the connections from one IP address; 0 means no
	// limit.
	MaxConnectionsPerAddress int `yaml:"max_connections_per_address"`
	// RequestDeadline is the maximum duration of a request, measured from its
	// arrival.
	RequestDeadline Span `yaml:"request_deadline"`
	// QueueDeadline is the maximum time for which a request may wait for a target.
	QueueDeadline Span `yaml:"queue_deadline"`
	// StreamSilence is the maximum time between two tokens of a stream.
	StreamSilence Span `yaml:"stream_silence"`
	// DrainNotice is how long the health check reports failure before a planned stop
	// closes the listener. It must be longer than the load balancer's check interval.
	DrainNotice Span `yaml:"drain_notice"`
	// HeaderDeadline is the maximum time that a caller may take to send a request.
	HeaderDeadline Span `yaml:"header_deadline"`
}

// Log configures logging.
type Log struct {
	Level string `yaml:"level"`
}

// Span is a configured duration, such as "30s". At run time, the deadlines
// calculated from it are stored, never the duration.
type Span time.Duration

// UnmarshalYAML parses the textual form. Invalid text results in 0, which is out
// of bounds, so that check reports the field and its line.
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

// parseAddress parses an IP:PORT. Invalid text results in an invalid address,
// which check reports with the field and its line.
func parseAddress(address *netip.AddrPort, text []byte) error {
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

// After returns the deadline one span after now.
func (span Span) After(now time.Time) time.Time {
	return now.Add(time.Duration(span))
}

// Defaults returns settings with the default of each optional field.
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

// OperatorKeyEnv is the environment variable with the digest of an operator key. It
// can replace operator_keys; if both are given, all the keys are valid.
const OperatorKeyEnv = "BRAMLEYGW_OPERATOR_KEY_DIGEST"

// Fault is one error in the settings. Line is 0 if the field is not in the file.
type Fault struct {
	Field  string
	Line   int
	Remedy string
}

// String formats the fault as one line.
func (fault Fault) String() string {
	if fault.Line == 0 {
		return fmt.Sprintf("%s: %s", fault.Field, fault.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s", fault.Line, fault.Field, fault.Remedy)
}

// Faults contains all errors in the settings.
type Faults []Fault

// Error implements error.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Read reads, parses and checks a settings file.
func Read(path string) (VM, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return VM{}, errors.Wrap(err, "read settings; name a readable file with --settings")
	}
	return Parse(text)
}

// Parse parses and checks settings text. The error is always a Faults.
func Parse(text []byte) (VM, error) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return VM{}, syntaxFault(err)
	}
	vm := Defaults()
	if err := yaml.UnmarshalWithOptions(text, &vm, yaml.Strict(), yaml.CustomUnmarshaler(parseAddress)); err != nil {
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

// syntaxFault converts an error of the YAML parser to Faults.
func syntaxFault(err error) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) || yamlErr.GetToken() == nil {
		return Faults{{Field: "settings", Remedy: err.Error() + "; docs/SETTINGS.md shows the form of each field"}}
	}
	token := yamlErr.GetToken()
	return Faults{{Field: token.Value, Line: token.Position.Line, Remedy: yamlErr.GetMessage() + "; docs/SETTINGS.md lists the fields"}}
}

// lineOf returns the line of the field or, if the file lacks it, of its closest
// parent in the file. It returns 0 if there is none.
func lineOf(file *ast.File, field string) int {
	for field != "" {
		if path, err := yaml.PathString("$." + field); err == nil {
			if node, err := path.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		end := strings.LastIndexAny(field, ".[")
		if end < 0 {
			break
		}
		field = field[:end]
	}
	return 0
}
