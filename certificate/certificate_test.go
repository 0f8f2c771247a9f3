package certificate

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/test/authority"
)

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	created, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return created
}

// issue issues a certificate with the serial number, writes it, its key and the
// authority to dir, and returns the settings that name the files.
func issue(t *testing.T, issuer *authority.Authority, dir string, serial int64) settings.TLS {
	t.Helper()
	pair, err := issuer.Issue(serial)
	if err != nil {
		t.Fatal(err)
	}
	tlsSettings := settings.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), AuthorityFile: filepath.Join(dir, "authority")}
	for path, text := range map[string][]byte{tlsSettings.CertificateFile: pair.Certificate, tlsSettings.KeyFile: pair.Key, tlsSettings.AuthorityFile: issuer.PEM} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return tlsSettings
}

func open(t *testing.T, tlsSettings settings.TLS) *Source {
	t.Helper()
	source, err := Open(tlsSettings)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// handshake connects with the client configuration to a server with the server
// configuration and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("x")) // fails if the handshake fails
	}()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err // the server rejected the client's certificate
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualAuthentication(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	server := open(t, issue(t, trusted, t.TempDir(), 7)).Server()
	trustedClient := open(t, issue(t, trusted, t.TempDir(), 8)).Client()
	otherClient := open(t, issue(t, other, t.TempDir(), 9)).Client()
	noCertificate := &tls.Config{InsecureSkipVerify: true}
	if got, err := handshake(t, server, trustedClient); err != nil || got != 7 {
		t.Errorf("got %d %v, want the server's certificate 7", got, err)
	}
	if _, err := handshake(t, server, otherClient); err == nil {
		t.Error("got a connection with a certificate of another authority, want none")
	}
	if _, err := handshake(t, server, noCertificate); err == nil {
		t.Error("got a connection without a certificate, want none")
	}
	otherServer := open(t, issue(t, other, t.TempDir(), 10)).Server()
	if _, err := handshake(t, otherServer, trustedClient); err == nil {
		t.Error("got a connection to a server of another authority, want none")
	}
}

func TestRotatedCertificateIsReloaded(t *testing.T) {
	trusted := newAuthority(t)
	dir := t.TempDir()
	source := open(t, issue(t, trusted, dir, 1))
	client := open(t, issue(t, trusted, t.TempDir(), 2)).Client()
	server := source.Server()
	ageLoadedFiles := func(age time.Duration) {
		source.mu.Lock()
		defer source.mu.Unlock()
		source.checked = time.Time{}
		source.modified = source.modified.Add(-age)
	}
	issue(t, trusted, dir, 3)
	ageLoadedFiles(time.Hour) // makes the files an hour newer than the loaded certificate
	if got, err := handshake(t, server, client); err != nil || got != 3 {
		t.Errorf("got %d %v, want the rotated certificate 3", got, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "cert"), []byte("half writ"), 0o600); err != nil {
		t.Fatal(err)
	}
	ageLoadedFiles(time.Hour)
	if got, err := handshake(t, server, client); err != nil || got != 3 {
		t.Errorf("got %d %v with an invalid file, want the previous certificate 3", got, err)
	}
}

func TestOpenFailsWithoutCertificate(t *testing.T) {
	for name, tlsSettings := range map[string]settings.TLS{
		"no such file":      {CertificateFile: "/nonexistent", KeyFile: "/nonexistent"},
		"empty environment": {CertificateEnv: "BRAMLEYGW_TEST_NOTHING", KeyEnv: "BRAMLEYGW_TEST_NOTHING"},
	} {
		if _, err := Open(tlsSettings); err == nil {
			t.Errorf("%s: got success, want an error", name)
		}
	}
}
