// Package server runs the HTTP listeners of a process with TLS, bearer tokens
// and limits on what a client may send.
package server

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/settings"
)

const (
	// MaxHeaderBytes bounds the header of a request; a larger one gets 431.
	MaxHeaderBytes = 64 << 10
	// readHeaderLimit bounds the time in which a client sends its header.
	readHeaderLimit = 10 * time.Second
	idleLimit       = 2 * time.Minute
)

// Server is one listener.
type Server struct {
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	limits  Limits
	stages  []*stage // the last one takes new connections
	closing bool
}

// Start listens on address and serves handler under DefaultLimits until Shutdown.
// config may be nil for plain HTTP. An address in use is an error.
func Start(address string, handler http.Handler, config *tls.Config) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	s := &Server{listener: l, handler: handler}
	s.SetLimits(DefaultLimits())
	go s.accept()
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// TLS holds the TLS configurations of a process. All are nil without TLS.
type TLS struct {
	Links  *tls.Config // links: both sides show a certificate of the CA
	Public *tls.Config // callers and operators
	Client *tls.Config // dialled links and administration calls
}

// LoadTLS reads the key files.
func LoadTLS(t settings.TLS) (TLS, error) {
	if !t.Set() {
		return TLS{}, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return TLS{}, eris.Wrapf(err, "TLS certificate %s with key %s", t.Cert, t.Key)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return TLS{}, eris.Wrap(err, "TLS CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return TLS{}, eris.Errorf("TLS CA %s holds no certificate in PEM form", t.CA)
	}
	base := tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	links, public, client := base.Clone(), base.Clone(), base.Clone()
	links.ClientAuth = tls.RequireAndVerifyClientCert
	links.ClientCAs = pool
	client.RootCAs = pool
	return TLS{Links: links, Public: public, Client: client}, nil
}

// Scheme returns the WebSocket scheme of links.
func (t TLS) Scheme() string {
	if t.Client != nil {
		return "wss"
	}
	return "ws"
}

// ReadToken reads a bearer token file. No path gives no token.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "token")
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", eris.Errorf("token file %s is empty", path)
	}
	return token, nil
}

// BearerToken returns the bearer token of r, or "" when it carries none.
func BearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// SameToken reports whether a given token is the wanted one, in a time that does
// not depend on where they differ. With an empty want every token is accepted.
func SameToken(given, want string) bool {
	return want == "" || subtle.ConstantTimeCompare([]byte(given), []byte(want)) == 1
}

// RequireToken passes requests that carry the bearer token to next and others to
// refuse, which writes the body of the answer 401. With an empty token every
// request passes.
func RequireToken(token string, refuse, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if SameToken(BearerToken(r), token) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		refuse.ServeHTTP(w, r)
	})
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
