// Package certificate loads TLS certificates and follows their rotation.
//
// Certificates come from the environment, since VMs have no disks, or from
// files that an agent of the platform replaces. Files are read again at a
// handshake when they have changed, so that rotation needs no restart.
//
// # Usage
//
//	source, err := certificate.Open(settings.Caller.TLS)
//	listener = tls.NewListener(listener, source.Server())
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/settings"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Source holds the current certificate and authorities. It is safe for
// concurrent use.
type Source struct {
	settings settings.TLS

	mu          sync.Mutex // guards the fields below
	certificate *tls.Certificate
	authorities *x509.CertPool
	modified    time.Time
	checked     time.Time
}

// Open loads the certificate that the settings name.
func Open(named settings.TLS) (*Source, error) {
	source := &Source{settings: named}
	if err := source.load(); err != nil {
		return nil, err
	}
	return source, nil
}

func (source *Source) load() error {
	certificate, err := read(source.settings.CertificateEnv, source.settings.CertificateFile)
	if err != nil {
		return errors.Wrap(err, "read the certificate; check certificate_env or certificate_file")
	}
	key, err := read(source.settings.KeyEnv, source.settings.KeyFile)
	if err != nil {
		return errors.Wrap(err, "read the key; check key_env or key_file")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return errors.Wrap(err, "the certificate and key do not fit; give both in PEM form")
	}
	authorities, err := source.readAuthorities()
	if err != nil {
		return err
	}
	source.certificate = &pair
	source.authorities = authorities
	source.modified = source.modifiedAt()
	return nil
}

func (source *Source) readAuthorities() (*x509.CertPool, error) {
	if source.settings.AuthorityEnv == "" && source.settings.AuthorityFile == "" {
		return nil, nil
	}
	text, err := read(source.settings.AuthorityEnv, source.settings.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority; check authority_env or authority_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("the authority holds no certificate; give it in PEM form")
	}
	return pool, nil
}

func read(variable, path string) ([]byte, error) {
	if variable != "" {
		text := os.Getenv(variable)
		if text == "" {
			return nil, errors.Newf("environment variable %s is empty", variable)
		}
		return []byte(text), nil
	}
	return os.ReadFile(path)
}

func (source *Source) modifiedAt() time.Time {
	var latest time.Time
	for _, path := range []string{source.settings.CertificateFile, source.settings.KeyFile, source.settings.AuthorityFile} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// refresh loads files that have changed. A certificate that cannot be read
// leaves the former one in use.
func (source *Source) refresh() (*tls.Certificate, *x509.CertPool) {
	source.mu.Lock()
	defer source.mu.Unlock()
	now := time.Now()
	if now.Sub(source.checked) >= checkInterval {
		source.checked = now
		if source.modifiedAt().After(source.modified) {
			_ = source.load()
		}
	}
	return source.certificate, source.authorities
}

// Server returns the configuration of a listener. When an authority is named,
// clients must show a certificate of it.
func (source *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := source.refresh()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{*certificate},
			}
			if authorities != nil {
				config.ClientCAs = authorities
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// Client returns the configuration of a client that shows the certificate and
// trusts the authority. The certificate of the other end must be of that
// authority; its name is not checked, since VMs are called by IP number.
func (source *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, // VerifyConnection checks the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := source.refresh()
			return certificate, nil
		},
		VerifyConnection: source.verify,
	}
}

func (source *Source) verify(state tls.ConnectionState) error {
	_, authorities := source.refresh()
	options := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "the other end's certificate is not of the named authority")
}
