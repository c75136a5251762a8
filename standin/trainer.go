package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	trainerRequestTimeout = 30 * time.Second
	trainerRetryDelay     = 100 * time.Millisecond
)

// TrainerOptions configure a stand-in trainer.
type TrainerOptions struct {
	Name           string
	Entries        []string // base URLs of entries; after a failure the next one is used
	Store          string   // base URL of the weight store; empty for none
	Token          string
	Pools          []string
	Client         *http.Client
	Prompts        int // prompts per step, one group each
	GroupSize      int
	MaxTokens      int
	Seed           uint64
	StalenessBound uint64        // maximum number of weight versions that a received sample may be behind
	TrainTime      time.Duration // simulated duration of a training step
	StepsAhead     int           // number of steps opened beyond those that the training step draws from
	MaxGroups      int           // maximum number of groups per draw
	// TrainGroups is the number of groups per training step. The groups may come from
	// any open step, so that a long sample doesn't delay the training. 0 trains on the
	// groups of one step at a time.
	TrainGroups int
	Wait        time.Duration // wait_ms of a draw
	// ResendShare is the fraction of the draws with groups that the trainer sends again,
	// as if the response had been lost.
	ResendShare float64
	// StateFile is the file from which a restarted trainer resumes. Empty disables
	// persistence.
	StateFile string
	Logf      func(format string, args ...any)
}

// trainerState is the persistent state of a trainer.
type trainerState struct {
	Version        uint64          `json:"version"`
	Opened         uint64          `json:"opened"` // last step opened
	Step           uint64          `json:"step"`   // current training step; without TrainGroups also the step being drawn
	DrawID         string          `json:"draw_id"`
	Accepted       bool            `json:"accepted"`    // the samples of DrawID have been recorded
	DrawSerial     uint64          `json:"draw_serial"` // number of the last draw, part of DrawID
	GroupsReceived int             `json:"got"`         // groups received for the current training step
	Publishing     uint64          `json:"publishing"`  // version being published, or 0
	Received       []TrainerSample `json:"received"`
	Resent         int             `json:"resent"` // draws sent again, see ResendShare
	Draws          int             `json:"draws"`  // draws that returned groups
	Steps          int             `json:"steps"`  // finished training steps
	Idle           time.Duration   `json:"idle"`   // time spent waiting for groups
	Total          time.Duration   `json:"total"`  // duration of the finished training steps
	Violations     []string        `json:"violations"`
}

// Trainer is a stand-in trainer. It opens steps, draws, checks and acknowledges
// samples, simulates training and publishes the next weight version.
type Trainer struct {
	o      TrainerOptions
	random *rand.Rand
	entry  int

	mu           sync.Mutex
	state        trainerState
	drawBySample map[[3]uint64]string // draw id by step, group and index
}

// NewTrainer returns a trainer with the state from its state file, if there is one.
func NewTrainer(o TrainerOptions) (*Trainer, error) {
	if o.Client == nil {
		o.Client = &http.Client{Timeout: trainerRequestTimeout}
	}
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	t := &Trainer{
		o:            o,
		random:       rand.New(rand.NewPCG(o.Seed, 1)),
		state:        trainerState{Version: 1, Step: 1, Violations: []string{}},
		drawBySample: map[[3]uint64]string{},
	}
	if err := t.load(); err != nil {
		return nil, err
	}
	for _, s := range t.state.Received {
		t.drawBySample[[3]uint64{s.Step, uint64(s.Group), uint64(s.Index)}] = s.Draw
	}
	return t, nil
}

func (t *Trainer) load() error {
	if t.o.StateFile == "" {
		return nil
	}
	text, err := os.ReadFile(t.o.StateFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read trainer state: %w", err)
	}
	if err := json.Unmarshal(text, &t.state); err != nil {
		return fmt.Errorf("decode trainer state %s: %w", t.o.StateFile, err)
	}
	return nil
}

