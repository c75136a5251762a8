package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// workerMailbox is the capacity of a worker's mailbox.
	workerMailbox = 8192
	// maxWorkerJobs bounds the running jobs and kept results of one entry.
	maxWorkerJobs = 4096
	// resultRetention is how long a finished result is kept until it is released. A
	// leader change takes seconds; the rest covers an entry that is disconnected
	// from control.
	resultRetention = 10 * time.Minute
	// workerTick is the period of the check for expired results.
	workerTick = 10 * time.Second
	// scoreRetryMin is the delay before the first retry of a scoring call; it doubles up
	// to scoreRetryMax. Calls are retried until the job's deadline, because generating
	// the sample again costs more. A retry is safe, as the call carries the sample id.
	scoreRetryMin = 200 * time.Millisecond
	scoreRetryMax = 5 * time.Second
)

// Runner runs the model and service calls of a job. The entry implements it.
type Runner interface {
	// Generate runs one model call to its end. Tokens with version 0 cannot be
	// attributed to a weight version. wasted counts tokens that were generated and
	// discarded during the call; it is valid with an error too.
	Generate(ctx context.Context, g *wire.Generate) (tokens []wire.Token, wasted int, err error)
	// CallService sends a POST request with a JSON body to a plain service and
	// returns the body of the response.
	CallService(ctx context.Context, service, path, requestID string, body []byte) ([]byte, error)
}

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	System *actor.System
	Runner Runner
	Log    *logrus.Entry
}

// sender is the part of a link that workers and coordinators use.
type sender interface {
	Send(m wire.Message) error
}

// Worker runs the rollout jobs of one entry. It implements link.Events for
// KindGenerate, KindAbandon and KindJobsQuery.
type Worker struct {
	options WorkerOptions
	actor   *actor.Actor
	jobs    map[string]*workerJob

	// Each switch disables one rule, for tests.
	skipDeduplication, skipVersionCheck bool
}

type workerJob struct {
	sample     wire.SampleID
	cancel     context.CancelFunc
	requesters map[sender]bool // links to send the result to
	result     *wire.SampleDone
	finished   time.Time
	// abandoned is set on a cancelled job until it ends. Its tokens are reported as
	// wasted.
	abandoned bool
}

type workerMessage struct {
	from sender
	m    wire.Message
}

type workerDown struct{ from sender }

type workerDone struct{ result *wire.SampleDone }

type workerTimer struct{}

var errAbandoned = eris.New("the job was abandoned")

// NewWorker starts a worker.
func NewWorker(o WorkerOptions) *Worker {
	w := &Worker{options: o, jobs: map[string]*workerJob{}}
	w.actor = o.System.Start("rollout worker", workerMailbox, actor.HandlerFunc(w.receive))
	w.actor.Every(workerTick, workerTimer{})
	return w
}

// Up implements link.Events.
func (w *Worker) Up(*link.Conn) {}

// Message implements link.Events.
func (w *Worker) Message(c *link.Conn, m wire.Message) { w.enqueueMessage(c, m) }

// Down implements link.Events.
func (w *Worker) Down(c *link.Conn, _ error) { _ = w.actor.Offer(workerDown{c}) }

func (w *Worker) enqueueMessage(from sender, m wire.Message) {
	err := w.actor.Offer(workerMessage{from, m})
	if g, ok := m.(*wire.Generate); ok && err != nil {
		_ = from.Send(&wire.SampleDone{Job: g.Job, Sample: g.Sample, Error: "the entry is overloaded"})
	}
}

// Stop stops the worker and cancels all jobs.
func (w *Worker) Stop() {
	w.actor.Stop()
	for _, j := range w.jobs {
		j.cancel()
	}
}

func (w *Worker) receive(msg any) {
	switch m := msg.(type) {
	case workerMessage:
		w.handle(m.from, m.m)
	case workerDown:
		for _, j := range w.jobs {
			delete(j.requesters, m.from)
		}
	case workerDone:
		w.finish(m.result)
	case workerTimer:
		w.expire(time.Now())
	}
}

func (w *Worker) handle(from sender, msg wire.Message) {
	switch m := msg.(type) {
	case *wire.Generate:
		w.generate(from, m)
	case *wire.Abandon:
		w.abandon(m.Job)
	case *wire.JobsQuery:
		w.sendJobList(from)
	}
}

func (w *Worker) abandon(id string) {
	j := w.jobs[id]
	if j == nil {
		return
	}
	j.cancel()
	j.abandoned = true
	if j.result != nil {
		delete(w.jobs, id)
	}
}

func (w *Worker) sendJobList(from sender) {
	list := &wire.JobList{}
	for _, id := range sortedKeys(w.jobs) {
		if w.jobs[id].abandoned {
			continue
		}
		list.Jobs = append(list.Jobs, wire.EntryJob{Job: id, Sample: w.jobs[id].sample})
	}
	_ = from.Send(list)
}

