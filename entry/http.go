package entry

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"merlinhall/config"
	"merlinhall/server"
	"merlinhall/wire"
)

// Header fields between the entry and its callers.
const (
	HeaderRequestID = "Merlinhall-Request-Id"
	HeaderDeadline  = "Merlinhall-Deadline-Ms"
	HeaderPriority  = "Merlinhall-Priority"
	HeaderCaller    = "Merlinhall-Caller"
	HeaderOutcome   = "Merlinhall-Outcome"
)

const (
	completionsPath = "/v1/completions"
	// maxNameBytes bounds the request id and the caller name in the header fields.
	maxNameBytes = 128
)

// Handler returns the HTTP handler for callers. It does not use http.ServeMux, which
// would redirect a path such as /svc//x instead of passing it on.
func (e *Entry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != completionsPath:
			e.serveService(w, r)
		case r.Method != http.MethodPost:
			w.Header().Set("Allow", http.MethodPost)
			e.writeError(w, r.Header.Get(HeaderRequestID), invalid(http.StatusMethodNotAllowed, "%s takes POST", completionsPath))
		default:
			e.serveCompletions(w, r)
		}
	})
}

// callerHeaders holds the values of the header fields that are meant for the entry.
type callerHeaders struct {
	id       string // empty if the caller set none
	caller   string
	priority *int8
	deadline time.Time // zero if the caller set none
	key      string    // of the client account, empty if the caller sent none
}

func readHeaders(r *http.Request, now time.Time) (callerHeaders, error) {
	var h callerHeaders
	if size := headerBytes(r.Header); size > MaxHeaderBytes {
		return h, invalid(http.StatusRequestHeaderFieldsTooLarge, "header fields have %d bytes, the limit is %d", size, MaxHeaderBytes)
	}
	h.id = r.Header.Get(HeaderRequestID)
	h.caller = r.Header.Get(HeaderCaller)
	h.key = server.BearerToken(r)
	if len(h.id) > maxNameBytes || len(h.caller) > maxNameBytes {
		return h, invalid(http.StatusBadRequest, "%s and %s may have %d bytes", HeaderRequestID, HeaderCaller, maxNameBytes)
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return h, invalid(http.StatusBadRequest, "%s is %q, want milliseconds from 1 to %d", HeaderDeadline, text, maxDeadline.Milliseconds())
		}
		h.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if text := r.Header.Get(HeaderPriority); text != "" {
		n, err := strconv.ParseInt(text, 10, 8)
		if err != nil {
			return h, invalid(http.StatusBadRequest, "%s is %q, want an integer from -128 to 127", HeaderPriority, text)
		}
		p := int8(n)
		h.priority = &p
	}
	return h, nil
}

func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + 4 // ": " and CRLF
		}
	}
	return size
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := e.options.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalid(http.StatusRequestEntityTooLarge, "body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, invalid(http.StatusBadRequest, "body could not be read: %v", err)
	}
	return body, nil
}

// serveService serves a call to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	h, err := readHeaders(r, time.Now())
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	name, path := splitPath(r)
	// Check access before reading the body, which may be large.
	c, err := e.admitCall(w, &h, name)
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	body, err := e.readBody(w, r)
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	call := ServiceRequest{
		ID:       e.newID(),
		Service:  name,
		Method:   r.Method,
		Path:     path,
		Body:     body,
		Caller:   h.caller,
		Deadline: h.deadline,
	}
	if h.id == "" {
		h.id = call.ID
	}
	call.Headers = targetHeaders(c, r.Header, h)
	req, err := e.newCall(c, call)
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	req.setPriority(h.priority)
	req.callerRequestID = h.id
	e.answerService(w, r, req, h.id)
}

// splitPath returns the first segment of the path, which names the service, and the
// rest of the path with the query.
func splitPath(r *http.Request) (service, path string) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	path = "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service, path
}

// droppedHeaders are the header fields that are not forwarded: the hop-by-hop fields of
// RFC 2616, section 13.5.1, and RFC 9110, section 7.6.1, and the deadline and priority,
// which the entry evaluates.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	HeaderDeadline: true, HeaderPriority: true,
}

// targetHeaders returns the header fields that a target gets. With client accounts it gets
// the name of the caller's account in place of its key.
func targetHeaders(c *config.Config, header http.Header, h callerHeaders) []wire.Header {
	out := forwardHeaders(header, h.id)
	if c.Registry() == nil {
		return out
	}
	out = slices.DeleteFunc(out, func(f wire.Header) bool { return f.Name == "Authorization" || f.Name == HeaderCaller })
	if h.caller != "" {
		out = append(out, wire.Header{Name: HeaderCaller, Value: h.caller})
	}
	return out
}

func forwardHeaders(h http.Header, id string) []wire.Header {
	named := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var out []wire.Header
	for name, values := range h {
		if droppedHeaders[name] || named[name] || name == HeaderRequestID || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	out = append(out, wire.Header{Name: HeaderRequestID, Value: id})
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// errorBody is the JSON body of an error response from the entry itself.
type errorBody struct {
	Error     string   `json:"error"`
	RequestID string   `json:"request_id,omitempty"`
	Outcome   Outcome  `json:"outcome"`
	Known     []string `json:"known,omitempty"`
}

// writeError writes the response to a request that the entry rejected before it queued it.
func (e *Entry) writeError(w http.ResponseWriter, id string, err error) {
	body := errorBody{Error: err.Error(), RequestID: id, Outcome: OutcomeNotRun}
	status := http.StatusInternalServerError
	var unknown *UnknownServiceError
	var bad *InvalidRequestError
	var refused *OutcomeError
	switch {
	case errors.As(err, &refused):
		writeResult(w, id, refused.Result)
		return
	case errors.As(err, &unknown):
		status = http.StatusNotFound
		body.Known = unknown.Known
	case errors.As(err, &bad):
		status = bad.Status
	}
	writeErrorBody(w, status, 0, body)
}

// writeResult writes an error response. No part of an answer may have been written.
func writeResult(w http.ResponseWriter, id string, result Result) {
	writeErrorBody(w, result.Status, result.RetryAfter, errorBody{Error: result.Detail, RequestID: id, Outcome: result.Outcome})
}

func writeErrorBody(w http.ResponseWriter, status int, retryAfter time.Duration, body errorBody) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(body.Outcome))
	if body.RequestID != "" {
		h.Set(HeaderRequestID, body.RequestID)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