// save replaces the state file atomically: after a crash it holds the old or the new
// state.
func (t *Trainer) save() error {
	if t.o.StateFile == "" {
		return nil
	}
	t.mu.Lock()
	text, err := json.Marshal(t.state)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	f, err := os.Create(t.o.StateFile + ".tmp")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(t.o.StateFile+".tmp", t.o.StateFile)
}

// Run executes training steps until ctx is done or the given number of steps has
// finished; 0 means no limit. It returns nil if ctx is done.
func (t *Trainer) Run(ctx context.Context, steps int) error {
	for done := 0; steps == 0 || done < steps; done++ {
		if err := t.step(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	return nil
}

func (t *Trainer) step(ctx context.Context) error {
	start := time.Now()
	if err := t.publishPending(ctx); err != nil {
		return err
	}
	if err := t.openSteps(ctx); err != nil {
		return err
	}
	if err := t.drawStep(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, t.o.TrainTime); err != nil {
		return err
	}
	t.mu.Lock()
	t.state.Publishing = t.state.Version + 1
	t.state.Steps++
	t.state.Step++
	t.state.GroupsReceived = 0
	t.state.Total += time.Since(start)
	t.mu.Unlock()
	if err := t.save(); err != nil {
		return err
	}
	return t.publishPending(ctx)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// publishPending publishes the version in state.Publishing, if any. After a restart
// this repeats a publication that may already have succeeded.
func (t *Trainer) publishPending(ctx context.Context) error {
	if t.state.Publishing == 0 {
		return nil
	}
	version := t.state.Publishing
	if err := t.publishToStore(ctx, version); err != nil {
		return err
	}
	for _, pool := range t.o.Pools {
		request := map[string]any{"pool": pool, "version": version, "request_id": fmt.Sprintf("%s-%s-%d", t.o.Name, pool, version)}
		if err := t.post(ctx, "weights", request, nil); err != nil {
			if t.raiseVersion(ctx, err, version) {
				return t.publishPending(ctx)
			}
			return fmt.Errorf("publish version %d to pool %s: %w", version, pool, err)
		}
	}
	t.mu.Lock()
	t.state.Version, t.state.Publishing = version, 0
	t.mu.Unlock()
	return t.save()
}

// publishToStore publishes a version to the weight store. It must be called before
// the version is announced to the pools.
func (t *Trainer) publishToStore(ctx context.Context, version uint64) error {
	if t.o.Store == "" {
		return nil
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s/publish/%d", t.o.Store, version), nil)
	if err != nil {
		return err
	}
	answer, err := t.o.Client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("weight store responded with status %d", answer.StatusCode)
	}
	return nil
}

// raiseVersion handles a conflict, which occurs if another trainer that shares a pool
// has published in the meantime. It sets the pending version to one above the highest
// version of the trainer's pools and reports whether publishing should be retried.
func (t *Trainer) raiseVersion(ctx context.Context, cause error, version uint64) bool {
	var status *TrainerStatusError
	if !errors.As(cause, &status) || status.Status != http.StatusConflict {
		return false
	}
	var answer struct {
		Pools map[string]uint64 `json:"pool_versions"`
	}
	if err := t.request(ctx, http.MethodGet, "", nil, &answer); err != nil {
		return false
	}
	above := version
	for _, v := range answer.Pools {
		above = max(above, v+1)
	}
	if above == version {
		return false
	}
	t.mu.Lock()
	t.state.Publishing = above
	t.mu.Unlock()
	return t.save() == nil
}

// lastStep returns the last step whose groups the current training step may need.
func (t *Trainer) lastStep() uint64 {
	if t.o.TrainGroups == 0 {
		return t.state.Step
	}
	groups := t.state.Step * uint64(t.o.TrainGroups)
	return (groups + uint64(t.o.Prompts) - 1) / uint64(t.o.Prompts)
}

// missingGroups returns how many more groups the current training step needs. Without
// TrainGroups it computes this from the number of samples received for the step.
func (t *Trainer) missingGroups() int {
	if t.o.TrainGroups > 0 {
		return t.o.TrainGroups - t.state.GroupsReceived
	}
	return t.o.Prompts - t.samplesOfStep(t.state.Step)/t.o.GroupSize
}

func (t *Trainer) openSteps(ctx context.Context) error {
	for t.state.Opened < t.lastStep()+uint64(t.o.StepsAhead) {
		step := t.state.Opened + 1
		prompts := make([]string, t.o.Prompts)
		for i := range prompts {
			prompts[i] = t.prompt(step, i)
		}
		request := map[string]any{
			"step":       step,
			"prompts":    prompts,
			"group_size": t.o.GroupSize,
			"sampling":   map[string]any{"max_tokens": t.o.MaxTokens, "seed": t.o.Seed % (1 << 31)},
			"version":    t.state.Version,
		}
		if err := t.post(ctx, "steps", request, nil); err != nil {
			return fmt.Errorf("open step %d: %w", step, err)
		}
		t.mu.Lock()
		t.state.Opened = step
		t.mu.Unlock()
		if err := t.save(); err != nil {
			return err
		}
	}
	return nil
}

// drawStep draws until all groups of the current training step have been received.
// The time spent here counts as idle time of the trainer. After a restart, a draw that
// was already recorded is acknowledged again instead of being repeated, because the
// service may already have deleted its samples.
func (t *Trainer) drawStep(ctx context.Context) error {
	start := time.Now()
	if t.state.Accepted {
		if err := t.acknowledge(ctx); err != nil {
			return err
		}
	}
	for t.missingGroups() > 0 {
		if err := t.drawOnce(ctx); err != nil {
			return err
		}
	}
	t.mu.Lock()
	t.state.Idle += time.Since(start)
	t.mu.Unlock()
	return nil
}

func (t *Trainer) samplesOfStep(step uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.state.Received {
		if s.Step == step {
			n++
		}
	}
	return n
}

func (t *Trainer) drawOnce(ctx context.Context) error {
	if t.state.DrawID == "" {
		t.mu.Lock()
		t.state.DrawSerial++
		t.state.DrawID = fmt.Sprintf("%s-%d", t.o.Name, t.state.DrawSerial)
		t.mu.Unlock()
		if err := t.save(); err != nil {
			return err
		}
	}
	answer, err := t.requestDraw(ctx)
	if err != nil {
		return err
	}
	if len(answer.Groups) == 0 {
		return nil
	}
	if t.random.Float64() < t.o.ResendShare {
		again, err := t.requestDraw(ctx)
		if err != nil {
			return err
		}
		t.compareResent(answer, again)
		answer = again
	}
	t.accept(answer)
	if err := t.save(); err != nil {
		return err
	}
	return t.acknowledge(ctx)
}

// acknowledge confirms the recorded draw, so that the next draw gets a new id.
func (t *Trainer) acknowledge(ctx context.Context) error {
	if err := t.post(ctx, "acks", map[string]any{"draw_id": t.state.DrawID}, nil); err != nil {
		return fmt.Errorf("acknowledge draw %s: %w", t.state.DrawID, err)
	}
	t.mu.Lock()
	t.state.DrawID, t.state.Accepted = "", false
	t.mu.Unlock()
	return t.save()
}

func (t *Trainer) requestDraw(ctx context.Context) (*drawResponse, error) {
	request := map[string]any{
		"draw_id":    t.state.DrawID,
		"max_groups": t.o.MaxGroups,
		"wait_ms":    t.o.Wait.Milliseconds(),
	}
	if t.o.TrainGroups > 0 {
		request["max_groups"] = min(t.o.MaxGroups, t.missingGroups())
	} else {
		request["up_to_step"] = t.state.Step
	}
	var answer drawResponse
	if err := t.post(ctx, "draws", request, &answer); err != nil {
		return nil, fmt.Errorf("draw %s: %w", t.state.DrawID, err)
	}
	return &answer, nil
}

func (t *Trainer) prompt(step uint64, group int) string {
	return fmt.Sprintf("%s step %d prompt %d", t.o.Name, step, group)
}
