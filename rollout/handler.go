package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"merlinhall/server"
	"merlinhall/wire"
)

const (
	// maxDrawWait bounds wait_ms.
	maxDrawWait = 60 * time.Second
	// callTimeout bounds one control call, in addition to the wait that it requests.
	callTimeout = 10 * time.Second
	// maxRequestBytes bounds a trainer's request.
	maxRequestBytes = 4 << 20
	// drawRetryDelay is the delay before a draw is retried after its call failed or had
	// an unknown outcome.
	drawRetryDelay = 100 * time.Millisecond
	// retryAfterSeconds is the Retry-After value of 503 and 429 responses.
	retryAfterSeconds = "1"
)

// Caller passes a call to the control leader. *propagate.Follower implements it.
type Caller interface {
	Call(ctx context.Context, method string, body []byte) (*wire.Reply, error)
}

// TrainerHandler serves the trainer API below /v1/trainers/. authorize reports
// whether a bearer token may act for a trainer; nil accepts every request.
func TrainerHandler(call Caller, authorize func(token, trainer string) bool) http.Handler {
	h := &trainerHandler{call: call, authorize: authorize}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/trainers/{trainer}/steps", h.authorized(h.openStep))
	mux.HandleFunc("POST /v1/trainers/{trainer}/draws", h.authorized(h.draw))
	mux.HandleFunc("POST /v1/trainers/{trainer}/acks", h.authorized(h.ack))
	mux.HandleFunc("POST /v1/trainers/{trainer}/weights", h.authorized(h.publish))
	mux.HandleFunc("GET /v1/trainers/{trainer}", h.authorized(h.status))
	return mux
}

type trainerHandler struct {
	call      Caller
	authorize func(token, trainer string) bool
}

// StepRequest is the body of POST /v1/trainers/{t}/steps.
type StepRequest struct {
	Step      uint64   `json:"step"`
	Prompts   []string `json:"prompts"`
	GroupSize int      `json:"group_size"`
	Sampling  Sampling `json:"sampling"`
	Version   uint64   `json:"version"`
}

// DrawRequest is the body of POST /v1/trainers/{t}/draws.
type DrawRequest struct {
	DrawID    string `json:"draw_id"`
	MaxGroups int    `json:"max_groups"`
	WaitMs    uint32 `json:"wait_ms"`
	// UpToStep excludes groups of later steps; 0 means no limit.
	UpToStep uint64 `json:"up_to_step,omitempty"`
}

// AckRequest is the body of POST /v1/trainers/{t}/acks.
type AckRequest struct {
	DrawID string `json:"draw_id"`
}

// WeightsRequest is the body of POST /v1/trainers/{t}/weights.
type WeightsRequest struct {
	Pool      string `json:"pool"`
	Version   uint64 `json:"version"`
	RequestID string `json:"request_id"`
}

// VersionResponse is the response to steps, acks and weights.
type VersionResponse struct {
	Version uint64 `json:"version"` // the trainer's weight version
}

// DrawResponse is the response to a draw. Groups is empty when no group was complete
// in time; the draw id is then still unused.
type DrawResponse struct {
	DrawID  string          `json:"draw_id"`
	Version uint64          `json:"version"` // the trainer's weight version at the draw
	Groups  []GroupResponse `json:"groups"`
}

// GroupResponse is one complete group.
type GroupResponse struct {
	Step          uint64           `json:"step"`
	Group         int              `json:"group"`
	OldestVersion uint64           `json:"oldest_version"`
	Samples       []SampleResponse `json:"samples"`
}

// SampleResponse is one sample. (trainer, step, group, index) is its identity.
type SampleResponse struct {
	Trainer  string              `json:"trainer"`
	Step     uint64              `json:"step"`
	Group    int                 `json:"group"`
	Index    int                 `json:"index"`
	Tokens   []string            `json:"tokens"`
	Versions []wire.VersionRange `json:"versions"`
	Score    float64             `json:"score"`
}

// ErrorResponse is the body of every response that is not 200.
type ErrorResponse struct {
	Code  Code   `json:"code"`
	Error string `json:"error"`
}

