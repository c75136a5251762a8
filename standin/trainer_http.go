package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// maxDrawBytes bounds the body of a response. Draws are the largest.
const maxDrawBytes = 16 << 20

// drawResponse is the response to a draw.
type drawResponse struct {
	DrawID  string `json:"draw_id"`
	Version uint64 `json:"version"`
	Groups  []struct {
		Step    uint64 `json:"step"`
		Group   int    `json:"group"`
		Samples []struct {
			Trainer  string              `json:"trainer"`
			Step     uint64              `json:"step"`
			Group    int                 `json:"group"`
			Index    int                 `json:"index"`
			Tokens   []string            `json:"tokens"`
			Versions []wire.VersionRange `json:"versions"`
			Score    float64             `json:"score"`
		} `json:"samples"`
	} `json:"groups"`
}

// TrainerStatusError is the error for an HTTP response with a status other than 200.
type TrainerStatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *TrainerStatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// post sends a request and retries it until it succeeds or fails with a status that is
// not retryable. After each failure it uses the next entry.
func (t *Trainer) post(ctx context.Context, resource string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	for {
		err := t.request(ctx, http.MethodPost, "/"+resource, body, response)
		var status *TrainerStatusError
		if err == nil || errors.As(err, &status) && status.Status < 500 && status.Status != http.StatusTooManyRequests {
			return err
		}
		t.o.Logf("%s: %v", resource, err)
		t.entry++
		if err := sleep(ctx, trainerRetryDelay); err != nil {
			return err
		}
	}
}

func (t *Trainer) request(ctx context.Context, method, path string, body []byte, response any) error {
	base := t.o.Entries[t.entry%len(t.o.Entries)]
	url := base + "/v1/trainers/" + t.o.Name + path
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+t.o.Token)
	answer, err := t.o.Client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxDrawBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxDrawBytes {
		return eris.Errorf("the response is longer than %d bytes", maxDrawBytes)
	}
	if answer.StatusCode != http.StatusOK {
		return &TrainerStatusError{Status: answer.StatusCode, Body: string(bytes.TrimSpace(text))}
	}
	if response == nil {
		return nil
	}
	return json.Unmarshal(text, response)
}
