// Package server runs the HTTP listeners of a process, with TLS, bearer tokens and
// limits on clients.
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

	"merlinhall/connbudget"
	"merlinhall/settings"
)

const (
	// DefaultMaxHeaderBytes is the default maximum size of a request header; a larger
	// one gets status 431.
	DefaultMaxHeaderBytes = 64 << 10
	// defaultHeaderTimeout is the default maximum time to receive a request header.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is the default time after which an idle connection is closed.
	defaultIdleTimeout = 2 * time.Minute
)

// Server is one HTTP listener.
type Server struct {
	listener net.Listener
	tcp      *net.TCPListener // below listener
	handler  http.Handler
	clients  *connbudget.Part // nil if nothing is counted
	accepted chan struct{}    // closed when no more connections are accepted
	// lastRequestTime is the constant of that name, unless a test changes it.
	lastRequestTime time.Duration

	mu      sync.Mutex
	limits  Limits
	servers []*limitedServer // the last one serves new connections
	closing bool
}

// Start listens on address and serves handler until Shutdown or Close, under
// DefaultLimits until SetLimits changes them. A nil config means plain HTTP. Start fails
// if the address is in use.
func Start(address string, handler http.Handler, config *tls.Config) (*Server, error) {
	return start(address, handler, config, nil, DefaultLimits())
}

// StartCounted is Start without TLS for a server whose connections draw on a part of the account
// of what clients hold, and that starts with the given limits.
func StartCounted(address string, handler http.Handler, clients *connbudget.Part, l Limits) (*Server, error) {
	return start(address, connbudget.Handler(handler), nil, clients, l)
}

func start(address string, handler http.Handler, config *tls.Config, clients *connbudget.Part, l Limits) (*Server, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		listener: bound, tcp: bound.(*net.TCPListener), handler: handler, accepted: make(chan struct{}),
		lastRequestTime: lastRequestTime, clients: clients,
	}
	if config != nil {
		s.listener = tls.NewListener(bound, config)
	}
	s.SetLimits(l)
	go s.accept()
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// TLS holds the TLS configurations of a process. All are nil if TLS is off.
type TLS struct {
	Links  *tls.Config // link listener; requires client certificates of the CA
	Public *tls.Config // listeners for callers and operators
	Client *tls.Config // dialled links
}

// LoadTLS reads the certificate and key files.
func LoadTLS(t settings.TLS) (TLS, error) {
	if !t.Configured() {
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
		return TLS{}, eris.Errorf("TLS CA %s contains no PEM certificate", t.CA)
	}
	base := tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	links, public, client := base.Clone(), base.Clone(), base.Clone()
	links.ClientAuth = tls.RequireAndVerifyClientCert
	links.ClientCAs = pool
	client.RootCAs = pool
	return TLS{Links: links, Public: public, Client: client}, nil
}

// Scheme returns the WebSocket scheme for links.
func (t TLS) Scheme() string {
	if t.Client != nil {
		return "wss"
	}
	return "ws"
}

// ReadToken reads a bearer token from a file. An empty path means no token.
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

// BearerToken returns the bearer token of r, or "" if it has none.
func BearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// SameToken reports whether given equals want, in a time that does not depend on
// where they differ. If want is empty, every token is accepted.
func SameToken(given, want string) bool {
	return want == "" || subtle.ConstantTimeCompare([]byte(given), []byte(want)) == 1
}

// RequireToken returns a handler that passes requests with the bearer token to next
// and others to refuse, which must write a response with status 401. If token is
// empty, every request goes to next.
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

// WriteJSON writes a response with v as indented JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
