// Package authority is a certificate authority for tests.
//
// # Usage
//
//	testAuthority, err := authority.New()
//	pair, err := testAuthority.Issue(7)
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"
)

const validity = time.Hour

// Authority signs certificates.
type Authority struct {
	// PEM is the authority's own certificate, in PEM form.
	PEM []byte

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Pair is a certificate and its private key, both in PEM form.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{PEM: encode("CERTIFICATE", der), certificate: certificate, key: key}, nil
}

// Issue returns a certificate with the given serial number and a new key.
func (authority *Authority) Issue(serial int64) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "vm"}, NotAfter: time.Now().Add(validity)}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return Pair{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{Certificate: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", private)}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
