// Package certificate loads TLS certificates and reloads them after rotation.
//
// Certificates are read from the environment, since VMs have no disks, or from
// files that an agent of the platform replaces. A handshake reloads the files if
// they have changed, so that rotation requires no restart.
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

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Source holds the current certificate and authorities. It is safe for
// concurrent use.
type Source struct {
	settings settings.TLS

	mu          sync.Mutex // guards the fields below
	certificate *tls.Certificate
	authorities *x509.CertPool
	modified    time.Time // latest modification time of the loaded files
	checked     time.Time // time of the last check for changes
}

// Open loads the certificate, key and authority that the settings name.
func Open(tlsSettings settings.TLS) (*Source, error) {
	source := &Source{settings: tlsSettings}
	if err := source.load(); err != nil {
		return nil, err
	}
	return source, nil
}

func (source *Source) load() error {
	certificate, err := readPEM(source.settings.CertificateEnv, source.settings.CertificateFile)
	if err != nil {
		return errors.Wrap(err, "read the certificate; check certificate_env or certificate_file")
	}
	key, err := readPEM(source.settings.KeyEnv, source.settings.KeyFile)
	if err != nil {
		return errors.Wrap(err, "read the key; check key_env or key_file")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return errors.Wrap(err, "the certificate and key do not match; give a matching pair in PEM form")
	}
	authorities, err := source.readAuthorities()
	if err != nil {
		return err
	}
	source.certificate = &pair
	source.authorities = authorities
	source.modified = source.latestModification()
	return nil
}

func (source *Source) readAuthorities() (*x509.CertPool, error) {
	if source.settings.AuthorityEnv == "" && source.settings.AuthorityFile == "" {
		return nil, nil
	}
	text, err := readPEM(source.settings.AuthorityEnv, source.settings.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority; check authority_env or authority_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("the authority contains no certificate; give it in PEM form")
	}
	return pool, nil
}

// readPEM returns the value of the environment variable, or the content of the file
// if no variable is named.
func readPEM(variable, path string) ([]byte, error) {
	if variable != "" {
		text := os.Getenv(variable)
		if text == "" {
			return nil, errors.Newf("environment variable %s is empty", variable)
		}
		return []byte(text), nil
	}
	return os.ReadFile(path)
}

// latestModification returns the latest modification time of the files, or the zero
// time if there are none.
func (source *Source) latestModification() time.Time {
	var latest time.Time
	for _, path := range []string{source.settings.CertificateFile, source.settings.KeyFile, source.settings.AuthorityFile} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// refresh reloads the files if they have changed. If they cannot be loaded, the
// previous certificate stays in use.
func (source *Source) refresh() (*tls.Certificate, *x509.CertPool) {
	source.mu.Lock()
	defer source.mu.Unlock()
	now := time.Now()
	if now.Sub(source.checked) >= checkInterval {
		source.checked = now
		if source.latestModification().After(source.modified) {
			_ = source.load()
		}
	}
	return source.certificate, source.authorities
}

// Server returns the TLS configuration of a listener. If an authority is configured,
// clients must present a certificate issued by it.
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

// Client returns the TLS configuration of a client that presents the certificate.
// The server's certificate must be issued by the configured authority. The name in it
// is not checked, since VMs are addressed by IP address.
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
