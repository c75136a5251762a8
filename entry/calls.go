package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/wire"
)

// maxDeadline is the longest time from now to a request's deadline. It is below the
// agents' limit of one hour, to allow for clock skew.
const maxDeadline = 55 * time.Minute

// GenerationRequest requests one generation from a pool.
type GenerationRequest struct {
	// ID identifies the request to agents and in logs. If it is empty, the entry
	// generates one.
	ID         string
	Pool       string
	Generation wire.Generation
	// MinVersion is the oldest weight version on which the request may run.
	MinVersion uint64
	Priority   *int8     // nil means the pool's priority
	Caller     string    // name of the caller or trainer, for fair queueing
	Deadline   time.Time // zero means the pool's default
}

// GenerationResult is a generation. It is incomplete if Generate returned an error.
type GenerationResult struct {
	ID       string
	Tokens   []wire.Token        // each with the weight version that generated it
	Versions []wire.VersionRange // weight versions of Tokens, by range
	Target   string              // target of the last attempt
	Attempts int
}

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	ID       string
	Service  string
	Method   string
	Path     string // path and query, without the service name
	Headers  []wire.Header
	Body     []byte
	Priority *int8 // nil means the service's priority
	Caller   string
	Deadline time.Time // zero means the service's default
}

// ServiceResponse is the answer of a plain service. It is incomplete if CallService
// returned an error.
type ServiceResponse struct {
	ID      string
	Status  int
	Headers []wire.Header
	Body    []byte
}

// Generate runs a generation and returns when it has ended. Its error is an
// *OutcomeError, *UnknownServiceError or *InvalidRequestError. With an *OutcomeError
// the result holds the tokens generated so far.
func (e *Entry) Generate(ctx context.Context, r GenerationRequest) (GenerationResult, error) {
	c, err := e.configuration()
	if err != nil {
		return GenerationResult{}, err
	}
	req, err := e.newGeneration(c, r)
	if err != nil {
		return GenerationResult{}, err
	}
	result := GenerationResult{ID: req.state.id}
	if !e.submit(req) {
		return result, &OutcomeError{req.result}
	}
	end := e.follow(ctx, req, func(c attemptChunk) error {
		for _, t := range c.Tokens {
			result.Versions = appendVersion(result.Versions, len(result.Tokens), t.Version)
			result.Tokens = append(result.Tokens, t)
		}
		return nil
	})
	result.Target = end.Target
	result.Attempts = end.Attempts
	if end.Outcome != OutcomeDone {
		return result, &OutcomeError{end}
	}
	return result, nil
}

// appendVersion extends ranges by the token at index.
func appendVersion(ranges []wire.VersionRange, index int, version uint64) []wire.VersionRange {
	if n := len(ranges); n > 0 && ranges[n-1].Version == version {
		ranges[n-1].To = index + 1
		return ranges
	}
	return append(ranges, wire.VersionRange{From: index, To: index + 1, Version: version})
}

// CallService calls a plain service and returns its complete answer. Its errors are
// those of Generate.
func (e *Entry) CallService(ctx context.Context, r ServiceRequest) (ServiceResponse, error) {
	c, err := e.configuration()
	if err != nil {
		return ServiceResponse{}, err
	}
	req, err := e.newCall(c, r)
	if err != nil {
		return ServiceResponse{}, err
	}
	response := ServiceResponse{ID: req.state.id}
	if !e.submit(req) {
		return response, &OutcomeError{req.result}
	}
	collected := collectedAnswer{response: response}
	end := e.follow(ctx, req, collected.take)
	if collected.tooLong {
		end.Outcome, end.Detail = OutcomeUnknown, errAnswerTooLong.Error()
	}
	if end.Outcome != OutcomeDone {
		return collected.response, &OutcomeError{end}
	}
	return collected.response, nil
}

// maxAnswerBytes bounds the body of an answer that CallService returns. Answers to callers
// are passed on in chunks.
const maxAnswerBytes = 4 << 20

var errAnswerTooLong = eris.Errorf("entry: the answer is longer than %d bytes", maxAnswerBytes)

// collectedAnswer is the answer of the latest attempt of a call.
type collectedAnswer struct {
	response ServiceResponse
	attempt  int
	tooLong  bool
}

// take adds a chunk. An error ends the call.
func (a *collectedAnswer) take(c attemptChunk) error {
	if c.attempt != a.attempt {
		a.attempt = c.attempt
		a.response = ServiceResponse{ID: a.response.ID, Status: c.Status, Headers: c.Headers}
	}
	if len(a.response.Body)+len(c.Data) > maxAnswerBytes {
		a.tooLong = true
		return errAnswerTooLong
	}
	a.response.Body = append(a.response.Body, c.Data...)
	return nil
}

func (e *Entry) newGeneration(c *config.Config, r GenerationRequest) (*activeRequest, error) {
	pool := c.Pool(r.Pool)
	if pool == nil {
		return nil, &UnknownServiceError{Kind: "pool", Name: r.Pool, Known: poolNames(c)}
	}
	if r.ID == "" {
		r.ID = e.newID()
	}
	generation := r.Generation
	run := wire.Run{
		Service:    pool.Name,
		Method:     "POST",
		Path:       completionsPath,
		Priority:   pool.Priority,
		Caller:     r.Caller,
		Generation: &generation,
	}
	deadline := chooseDeadline(time.Now(), r.Deadline, pool.Deadline)
	req := newActiveRequest(pool.Name, newRequestState(r.ID, run, deadline, pool.IdleTimeout))
	req.setPriority(r.Priority)
	req.minVersion = r.MinVersion
	req.state.disabled = e.options.disabledRules
	return req, nil
}

func (e *Entry) newCall(c *config.Config, r ServiceRequest) (*activeRequest, error) {
	service := c.Service(r.Service)
	if service == nil {
		return nil, &UnknownServiceError{Kind: "service", Name: r.Service, Known: serviceNames(c)}
	}
	if r.ID == "" {
		r.ID = e.newID()
	}
	run := wire.Run{
		Service:    service.Name,
		Method:     r.Method,
		Path:       r.Path,
		Headers:    r.Headers,
		Body:       r.Body,
		Priority:   service.Priority,
		Idempotent: service.Idempotent(r.Method, r.Path),
		Caller:     r.Caller,
	}
	deadline := chooseDeadline(time.Now(), r.Deadline, service.Deadline)
	req := newActiveRequest(service.Name, newRequestState(r.ID, run, deadline, service.IdleTimeout))
	req.setPriority(r.Priority)
	req.state.disabled = e.options.disabledRules
	return req, nil
}

func chooseDeadline(now, asked time.Time, configured time.Duration) time.Time {
	if asked.IsZero() {
		asked = now.Add(configured)
	}
	if latest := now.Add(maxDeadline); asked.After(latest) {
		return latest
	}
	return asked
}

// errNoConfiguration is returned before the first cluster state has arrived.
var errNoConfiguration = &OutcomeError{notRun("no configuration has arrived yet", time.Second)}

// configuration returns the configuration in force, or errNoConfiguration. A request is
// judged and built from a single one, so that its caller's access is that of the call.
func (e *Entry) configuration() (*config.Config, error) {
	if v := e.view.Load(); v != nil && v.config != nil {
		return v.config, nil
	}
	return nil, errNoConfiguration
}

func serviceNames(c *config.Config) []string {
	names := make([]string, 0, len(c.Services))
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	return names
}

func poolNames(c *config.Config) []string {
	names := make([]string, 0, len(c.Pools))
	for i := range c.Pools {
		names = append(names, c.Pools[i].Name)
	}
	return names
}
