package control

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/server"
	"merlinhall/wire"
)

const (
	// maxSmallBody bounds the bodies of requests that carry no configuration.
	maxSmallBody = 64 << 10
	// retryAfterSeconds is sent with 503: an election takes about 2 s.
	retryAfterSeconds = "2"
	// maxIDBytes bounds request ids, authors and names.
	maxIDBytes = 256
)

// adminRequest is a request of the administration API on its way to the leader.
type adminRequest struct {
	Method string `cbor:"1,keyasint"`
	URI    string `cbor:"2,keyasint"`
	Author string `cbor:"3,keyasint,omitempty"`
	Body   []byte `cbor:"4,keyasint,omitempty"`
}

// adminAnswer is the answer to an adminRequest; Body is JSON.
type adminAnswer struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// answer is what a handler returns: a status code and a value for JSON.
type answer struct {
	status int
	value  any
}

// failure is the JSON of answers that are not a success.
type failure struct {
	Outcome   string   `json:"outcome"`
	Error     string   `json:"error,omitempty"`
	Errors    []string `json:"errors,omitempty"`
	RequestID string   `json:"request_id,omitempty"`
	Ask       string   `json:"ask,omitempty"`
}

// admin is the administration API.
type admin struct {
	c      *Control
	leader *http.ServeMux // routes that run on the leader
}

type resultKey struct{}

// routeResult receives what a route's handler returned.
type routeResult struct {
	answer answer
	err    error
}

func newAdmin(c *Control) *admin {
	a := &admin{c: c, leader: http.NewServeMux()}
	a.route("POST /v1/config", a.postConfig)
	a.route("POST /v1/config/rollback", a.postRollback)
	a.route("GET /v1/config", a.getConfig)
	a.route("GET /v1/config/history", a.getHistory)
	a.route("GET /v1/requests/{id}", a.getRequest)
	a.route("GET /v1/inforce", a.getInForce)
	a.route("POST /v1/weights/{pool}", a.postWeights)
	a.route("POST /v1/targets/{name}/drain", a.postDrain)
	a.route("POST /v1/targets/{name}/undrain", a.postUndrain)
	a.route("POST /v1/members", a.postMembers)
	return a
}

func (a *admin) route(pattern string, h func(r *http.Request) (answer, error)) {
	a.leader.HandleFunc(pattern, func(_ http.ResponseWriter, r *http.Request) {
		out := r.Context().Value(resultKey{}).(*routeResult)
		out.answer, out.err = h(r)
	})
}

// AdminHandler serves the administration API under /v1/. A replica that does not
// lead forwards all but GET /v1/status to the leader.
func (c *Control) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", c.admin.getStatus)
	mux.HandleFunc("/v1/", c.admin.forward)
	return server.RequireToken(c.o.OperatorToken, http.HandlerFunc(unauthorized), mux)
}

// unauthorized answers a request without the operator's token.
func unauthorized(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusUnauthorized, failure{Outcome: "unauthorized", Error: "the operator's bearer token is needed"})
}

// forward passes a request to the leader, which may be this process.
func (a *admin) forward(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, failure{Outcome: "invalid", Error: err.Error()})
		return
	}
	id := withRequestID(r)
	request := adminRequest{Method: r.Method, URI: r.URL.RequestURI(), Author: r.Header.Get("Merlinhall-Author"), Body: body}
	raw, err := wire.Marshal(&request)
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, failure{Outcome: "not_run", Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.c.o.CallTimeout)
	defer cancel()
	reply := a.c.Call(ctx, &wire.Call{Method: adminMethod, Body: raw})
	for reply.Outcome == wire.CallUnknown && r.Method == http.MethodGet && ctx.Err() == nil {
		time.Sleep(retryPeriod)
		reply = a.c.Call(ctx, &wire.Call{Method: adminMethod, Body: raw})
	}
	writeReply(w, reply, id)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(maxSmallBody)
	if r.URL.Path == "/v1/config" {
		limit = MaxConfigBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, eris.Errorf("read body of at most %d bytes: %v", limit, err)
	}
	return body, nil
}

