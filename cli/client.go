package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/server"
)

const (
	// requestLimit bounds one request to a control replica.
	requestLimit = 10 * time.Second
	pollPeriod   = 200 * time.Millisecond
)

// client calls the administration API on the first control replica that answers.
type client struct {
	addresses []string
	scheme    string
	token     string
	http      *http.Client
}

func (e *env) client() (*client, error) {
	token, err := server.ReadToken(e.token)
	if err != nil {
		return nil, err
	}
	transport, scheme, err := newTransport(e.ca)
	if err != nil {
		return nil, err
	}
	return &client{
		addresses: splitList(e.control),
		scheme:    scheme,
		token:     token,
		http:      &http.Client{Timeout: requestLimit, Transport: transport},
	}, nil
}

// newTransport returns a transport that trusts the CA in a file, and the URL
// scheme to use with it. Without a file there is no TLS.
func newTransport(ca string) (*http.Transport, string, error) {
	if ca == "" {
		return &http.Transport{}, "http", nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, "", eris.Wrap(err, "CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", eris.Errorf("CA file %s holds no certificate in PEM form", ca)
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}, "https", nil
}

func splitList(list string) []string {
	var out []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// response is an answer of the administration API.
type response struct {
	status int
	body   []byte
}

// do sends one request. A request that changes something carries a request id,
// so it may be repeated at another replica when an answer is lost.
func (c *client) do(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (*response, error) {
	var last error
	for _, address := range c.addresses {
		r, err := c.once(ctx, address, method, path+"?"+query.Encode(), header, body)
		if err == nil && r.status != http.StatusServiceUnavailable {
			return r, nil
		}
		if err == nil {
			err = eris.Errorf("%s: %s", address, r.problem())
		}
		last = err
	}
	return nil, exit(ExitUnavailable, eris.Wrap(last, "no control replica answered"))
}

func (c *client) once(ctx context.Context, address, method, path string, header http.Header, body []byte) (*response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &response{status: resp.StatusCode, body: text}, nil
}

// get reads path into v.
func (c *client) get(ctx context.Context, path string, query url.Values, v any) error {
	r, err := c.do(ctx, http.MethodGet, path, query, nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return exit(codeOf(r.status), eris.New(r.problem()))
	}
	return json.Unmarshal(r.body, v)
}

// problem describes an answer that is not a success.
func (r *response) problem() string {
	var failure struct {
		Outcome   string   `json:"outcome"`
		Error     string   `json:"error"`
		Errors    []string `json:"errors"`
		RequestID string   `json:"request_id"`
	}
	if json.Unmarshal(r.body, &failure) != nil || failure.Outcome == "" {
		return fmt.Sprintf("status %d: %s", r.status, bytes.TrimSpace(r.body))
	}
	text := failure.Outcome
	if failure.Error != "" {
		text += ": " + failure.Error
	}
	for _, e := range failure.Errors {
		text += "\n  " + e
	}
	if r.status == http.StatusGatewayTimeout && failure.RequestID != "" {
		text += "\nask for the outcome with: merlinhall outcome " + failure.RequestID
	}
	return text
}

func codeOf(status int) int {
	switch status {
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return ExitInvalid
	case http.StatusConflict:
		return ExitConflict
	case http.StatusGatewayTimeout:
		return ExitUnknown
	case http.StatusServiceUnavailable:
		return ExitUnavailable
	}
	return ExitFailure
}
