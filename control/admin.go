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
	// maxSmallBody is the maximum body size of requests without a configuration text.
	maxSmallBody = 64 << 10
	// retryAfterSeconds is the Retry-After value of 503 responses. A leader election
	// takes about 2 s.
	retryAfterSeconds = "2"
	// maxIDBytes is the maximum length of request ids and author names.
	maxIDBytes = 256
)

// adminRequest is an administration API request as it is forwarded to the leader.
type adminRequest struct {
	Method string `cbor:"1,keyasint"`
	URI    string `cbor:"2,keyasint"`
	Author string `cbor:"3,keyasint,omitempty"`
	Body   []byte `cbor:"4,keyasint,omitempty"`
}

// adminResponse is the leader's response to an adminRequest. Body is JSON.
type adminResponse struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// routeResponse is the result of a route handler: a status code and a value to encode
// as JSON.
type routeResponse struct {
	status int
	value  any
}

// errorResponse is the JSON body of an unsuccessful response.
type errorResponse struct {
	Outcome   string   `json:"outcome"`
	Error     string   `json:"error,omitempty"`
	Errors    []string `json:"errors,omitempty"`
	RequestID string   `json:"request_id,omitempty"`
	Ask       string   `json:"ask,omitempty"`
}

// adminAPI implements the administration API.
type adminAPI struct {
	c      *Control
	leader *http.ServeMux // routes that run on the leader
}

type routeResultKey struct{}

// routeResult holds the return values of a route handler. It is passed in the context,
// because the handlers do not write to the http.ResponseWriter.
type routeResult struct {
	response routeResponse
	err      error
}

func newAdmin(c *Control) *adminAPI {
	a := &adminAPI{c: c, leader: http.NewServeMux()}
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

func (a *adminAPI) route(pattern string, h func(r *http.Request) (routeResponse, error)) {
	a.leader.HandleFunc(pattern, func(_ http.ResponseWriter, r *http.Request) {
		out := r.Context().Value(routeResultKey{}).(*routeResult)
		out.response, out.err = h(r)
	})
}

// AdminHandler returns the handler of the administration API under /v1/. A follower
// forwards all requests except GET /v1/status to the leader.
func (c *Control) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", c.admin.getStatus)
	mux.HandleFunc("/v1/", c.admin.forward)
	return server.RequireToken(c.options.OperatorToken, http.HandlerFunc(unauthorized), mux)
}

// unauthorized responds to a request without a valid operator token.
func unauthorized(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusUnauthorized, errorResponse{Outcome: "unauthorized", Error: "the operator's bearer token is needed"})
}

// forward sends a request to the leader, which may be this process, and writes the
// response. A GET with an unknown outcome is retried until the timeout.
func (a *adminAPI) forward(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorResponse{Outcome: "invalid", Error: err.Error()})
		return
	}
	id := withRequestID(r)
	request := adminRequest{Method: r.Method, URI: r.URL.RequestURI(), Author: r.Header.Get("Merlinhall-Author"), Body: body}
	raw, err := wire.Marshal(&request)
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, errorResponse{Outcome: "not_run", Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.c.options.CallTimeout)
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

// withRequestID returns the request id of a request, or "" for a GET. It adds one to
// the query if it is missing, so that the caller gets the id even if the outcome is
// unknown.
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

// writeReply writes the leader's response, or an error response if there is none.
func writeReply(w http.ResponseWriter, reply *wire.Reply, id string) {
	var out adminResponse
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
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Outcome: "no_leader", Error: reply.Error, RequestID: id})
	default:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Outcome: "not_run", Error: reply.Error, RequestID: id})
	}
}

// writeUnknown responds that the request may or may not have been executed, with the
// path at which to query its outcome. A read has no request id and can be repeated.
func writeUnknown(w http.ResponseWriter, id, reason string) {
	f := errorResponse{Outcome: "unknown", Error: reason, RequestID: id}
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

// encodeJSON encodes a value as indented JSON. It does not escape HTML characters,
// which would take six bytes each.
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

// serveCall handles the method "admin": it executes a forwarded request on the leader.
func (a *adminAPI) serveCall(ctx context.Context, body []byte) ([]byte, error) {
	var request adminRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	out := routeResult{response: routeResponse{http.StatusNotFound, errorResponse{Outcome: "not_found", Error: "no such path or method"}}}
	ctx = context.WithValue(ctx, routeResultKey{}, &out)
	r, err := http.NewRequestWithContext(ctx, request.Method, request.URI, strings.NewReader(string(request.Body)))
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	r.Header.Set("Merlinhall-Author", request.Author)
	a.leader.ServeHTTP(discardWriter{}, r)
	if out.err != nil {
		return nil, out.err
	}
	encoded, err := encodeJSON(out.response.value)
	if err != nil {
		return nil, eris.Wrap(err, "encode answer")
	}
	return wire.Marshal(&adminResponse{Status: out.response.status, Body: encoded})
}

// discardWriter is an http.ResponseWriter that discards everything. Route handlers
// return their response through routeResult.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

// proposalErrorResponse returns the response to a failed proposal: 409 if the request id
// belongs to a different request. Other errors are returned unchanged.
func proposalErrorResponse(err error, id string) (routeResponse, error) {
	if eris.Is(err, ErrRequestIDReused) {
		return routeResponse{http.StatusConflict, errorResponse{Outcome: "reused", Error: err.Error(), RequestID: id}}, nil
	}
	return routeResponse{}, err
}

func badRequest(format string, args ...any) (routeResponse, error) {
	return routeResponse{http.StatusBadRequest, errorResponse{Outcome: "invalid", Error: fmt.Sprintf(format, args...)}}, nil
}

func notFound(format string, args ...any) (routeResponse, error) {
	return routeResponse{http.StatusNotFound, errorResponse{Outcome: "not_found", Error: fmt.Sprintf(format, args...)}}, nil
}

// numberParam returns a query parameter as a number. ok is false if it is missing or
// not a number.
func numberParam(r *http.Request, name string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

// authorOf returns the author of a change: the query parameter, the header, or
// "operator" by default.
func authorOf(r *http.Request) string {
	if name := r.URL.Query().Get("author"); name != "" {
		return name
	}
	if name := r.Header.Get("Merlinhall-Author"); name != "" {
		return name
	}
	return "operator"
}