// withRequestID gives a changing request without a request id a new one, before
// it is forwarded, so that the id is known when the outcome is not.
func withRequestID(r *http.Request) string {
	if r.Method == http.MethodGet {
		return ""
	}
	query := r.URL.Query()
	if query.Get("request_id") == "" {
		query.Set("request_id", rand.Text())
		r.URL.RawQuery = query.Encode()
	}
	return query.Get("request_id")
}

// writeReply writes the answer of the leader, or why there is none.
func writeReply(w http.ResponseWriter, reply *wire.Reply, id string) {
	var out adminAnswer
	switch reply.Outcome {
	case wire.CallOK:
		if err := wire.Unmarshal(reply.Body, &out); err == nil {
			writeBody(w, out.Status, out.Body)
			return
		}
		writeUnknown(w, id, "the leader's answer is malformed")
	case wire.CallUnknown:
		writeUnknown(w, id, reply.Error)
	case wire.CallNoLeader:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeJSON(w, http.StatusServiceUnavailable, failure{Outcome: "no_leader", Error: reply.Error, RequestID: id})
	default:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeJSON(w, http.StatusServiceUnavailable, failure{Outcome: "not_run", Error: reply.Error, RequestID: id})
	}
}

// writeUnknown says that a request may or may not have been carried out, and how
// to find out. A read has no request id; it may simply be repeated.
func writeUnknown(w http.ResponseWriter, id, reason string) {
	f := failure{Outcome: "unknown", Error: reason, RequestID: id}
	if id != "" {
		f.Ask = "/v1/requests/" + url.PathEscape(id)
	}
	writeJSON(w, http.StatusGatewayTimeout, f)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := encodeJSON(value)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"outcome":"failed"}`)
	}
	writeBody(w, status, body)
}

// encodeJSON leaves the characters of HTML as they are; escaped they would take
// six bytes each.
func encodeJSON(value any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(value)
	return b.Bytes(), err
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// serveCall is the call "admin": it runs a request on the leader.
func (a *admin) serveCall(ctx context.Context, body []byte) ([]byte, error) {
	var request adminRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	out := routeResult{answer: answer{http.StatusNotFound, failure{Outcome: "not_found", Error: "no such path or method"}}}
	ctx = context.WithValue(ctx, resultKey{}, &out)
	r, err := http.NewRequestWithContext(ctx, request.Method, request.URI, strings.NewReader(string(request.Body)))
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	r.Header.Set("Merlinhall-Author", request.Author)
	a.leader.ServeHTTP(discard{}, r)
	if out.err != nil {
		return nil, out.err
	}
	encoded, err := encodeJSON(out.answer.value)
	if err != nil {
		return nil, eris.Wrap(err, "encode answer")
	}
	return wire.Marshal(&adminAnswer{Status: out.answer.status, Body: encoded})
}

// discard is a response writer for routes, which answer through routeResult.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// proposalFailed answers a proposal without a result. An id that belongs to another
// request is the caller's fault; other errors say why there is no answer.
func proposalFailed(err error, id string) (answer, error) {
	if eris.Is(err, ErrReused) {
		return answer{http.StatusConflict, failure{Outcome: "reused", Error: err.Error(), RequestID: id}}, nil
	}
	return answer{}, err
}

// badRequest answers 400.
func badRequest(format string, args ...any) (answer, error) {
	return answer{http.StatusBadRequest, failure{Outcome: "invalid", Error: fmt.Sprintf(format, args...)}}, nil
}

func notFound(format string, args ...any) (answer, error) {
	return answer{http.StatusNotFound, failure{Outcome: "not_found", Error: fmt.Sprintf(format, args...)}}, nil
}

// numberParam returns a query parameter as a number; ok is false when it is
// missing or not a number.
func numberParam(r *http.Request, name string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

// author names who asks for a change.
func author(r *http.Request) string {
	if name := r.URL.Query().Get("author"); name != "" {
		return name
	}
	if name := r.Header.Get("Merlinhall-Author"); name != "" {
		return name
	}
	return "operator"
}
