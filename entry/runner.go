package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Runner runs the work of rollout jobs on the entry.
type Runner struct {
	entry *Entry
}

// Runner returns the interface that rollout workers use.
func (e *Entry) Runner() *Runner { return &Runner{e} }

// Generate runs the model call of a job under the share of its trainer. wasted
// counts the tokens of a generation that did not become complete.
func (r *Runner) Generate(ctx context.Context, g *wire.Generate) (tokens []wire.Token, wasted int, err error) {
	request := GenerationRequest{
		Pool:       g.Pool,
		Generation: g.Generation,
		MinVersion: g.MinVersion,
		Priority:   &g.Priority,
		Caller:     g.Sample.Trainer,
	}
	if g.Deadline != 0 {
		request.Deadline = time.UnixMilli(g.Deadline)
	}
	result, err := r.entry.Generate(ctx, request)
	if err != nil {
		return nil, len(result.Tokens), err
	}
	return result.Tokens, 0, nil
}

// CallService posts a JSON body to a plain service and returns the body of its
// answer. requestID names the call to the service.
func (r *Runner) CallService(ctx context.Context, service, path, requestID string, body []byte) ([]byte, error) {
	request := ServiceRequest{
		Service: service,
		Method:  http.MethodPost,
		Path:    path,
		Headers: []wire.Header{
			{Name: "Content-Type", Value: "application/json"},
			{Name: HeaderRequestID, Value: requestID},
		},
		Body: body,
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Deadline = deadline
	}
	response, err := r.entry.CallService(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.Status >= http.StatusBadRequest {
		return nil, eris.Errorf("service %q answered %d", service, response.Status)
	}
	return response.Body, nil
}
