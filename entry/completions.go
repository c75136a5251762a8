package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"merlinhall/wire"
)

// defaultMaxTokens is used for completions without max_tokens.
const defaultMaxTokens = 256

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model       string  `json:"model"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens"`
	Seed        int64   `json:"seed"`
	Adapter     string  `json:"adapter"`
	Temperature float64 `json:"temperature"`
	Stream      bool    `json:"stream"`
}

// completionResponse is the response body of a completion that is not streamed.
type completionResponse struct {
	RequestID string              `json:"request_id"`
	Model     string              `json:"model"`
	Tokens    []string            `json:"tokens"`
	Versions  []wire.VersionRange `json:"versions"`
}

// tokenEvent is the server-sent event for one token.
type tokenEvent struct {
	Index   int    `json:"index"`
	Token   string `json:"token"`
	Version uint64 `json:"version"`
}

// doneEvent is the last server-sent event of a complete generation.
type doneEvent struct {
	Done      bool                `json:"done"`
	RequestID string              `json:"request_id"`
	Tokens    int                 `json:"tokens"`
	Versions  []wire.VersionRange `json:"versions"`
	Outcome   Outcome             `json:"outcome"`
}

func (e *Entry) serveCompletions(w http.ResponseWriter, r *http.Request) {
	h, err := readHeaders(r, time.Now())
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	configuration, err := e.configuration()
	if err == nil {
		err = rejectKey(w, h, configuration)
	}
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	body, err := e.readBody(w, r)
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		e.writeError(w, h.id, invalid(http.StatusBadRequest, "body is not a JSON completion request: %v", err))
		return
	}
	if pool := configuration.Pool(c.Model); pool != nil { // newGeneration rejects an unknown one
		if err := h.admit(w, configuration, pool.Access); err != nil {
			e.writeError(w, h.id, err)
			return
		}
	}
	if c.MaxTokens < 0 {
		e.writeError(w, h.id, invalid(http.StatusBadRequest, "max_tokens is %d, want a positive number", c.MaxTokens))
		return
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	req, err := e.newGeneration(configuration, GenerationRequest{
		Pool:     c.Model,
		Caller:   h.caller,
		Deadline: h.deadline,
		Generation: wire.Generation{
			Prompt: c.Prompt, MaxTokens: c.MaxTokens, Seed: c.Seed, Adapter: c.Adapter, Temperature: c.Temperature,
		},
	})
	if err != nil {
		e.writeError(w, h.id, err)
		return
	}
	req.setPriority(h.priority)
	if h.id == "" {
		h.id = req.state.id
	}
	req.callerRequestID = h.id
	e.answerCompletion(w, r, req, h.id, c)
}

func (e *Entry) answerCompletion(w http.ResponseWriter, r *http.Request, req *activeRequest, id string, c completionRequest) {
	if !e.submit(req) {
		writeResult(w, id, req.result)
		return
	}
	setWriteDeadline(w, req)
	writer := &completionWriter{w: w, id: id, model: c.Model, stream: c.Stream}
	result := e.follow(r.Context(), req, writer.take)
	writer.finish(result)
}

// completionWriter writes a completion as JSON or as server-sent events.
type completionWriter struct {
	w        http.ResponseWriter
	id       string
	model    string
	stream   bool
	begun    bool
	tokens   []string // collected only if the answer is not streamed
	count    int
	versions []wire.VersionRange
}

func (c *completionWriter) take(chunk attemptChunk) error {
	for _, t := range chunk.Tokens {
		c.versions = appendVersion(c.versions, c.count, t.Version)
		c.count++
		if !c.stream {
			c.tokens = append(c.tokens, t.Text)
			continue
		}
		if err := c.event(tokenEvent{Index: c.count - 1, Token: t.Text, Version: t.Version}); err != nil {
			return err
		}
	}
	if !c.stream || len(chunk.Tokens) == 0 {
		return nil
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *completionWriter) event(v any) error {
	if !c.begun {
		c.begun = true
		h := c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(HeaderRequestID, c.id)
		h.Set("Trailer", HeaderOutcome)
		c.w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.w, "data: %s\n\n", data)
	return err
}

func (c *completionWriter) finish(result Result) {
	if result.Outcome != OutcomeDone {
		if c.begun {
			abort()
		}
		writeResult(c.w, c.id, result)
		return
	}
	if c.stream {
		_ = c.event(doneEvent{Done: true, RequestID: c.id, Tokens: c.count, Versions: c.versions, Outcome: OutcomeDone})
		c.w.Header().Set(HeaderOutcome, string(OutcomeDone))
		return
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, c.id)
	h.Set(HeaderOutcome, string(OutcomeDone))
	_ = json.NewEncoder(c.w).Encode(completionResponse{RequestID: c.id, Model: c.model, Tokens: c.tokens, Versions: c.versions})
}
