package server

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/settings"
)

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })

// Guards against a Start that succeeds on an address that is in use, and against an
// error that does not name the address.
func TestPortTaken(t *testing.T) {
	is := is.New(t)
	first, err := Start("127.0.0.1:0", ok, nil)
	is.NoErr(err)
	defer first.Close()
	_, err = Start(first.Addr(), ok, nil)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), first.Addr()))
}

// Guards against a request header that is read without a size limit.
func TestOversizedHeader(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0", ok, nil)
	is.NoErr(err)
	defer s.Close()
	r, err := http.NewRequest(http.MethodGet, "http://"+s.Addr(), nil)
	is.NoErr(err)
	r.Header.Set("X-Large", strings.Repeat("x", 2*DefaultMaxHeaderBytes))
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a listener that accepts a request without the token.
func TestTokenIsRequired(t *testing.T) {
	is := is.New(t)
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	mux := http.NewServeMux()
	mux.Handle("/v1/", RequireToken("secret", refuse, ok))
	mux.Handle("/healthz", RequireToken("", refuse, ok))
	s, err := Start("127.0.0.1:0", mux, nil)
	is.NoErr(err)
	defer s.Close()
	for path, want := range map[string][2]int{"/v1/config": {401, 200}, "/healthz": {200, 200}} {
		for i, header := range []string{"Bearer wrong", "Bearer secret"} {
			r, _ := http.NewRequest(http.MethodGet, "http://"+s.Addr()+path, nil)
			r.Header.Set("Authorization", header)
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			is.Equal(resp.StatusCode, want[i])
		}
	}
}

// Guards against an invalid key file that is detected only when a client connects.
func TestBadKey(t *testing.T) {
	is := is.New(t)
	files := keyFiles(t)
	is.NoErr(os.WriteFile(files.Key, []byte("not a key"), 0o600))
	_, err := LoadTLS(files)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), files.Key))
}

// Guards against a link listener that accepts a peer without a certificate.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	config, err := LoadTLS(keyFiles(t))
	is.NoErr(err)
	s, err := Start("127.0.0.1:0", ok, config.Links)
	is.NoErr(err)
	defer s.Close()
	with := &http.Client{Transport: &http.Transport{TLSClientConfig: config.Client}}
	resp, err := with.Get("https://" + s.Addr())
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	without := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: config.Client.RootCAs}}}
	_, err = without.Get("https://" + s.Addr())
	is.True(err != nil)
}

// Guards against a shutdown that aborts a running request.
func TestShutdownWaits(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, err := Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = w.Write([]byte("whole"))
	}), nil)
	is.NoErr(err)
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + s.Addr())
		if err != nil {
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	<-started
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	close(release)
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-done)
}

func keyFiles(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := settings.TLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	write := func(path, kind string, der []byte) {
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(files.Cert, "CERTIFICATE", der)
	write(files.CA, "CERTIFICATE", der)
	write(files.Key, "EC PRIVATE KEY", private)
	return files
}
