// Package tls tests a fleet whose connections are encrypted.
package tls

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/test/authority"
	"github.com/bramleygw/bramleygw/test/harness"
)

// VMs connect to each other by mutual TLS and callers connect by TLS.
func TestFleetWithTLS(t *testing.T) {
	testAuthority, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	pair, err := testAuthority.Issue(7)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("BRAMLEYGW_TEST_CERT", string(pair.Certificate))
	t.Setenv("BRAMLEYGW_TEST_KEY", string(pair.Key))
	t.Setenv("BRAMLEYGW_TEST_CA", string(testAuthority.PEM))
	layout := bench.Small(1)
	layout.Adjust = func(vm *settings.VM) {
		vm.Peer.TLS = settings.TLS{CertificateEnv: "BRAMLEYGW_TEST_CERT", KeyEnv: "BRAMLEYGW_TEST_KEY", AuthorityEnv: "BRAMLEYGW_TEST_CA"}
		vm.Caller.TLS = settings.TLS{CertificateEnv: "BRAMLEYGW_TEST_CERT", KeyEnv: "BRAMLEYGW_TEST_KEY"}
	}
	fleet, _ := harness.Start(t, layout)
	harness.Await(t, "VMs to receive heartbeats from each other", func() bool {
		for _, view := range fleet.VMs[0].Router.FleetStatus().VMs {
			if view.HeartbeatAgeMS < 0 {
				return false
			}
		}
		return true
	})
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(testAuthority.PEM)
	trust := &tls.Config{InsecureSkipVerify: true, VerifyConnection: func(state tls.ConnectionState) error {
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		return err
	}}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: trust}}
	defer client.CloseIdleConnections()
	body := bench.Chat("ledger", "hello", 48, true)
	request, err := http.NewRequestWithContext(t.Context(), "POST", "https://"+fleet.VMs[0].Settings.Caller.Address.String()+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key("school"))
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != 200 || !strings.Contains(string(text), "[DONE]") {
		t.Errorf("got %d %q %v, want a complete stream", response.StatusCode, text, err)
	}
	withoutCertificate := &tls.Config{InsecureSkipVerify: true}
	conn, err := tls.Dial("tcp", fleet.VMs[0].Settings.Peer.Address.String(), withoutCertificate)
	if err == nil {
		defer conn.Close()
		if _, err = conn.Read(make([]byte, 1)); err == nil {
			t.Error("got a VM-to-VM connection without a certificate, want none")
		}
	}
}
