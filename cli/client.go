package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/server"
)

const (
	// requestTimeout applies to one request to one control replica.
	requestTimeout = 10 * time.Second
	pollPeriod     = 200 * time.Millisecond
	// maxResponseBytes bounds the body of a response. The largest are configurations, their
	// differences, and the status of thousands of processes.
	maxResponseBytes = 16 << 20
	// maxProblemBytes is how much is printed of a response that is none of the API.
	maxProblemBytes = 1 << 10
	// maxResponseHeaderBytes bounds its header. The default of net/http is 10 MB.
	maxResponseHeaderBytes = 64 << 10
)

// client calls the administration API of the control replicas.
type client struct {
	addresses []string
	scheme    string
	token     string
	http      *http.Client
}

func (e *env) client() (*client, error) {
	token, err := server.ReadToken(e.tokenFile)
	if err != nil {
		return nil, err
	}
	transport, scheme, err := newTransport(e.caFile)
	if err != nil {
		return nil, err
	}
	return &client{
		addresses: splitList(e.control),
		scheme:    scheme,
		token:     token,
		http:      &http.Client{Timeout: requestTimeout, Transport: transport},
	}, nil
}

// newTransport returns a transport that trusts the CA in the file ca, and the URL scheme
// to use with it. If ca is empty it doesn't use TLS.
func newTransport(ca string) (*http.Transport, string, error) {
	if ca == "" {
		return &http.Transport{MaxResponseHeaderBytes: maxResponseHeaderBytes}, "http", nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, "", eris.Wrap(err, "CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", eris.Errorf("CA file %s contains no PEM certificate", ca)
	}
	return &http.Transport{
		MaxResponseHeaderBytes: maxResponseHeaderBytes, TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
	}, "https", nil
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

// response is a response of the administration API.
type response struct {
	status int
	body   []byte
}

// do sends a request to each control replica in turn until one responds with a status
// other than 503. A request that changes something carries a request id, so that it is
// safe to repeat it at another replica after a lost response; see doOnce for one that does
// not.
func (c *client) do(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (*response, error) {
	return c.try(ctx, method, path, query, header, body, func(error) bool { return true })
}

// doOnce is do for a change without a request id: it asks no further replica once one may
// have received the request.
func (c *client) doOnce(ctx context.Context, method, path string, body []byte) (*response, error) {
	return c.try(ctx, method, path, nil, nil, body, notSent)
}

// askStatus tells how to learn the outcome of a change without a request id.
const askStatus = "merlinhall status shows whether it was carried out"

// notSent reports whether an error of a request means that nothing of it was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// try sends a request to each control replica in turn until one responds with a status
// other than 503, or fails in a way after which it may not be repeated.
func (c *client) try(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte, repeatable func(error) bool) (*response, error) {
	var last, lost error
	for _, address := range c.addresses {
		r, err := c.send(ctx, address, method, path+"?"+query.Encode(), header, body)
		if err == nil && r.status != http.StatusServiceUnavailable {
			return r, nil
		}
		if err != nil && !repeatable(err) {
			return nil, exitError(ExitUnknown, eris.Wrapf(err, "%s may have carried out the change or may still do so; %s", address, askStatus))
		}
		switch {
		case err == nil:
			err = eris.Errorf("%s: %s", address, r.problem())
		case method != http.MethodGet && !notSent(err):
			lost = err
		}
		last = err
	}
	if lost != nil {
		return nil, exitError(ExitUnknown, eris.Wrap(lost, "the response was lost, and no other control replica knows whether the change was carried out"))
	}
	return nil, exitError(ExitUnavailable, eris.Wrap(last, "no control replica answered"))
}

func (c *client) send(ctx context.Context, address, method, path string, header http.Header, body []byte) (*response, error) {
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxResponseBytes {
		return nil, eris.Errorf("%s: the response is longer than %d bytes", address, maxResponseBytes)
	}
	return &response{status: resp.StatusCode, body: text}, nil
}

// get decodes the JSON response to a GET request into v.
func (c *client) get(ctx context.Context, path string, query url.Values, v any) error {
	r, err := c.do(ctx, http.MethodGet, path, query, nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return exitError(exitCode(r.status), eris.New(r.problem()))
	}
	return json.Unmarshal(r.body, v)
}

// problem describes an unsuccessful response.
func (r *response) problem() string {
	var failure struct {
		Outcome   string   `json:"outcome"`
		Error     string   `json:"error"`
		Errors    []string `json:"errors"`
		RequestID string   `json:"request_id"`
	}
	if json.Unmarshal(r.body, &failure) != nil || failure.Outcome == "" {
		text := bytes.TrimSpace(r.body)
		return fmt.Sprintf("status %d: %s", r.status, text[:min(len(text), maxProblemBytes)])
	}
	text := failure.Outcome
	if failure.Error != "" {
		text += ": " + failure.Error
	}
	for _, e := range failure.Errors {
		text += "\n  " + e
	}
	if r.status == http.StatusGatewayTimeout && failure.RequestID != "" {
		text += "\nto query the outcome, run: merlinhall outcome " + failure.RequestID
	}
	return text
}

func exitCode(status int) int {
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