var statusOf = map[Code]int{
	CodeInvalid:     http.StatusBadRequest,
	CodeNotFound:    http.StatusNotFound,
	CodeConflict:    http.StatusConflict,
	CodeLimit:       http.StatusTooManyRequests,
	CodeUnknown:     http.StatusServiceUnavailable,
	CodeUnavailable: http.StatusServiceUnavailable,
}

func (h *trainerHandler) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.authorize != nil && !h.authorize(server.BearerToken(r), r.PathValue("trainer")) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, ErrorResponse{Code: "unauthorized", Error: "the bearer token is missing or not valid for this trainer"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next(w, r)
	}
}

func (h *trainerHandler) openStep(w http.ResponseWriter, r *http.Request) {
	var q StepRequest
	if !readJSON(w, r, &q) {
		return
	}
	h.command(w, r, MethodOpenStep, OpenStep{
		Trainer:   r.PathValue("trainer"),
		Step:      q.Step,
		Prompts:   q.Prompts,
		GroupSize: q.GroupSize,
		Sampling:  q.Sampling,
		Version:   q.Version,
	})
}

func (h *trainerHandler) ack(w http.ResponseWriter, r *http.Request) {
	var q AckRequest
	if readJSON(w, r, &q) {
		h.command(w, r, MethodAck, Ack{Trainer: r.PathValue("trainer"), ID: q.DrawID})
	}
}

func (h *trainerHandler) publish(w http.ResponseWriter, r *http.Request) {
	var q WeightsRequest
	if readJSON(w, r, &q) {
		h.command(w, r, MethodPublish, Publish{Trainer: r.PathValue("trainer"), Pool: q.Pool, Version: q.Version, RequestID: q.RequestID})
	}
}

// status returns a trainer's versions, steps and draws. A trainer that shares a pool
// needs the pool's version, because it must publish a higher one.
func (h *trainerHandler) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	var reply StatusReply
	if failure := h.roundTrip(ctx, MethodStatus, r.PathValue("trainer"), &reply); failure != nil {
		writeOutcome(w, *failure)
		return
	}
	if reply.Outcome.Code != CodeOK {
		writeOutcome(w, reply.Outcome)
		return
	}
	writeJSON(w, http.StatusOK, reply.Status)
}

func (h *trainerHandler) command(w http.ResponseWriter, r *http.Request, method string, request any) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	outcome := h.do(ctx, method, request)
	if outcome.Code != CodeOK {
		writeOutcome(w, outcome)
		return
	}
	writeJSON(w, http.StatusOK, VersionResponse{Version: outcome.Version})
}

// do passes a request to the leader and returns its outcome.
func (h *trainerHandler) do(ctx context.Context, method string, request any) Outcome {
	var outcome Outcome
	if failure := h.roundTrip(ctx, method, request, &outcome); failure != nil {
		return *failure
	}
	return outcome
}

// roundTrip passes a request to the leader and decodes the reply. It returns
// nil, or the outcome of a call that failed.
func (h *trainerHandler) roundTrip(ctx context.Context, method string, request, reply any) *Outcome {
	body, err := wire.Marshal(request)
	if err != nil {
		return &Outcome{Code: CodeInvalid, Detail: err.Error()}
	}
	answer, err := h.call.Call(ctx, method, body)
	if err != nil {
		return &Outcome{Code: CodeUnknown, Detail: "the outcome is not known; send the request again: " + err.Error()}
	}
	switch answer.Outcome {
	case wire.CallOK:
		if err := wire.Unmarshal(answer.Body, reply); err != nil {
			return &Outcome{Code: CodeUnknown, Detail: err.Error()}
		}
		return nil
	case wire.CallUnknown:
		return &Outcome{Code: CodeUnknown, Detail: "the outcome is not known; send the request again: " + answer.Error}
	}
	return &Outcome{Code: CodeUnavailable, Detail: "control has no leader at present; send the request again: " + answer.Error}
}

// draw polls the leader until a group is complete or the trainer's wait is over. A
// failed call is repeated with the same draw id.
func (h *trainerHandler) draw(w http.ResponseWriter, r *http.Request) {
	var q DrawRequest
	if !readJSON(w, r, &q) {
		return
	}
	trainer := r.PathValue("trainer")
	end := time.Now().Add(min(time.Duration(q.WaitMs)*time.Millisecond, maxDrawWait))
	draw := Draw{Trainer: trainer, ID: q.DrawID, MaxGroups: q.MaxGroups, UpToStep: q.UpToStep}
	outcome := h.drawUntil(r.Context(), draw, end)
	switch outcome.Code {
	case CodeOK:
		h.writeDraw(w, r, draw, outcome)
	case CodeEmpty:
		writeJSON(w, http.StatusOK, DrawResponse{DrawID: q.DrawID, Version: outcome.Version, Groups: []GroupResponse{}})
	default:
		writeOutcome(w, outcome)
	}
}

