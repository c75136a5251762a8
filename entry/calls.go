package entry

import (
	"context"
	"time"

	"merlinhall/config"
	"merlinhall/wire"
)

// maxDeadline bounds the deadline of any request. It is below the limit of agents
// (one hour), so that clocks may differ.
const maxDeadline = 55 * time.Minute

// GenerationRequest asks for one generation from a pool.
type GenerationRequest struct {
	// ID names the request in logs and metrics; the entry chooses one when empty.
	ID         string
	Pool       string
	Generation wire.Generation
	// MinVersion keeps the request away from engines of an older weight version.
	MinVersion uint64
	Priority   *int8     // the pool's priority when nil
	Caller     string    // caller or trainer, for fair shares
	Deadline   time.Time // the pool's deadline when zero
}

// GenerationResult is a complete generation.
type GenerationResult struct {
	ID       string
	Tokens   []wire.Token        // each with the version that the agent reported
	Versions []wire.VersionRange // of Tokens
	Target   string              // target that finished the generation
	Attempts int
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID       string
	Service  string
	Method   string
	Path     string // with the query, without the name of the service
	Headers  []wire.Header
	Body     []byte
	Priority *int8 // the service's priority when nil
	Caller   string
	Deadline time.Time // the service's deadline when zero
}

// ServiceResponse is a complete answer of a plain service.
type ServiceResponse struct {
	ID      string
	Status  int
	Headers []wire.Header
	Body    []byte
}

// Generate runs a generation and returns when it is complete. Errors are
// *OutcomeError, *UnknownServiceError or *InvalidRequestError.
func (e *Entry) Generate(ctx context.Context, r GenerationRequest) (GenerationResult, error) {
	f, err := e.newGeneration(r)
	if err != nil {
		return GenerationResult{}, err
	}
	result := GenerationResult{ID: f.request.id}
	if !e.submit(f) {
		return result, &OutcomeError{f.result}
	}
	end := e.follow(ctx, f, func(c piece) error {
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

// appendVersion adds the token at index to the version ranges.
func appendVersion(ranges []wire.VersionRange, index int, version uint64) []wire.VersionRange {
	if n := len(ranges); n > 0 && ranges[n-1].Version == version {
		ranges[n-1].To = index + 1
		return ranges
	}
	return append(ranges, wire.VersionRange{From: index, To: index + 1, Version: version})
}

// CallService calls a plain service and returns its complete answer. Errors are
// those of Generate.
func (e *Entry) CallService(ctx context.Context, r ServiceRequest) (ServiceResponse, error) {
	f, err := e.newCall(r)
	if err != nil {
		return ServiceResponse{}, err
	}
	response := ServiceResponse{ID: f.request.id}
	if !e.submit(f) {
		return response, &OutcomeError{f.result}
	}
	attempt := 0
	end := e.follow(ctx, f, func(c piece) error {
		if c.attempt != attempt {
			attempt = c.attempt
			response = ServiceResponse{ID: f.request.id, Status: c.Status, Headers: c.Headers}
		}
		response.Body = append(response.Body, c.Data...)
		return nil
	})
	if end.Outcome != OutcomeDone {
		return response, &OutcomeError{end}
	}
	return response, nil
}

func (e *Entry) newGeneration(r GenerationRequest) (*flight, error) {
	c := e.configuration()
	if c == nil {
		return nil, errNoConfiguration
	}
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
	f := newFlight(pool.Name, newRequest(r.ID, run, deadline, pool.IdleTimeout))
	f.setPriority(r.Priority)
	f.minVersion = r.MinVersion
	f.request.rules = e.options.rules
	return f, nil
}

func (e *Entry) newCall(r ServiceRequest) (*flight, error) {
	c := e.configuration()
	if c == nil {
		return nil, errNoConfiguration
	}
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
	f := newFlight(service.Name, newRequest(r.ID, run, deadline, service.IdleTimeout))
	f.setPriority(r.Priority)
	f.request.rules = e.options.rules
	return f, nil
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

// errNoConfiguration is returned before the first world.
var errNoConfiguration = &OutcomeError{notRun("no configuration has arrived yet", time.Second)}

// configuration returns the configuration in force, nil before the first world.
func (e *Entry) configuration() *config.Config {
	if v := e.config.Load(); v != nil {
		return v.config
	}
	return nil
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
