package demo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the files that writeKeys creates, and the lifetime of the certificates.
const (
	caFile            = "ca.pem"
	operatorTokenFile = "operator.token"
	trainerTokenFile  = "trainer.token"
	keyLifetime       = 24 * time.Hour
)

// authority is the certificate authority of the demo.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// writeKeys creates a CA, a certificate and key for each process, and the tokens.
func writeKeys(dir string) error {
	ca, err := newAuthority(filepath.Join(dir, caFile))
	if err != nil {
		return err
	}
	for name, ip := range processIPs() {
		if err := ca.issue(dir, name, ip); err != nil {
			return err
		}
	}
	for _, name := range []string{operatorTokenFile, trainerTokenFile} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(rand.Text()+"\n"), 0o600); err != nil {
			return eris.Wrap(err, "demo")
		}
	}
	return nil
}

func newAuthority(path string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "demo")
	}
	template := certificate("merlinhall demo CA")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "demo")
	}
	return &authority{cert: template, key: key}, writePEM(path, "CERTIFICATE", der)
}

func certificate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(keyLifetime),
	}
}

// issue writes the certificate and key of a process. The certificate is valid for ip.
func (a *authority) issue(dir, name, ip string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "demo")
	}
	template := certificate(name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return eris.Wrap(err, "demo")
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "demo")
	}
	if err := writePEM(certPath(dir, name), "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(keyPath(dir, name), "EC PRIVATE KEY", private)
}

func writePEM(path, kind string, der []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrap(os.WriteFile(path, text, 0o600), "demo")
}

func certPath(dir, name string) string { return filepath.Join(dir, "settings", name+".cert.pem") }

func keyPath(dir, name string) string { return filepath.Join(dir, "settings", name+".key.pem") }

// processIPs returns the IP addresses of control, entry and agent processes by name.
func processIPs() map[string]string {
	ips := make(map[string]string)
	for _, p := range append(append([]process{}, controls...), entries...) {
		ips[p.name] = p.ip
	}
	for _, t := range targets() {
		ips["agent-"+t.name] = t.agentIP
	}
	return ips
}