// generate starts a new job. For a known job it adds the requester, and resends the
// result if the job has finished.
func (w *Worker) generate(from sender, g *wire.Generate) {
	if j := w.jobs[g.Job]; j != nil && !w.skipDeduplication {
		j.requesters[from] = true
		if j.result != nil {
			_ = from.Send(j.result)
		}
		return
	}
	if len(w.jobs) >= maxWorkerJobs {
		_ = from.Send(&wire.SampleDone{Job: g.Job, Sample: g.Sample, Error: "the entry holds too many jobs"})
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(g.Deadline))
	w.jobs[g.Job] = &workerJob{sample: g.Sample, cancel: cancel, requesters: map[sender]bool{from: true}}
	go func() {
		defer cancel()
		result := w.run(ctx, g)
		w.deliver(result)
	}()
}

// deliver queues a result, which must not be lost: it retries while the mailbox is
// full.
func (w *Worker) deliver(result *wire.SampleDone) {
	for w.actor.Offer(workerDone{result}) == actor.ErrFull {
		time.Sleep(time.Millisecond)
	}
}

func (w *Worker) finish(result *wire.SampleDone) {
	j := w.jobs[result.Job]
	if j == nil {
		return
	}
	if j.abandoned && result.Error == "" {
		result = failJob(&wire.SampleDone{Job: result.Job, Sample: result.Sample, Wasted: result.Wasted}, len(result.Tokens), errAbandoned)
	}
	j.result = result
	j.finished = time.Now()
	for requester := range j.requesters {
		_ = requester.Send(result)
	}
	if result.Error != "" {
		delete(w.jobs, result.Job)
	}
}

func (w *Worker) expire(now time.Time) {
	for id, j := range w.jobs {
		if j.result != nil && now.Sub(j.finished) > resultRetention {
			delete(w.jobs, id)
		}
	}
}

// run generates and scores one sample.
func (w *Worker) run(ctx context.Context, g *wire.Generate) *wire.SampleDone {
	done := &wire.SampleDone{Job: g.Job, Sample: g.Sample}
	tokens, wasted, err := w.options.Runner.Generate(ctx, g)
	done.Wasted = wasted
	if err == nil && !w.skipVersionCheck {
		err = checkTokens(tokens, g.MinVersion)
	}
	if err != nil {
		return failJob(done, len(tokens), err)
	}
	score, err := w.scoreSample(ctx, g, tokens)
	if err != nil {
		return failJob(done, len(tokens), err)
	}
	done.Score = score
	done.Versions = rangesOf(tokens)
	done.Tokens = make([]string, len(tokens))
	for i, t := range tokens {
		done.Tokens[i] = t.Text
	}
	return done
}

func failJob(done *wire.SampleDone, tokens int, err error) *wire.SampleDone {
	done.Wasted += tokens
	done.Error = err.Error()
	return done
}

// checkTokens rejects a sample with tokens of unknown or too old versions.
func checkTokens(tokens []wire.Token, minVersion uint64) error {
	if len(tokens) == 0 {
		return fmt.Errorf("the generation has no tokens")
	}
	for i, t := range tokens {
		if t.Version == 0 {
			return fmt.Errorf("token %d cannot be attributed to a weight version", i)
		}
		if t.Version < minVersion {
			return fmt.Errorf("token %d is from version %d, the oldest accepted is %d", i, t.Version, minVersion)
		}
	}
	return nil
}

// scoreRequest is the body of a call to the scoring service.
type scoreRequest struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type scoreResponse struct {
	Score *float64 `json:"score"`
}

// ScorePath is the path of the scoring call.
const ScorePath = "/score"

func (w *Worker) scoreSample(ctx context.Context, g *wire.Generate, tokens []wire.Token) (float64, error) {
	if g.Scorer == "" {
		return 0, nil
	}
	var text strings.Builder
	for _, t := range tokens {
		text.WriteString(t.Text)
	}
	body, err := json.Marshal(scoreRequest{ID: sampleName(g.Sample), Prompt: g.Generation.Prompt, Text: text.String(), Tokens: len(tokens)})
	if err != nil {
		return 0, err
	}
	pause := scoreRetryMin
	for {
		score, err := callScorer(ctx, w.options.Runner, g, body)
		if err == nil {
			return score, nil
		}
		w.options.Log.WithField("sample", sampleName(g.Sample)).WithError(err).Warn("scoring failed; retrying")
		select {
		case <-time.After(pause):
			pause = min(2*pause, scoreRetryMax)
		case <-ctx.Done():
			return 0, err
		}
	}
}

// sampleName returns the sample id as text.
func sampleName(s wire.SampleID) string {
	return fmt.Sprintf("%s/%d/%d/%d", s.Trainer, s.Step, s.Group, s.Index)
}

func callScorer(ctx context.Context, r Runner, g *wire.Generate, body []byte) (float64, error) {
	answer, err := r.CallService(ctx, g.Scorer, ScorePath, g.Job, body)
	if err != nil {
		return 0, fmt.Errorf("score by %q: %w", g.Scorer, err)
	}
	var response scoreResponse
	if err := json.Unmarshal(answer, &response); err != nil || response.Score == nil {
		return 0, fmt.Errorf("score by %q: the response has no score", g.Scorer)
	}
	return *response.Score, nil
}

// WorkerKinds are the kinds of messages that a Worker handles.
var WorkerKinds = []wire.Kind{wire.KindGenerate, wire.KindAbandon, wire.KindJobsQuery}