func (h *trainerHandler) drawUntil(ctx context.Context, draw Draw, end time.Time) Outcome {
	for {
		left := max(time.Until(end), 0)
		outcome := h.drawOnce(ctx, draw, left)
		again := outcome.Code == CodeEmpty || outcome.Code == CodeUnavailable || outcome.Code == CodeUnknown
		if !again || !time.Now().Before(end) || ctx.Err() != nil {
			return outcome
		}
		if outcome.Code != CodeEmpty {
			sleep(ctx, drawRetryDelay)
		}
	}
}

func (h *trainerHandler) drawOnce(ctx context.Context, draw Draw, wait time.Duration) Outcome {
	wait = min(wait, maxLeaderWait)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return h.do(ctx, MethodDraw, DrawCall{Draw: draw, WaitMs: uint32(wait.Milliseconds())})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// writeDraw fetches the bodies of a draw and writes the response. If a body is not
// available, the request fails and the trainer sends the draw again.
func (h *trainerHandler) writeDraw(w http.ResponseWriter, r *http.Request, draw Draw, outcome Outcome) {
	response := DrawResponse{DrawID: draw.ID, Version: outcome.Version, Groups: make([]GroupResponse, 0, len(outcome.Groups))}
	for i, g := range outcome.Groups {
		body, failure := h.body(r.Context(), draw, i)
		if failure != nil {
			writeOutcome(w, *failure)
			return
		}
		response.Groups = append(response.Groups, groupResponse(g, body))
	}
	writeJSON(w, http.StatusOK, response)
}

func groupResponse(g DrawnGroup, b *Body) GroupResponse {
	response := GroupResponse{Step: g.Key.Step, Group: g.Key.Group, OldestVersion: g.Oldest}
	for _, s := range b.Samples {
		response.Samples = append(response.Samples, SampleResponse{
			Trainer:  s.ID.Trainer,
			Step:     s.ID.Step,
			Group:    s.ID.Group,
			Index:    s.ID.Index,
			Tokens:   s.Tokens,
			Versions: s.Versions,
			Score:    s.Score,
		})
	}
	return response
}

// body reads the body of one group of a draw in chunks.
func (h *trainerHandler) body(ctx context.Context, draw Draw, index int) (*Body, *Outcome) {
	var data []byte
	for {
		reply, failure := h.bodyPart(ctx, draw, index, len(data))
		if failure != nil {
			return nil, failure
		}
		data = append(data, reply.Data...)
		if len(data) >= reply.Size || len(reply.Data) == 0 {
			break
		}
	}
	var b Body
	if err := wire.Unmarshal(data, &b); err != nil {
		return nil, &Outcome{Code: CodeUnavailable, Detail: fmt.Sprintf("the body of group %d cannot be read: %v", index, err)}
	}
	return &b, nil
}

func (h *trainerHandler) bodyPart(ctx context.Context, draw Draw, index, offset int) (*BodyReply, *Outcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply BodyReply
	call := BodyCall{Trainer: draw.Trainer, Draw: draw.ID, Index: index, Offset: offset}
	if failure := h.roundTrip(ctx, MethodBody, call, &reply); failure != nil {
		return nil, failure
	}
	if reply.Outcome.Code != CodeOK {
		return nil, &reply.Outcome
	}
	return &reply, nil
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Code: CodeInvalid, Error: "the request body is not valid: " + err.Error()})
		return false
	}
	return true
}

// writeOutcome writes the response to a failed request.
func writeOutcome(w http.ResponseWriter, o Outcome) {
	status, ok := statusOf[o.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	switch o.Code {
	case CodeUnknown:
		w.Header().Set("Merlinhall-Outcome", "unknown")
	default:
		w.Header().Set("Merlinhall-Outcome", "not-run")
	}
	writeJSON(w, status, ErrorResponse{Code: o.Code, Error: o.Detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
