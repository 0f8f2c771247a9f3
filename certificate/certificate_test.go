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
	made, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// issue writes a certificate with a serial number and returns its settings.
func issue(t *testing.T, from *authority.Authority, dir string, serial int64) settings.TLS {
	t.Helper()
	pair, err := from.Issue(serial)
	if err != nil {
		t.Fatal(err)
	}
	named := settings.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), AuthorityFile: filepath.Join(dir, "authority")}
	for path, text := range map[string][]byte{named.CertificateFile: pair.Certificate, named.KeyFile: pair.Key, named.AuthorityFile: from.PEM} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return named
}

func open(t *testing.T, named settings.TLS) *Source {
	t.Helper()
	source, err := Open(named)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// handshake returns the serial number of the server's certificate.
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
		_, _ = conn.Write([]byte("x")) // fails with the handshake
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
		return 0, err // the server's verdict on the client's certificate
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualAuthentication(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := open(t, issue(t, ours, t.TempDir(), 7)).Server()
	good := open(t, issue(t, ours, t.TempDir(), 8)).Client()
	stranger := open(t, issue(t, theirs, t.TempDir(), 9)).Client()
	without := &tls.Config{InsecureSkipVerify: true}
	if got, err := handshake(t, server, good); err != nil || got != 7 {
		t.Errorf("got %d %v, want the server's certificate 7", got, err)
	}
	if _, err := handshake(t, server, stranger); err == nil {
		t.Error("got a connection with a certificate of another authority, want none")
	}
	if _, err := handshake(t, server, without); err == nil {
		t.Error("got a connection without a certificate, want none")
	}
	impostor := open(t, issue(t, theirs, t.TempDir(), 10)).Server()
	if _, err := handshake(t, impostor, good); err == nil {
		t.Error("got a connection to a server of another authority, want none")
	}
}

func TestRotationNeedsNoRestart(t *testing.T) {
	ours := newAuthority(t)
	dir := t.TempDir()
	source := open(t, issue(t, ours, dir, 1))
	client := open(t, issue(t, ours, t.TempDir(), 2)).Client()
	server := source.Server()
	rotate := func(age time.Duration) {
		source.mu.Lock()
		defer source.mu.Unlock()
		source.checked = time.Time{}
		source.modified = source.modified.Add(-age)
	}
	issue(t, ours, dir, 3)
	rotate(time.Hour) // as if the files were an hour newer
	if got, err := handshake(t, server, client); err != nil || got != 3 {
		t.Errorf("got %d %v, want the rotated certificate 3", got, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "cert"), []byte("half writ"), 0o600); err != nil {
		t.Fatal(err)
	}
	rotate(time.Hour)
	if got, err := handshake(t, server, client); err != nil || got != 3 {
		t.Errorf("got %d %v while the file is broken, want the former certificate 3", got, err)
	}
}

func TestOpenNamesTheRemedy(t *testing.T) {
	for name, named := range map[string]settings.TLS{
		"no such file":      {CertificateFile: "/nonexistent", KeyFile: "/nonexistent"},
		"empty environment": {CertificateEnv: "BRAMLEYGW_TEST_NOTHING", KeyEnv: "BRAMLEYGW_TEST_NOTHING"},
	} {
		if _, err := Open(named); err == nil {
			t.Errorf("%s: got success, want an error", name)
		}
	}
}
