package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/standin"
	"merlinhall/wire"
)

// observer checks a cluster from the outside: responses to trainers and files on
// disk.
type observer struct {
	mu         sync.Mutex
	violations []string
	samples    int
}

func (o *observer) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// watch checks every sample in the responses of h: the text of each token is the
// version that produced it.
func (o *observer) watch(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		record := httptest.NewRecorder()
		h.ServeHTTP(record, r)
		var answer DrawResponse
		if json.Unmarshal(record.Body.Bytes(), &answer) == nil {
			for _, g := range answer.Groups {
				for _, s := range g.Samples {
					o.check(s)
				}
			}
		}
		w.WriteHeader(record.Code)
		_, _ = w.Write(record.Body.Bytes())
	})
}

func (o *observer) check(s SampleResponse) {
	o.mu.Lock()
	o.samples++
	o.mu.Unlock()
	for _, r := range s.Versions {
		for i := r.From; i < r.To; i++ {
			if s.Tokens[i] != strconv.FormatUint(r.Version, 10) {
				o.addViolation("token %d of sample %d/%d/%d is from version %s, recorded as %d", i, s.Step, s.Group, s.Index, s.Tokens[i], r.Version)
			}
		}
	}
}

// checkCopies checks that a majority of the replicas stores the body of a group that
// is being committed.
func (o *observer) checkCopies(c *cluster, g *CommitGroup) {
	copies := 0
	for _, name := range c.names {
		s := &Store{dir: filepath.Join(c.dirs[name], bodyDir), present: map[wire.BodyKey]bool{}}
		if data, err := s.Get(g.Key); err == nil && len(data) == g.Size {
			copies++
		}
	}
	if 2*copies <= len(c.names) {
		o.addViolation("group %v commits with %d copies of its body", g.Key, copies)
	}
}

// versionRunner generates tokens whose text is their version. A weight swap may
// happen during a generation, and the version of the last token is sometimes unknown.
type versionRunner struct {
	c    *cluster
	name string
	mu   sync.Mutex
	r    *rand.Rand
}

func (v *versionRunner) Generate(ctx context.Context, g *wire.Generate) ([]wire.Token, int, error) {
	if v.c.crashAt("generation", v.name) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	first := v.c.poolVersion()
	v.mu.Lock()
	length, unknown := 2+v.r.IntN(6), v.r.IntN(10) == 0
	v.mu.Unlock()
	if v.c.crashAt("swap", v.name) {
		unknown = true
	}
	var tokens []wire.Token
	for i := range length {
		version := first
		if i > length/2 {
			version = v.c.poolVersion()
		}
		token := wire.Token{Text: strconv.FormatUint(version, 10), Version: version}
		if unknown && i == length-1 {
			token = wire.Token{Text: "?", Version: 0}
		}
		tokens = append(tokens, token)
	}
	return tokens, 0, nil
}

func (v *versionRunner) CallService(ctx context.Context, _, _, _ string, _ []byte) ([]byte, error) {
	if v.c.crashAt("score", v.name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []byte(`{"score":1}`), nil
}

// crashRun is one run of a trainer during which processes crash at one point of
// the path from step to acknowledgement.
type crashRun struct {
	point            string
	occasion         int64 // the first crash happens the nth time that the point is reached
	crashes          int64
	keepFormerLeader bool // the former leader is not notified and goes on as leader
	disableRules     func(*cluster)
	totalSteps       int
	dropPoint        string // messages of this point are lost
}

func (run crashRun) run(t *testing.T) (*observer, standin.TrainerReport) {
	c := newCluster(t, "c1", "c2", "c3")
	o := &observer{}
	c.onCommit = func(g *CommitGroup) { o.checkCopies(c, g) }
	for i, entry := range []string{"e1", "e2"} {
		c.addEntry(entry, &versionRunner{c: c, name: entry, r: rand.New(rand.NewPCG(uint64(run.occasion), uint64(i)))})
	}
	if run.disableRules != nil {
		run.disableRules(c)
	}
	trainerCrash := make(chan struct{}, 1)
	c.setCrashAt(run.crashFunc(c, trainerCrash))
	c.lead("c1", true)
	server := httptest.NewServer(o.watch(TrainerHandler(c, nil)))
	defer server.Close()
	return o, runTrainer(t, server.URL, run.totalSteps, trainerCrash)
}

func (c *cluster) setCrashAt(f func(point, process string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashAt = f
}

// crashFunc returns a function that crashes the process that reaches the point. A
// crashed replica loses the leadership and then restarts.
func (run crashRun) crashFunc(c *cluster, trainerCrash chan struct{}) func(point, process string) bool {
	var seen, done atomic.Int64
	return func(point, process string) bool {
		if point == run.dropPoint {
			return true
		}
		if point != run.point || seen.Add(1) < run.occasion || done.Add(1) > run.crashes {
			return false
		}
		if run.keepFormerLeader {
			c.work.Go(func() { c.replaceLeader(process, false) })
			return false
		}
		c.crash(process)
		select {
		case trainerCrash <- struct{}{}:
		default:
		}
		c.work.Go(func() {
			c.replaceLeader(process, true)
			c.restart(process)
		})
		return true
	}
}

// replaceLeader makes the next replica the leader if the process is the leader.
func (c *cluster) replaceLeader(process string, notify bool) {
	c.logMu.Lock()
	leader := c.leader
	c.logMu.Unlock()
	for i, name := range c.names {
		if name == process && leader == process {
			c.lead(c.names[(i+1)%len(c.names)], notify)
		}
	}
}

// runTrainer runs a stand-in trainer, which is stopped at each crash and restarted
// from its state file.
func runTrainer(t *testing.T, url string, steps int, crash <-chan struct{}) standin.TrainerReport {
	state := filepath.Join(t.TempDir(), "trainer.json")
	for {
		tr, err := standin.NewTrainer(standin.TrainerOptions{
			Name: "abay", Entries: []string{url}, Pools: []string{"lm"}, Prompts: 5, GroupSize: 3,
			MaxTokens: 8, StalenessBound: 2, StepsAhead: 1, MaxGroups: 2, Wait: time.Second, ResendShare: 0.3, Seed: 5, StateFile: state,
		})
		if err != nil {
			t.Fatal(err)
		}
		left := steps - tr.Report().Steps
		if left <= 0 {
			return tr.Report()
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			select {
			case <-crash:
				cancel()
			case <-ctx.Done():
			}
		}()
		err = tr.Run(ctx, left)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
	}
}

var crashPoints = []string{
	"generation", "score", "swap", "result", "body", "stored",
	"before open", "after open", "before commit", "after commit", "before draw", "after draw",
	"before ack", "after ack", "before publish", "after publish",
}

// Guards against samples that are lost, duplicated, too old or have wrong versions,
// and against a trainer that blocks forever, when a process crashes at any point of
// the path, also while the former leader still acts as leader.
func TestCrashAtEveryPoint(t *testing.T) {
	t.Parallel()
	const steps = 4
	rounds := uint64(1)
	if os.Getenv("MERLINHALL_LONG") != "" {
		rounds = 10
	}
	t.Logf("%d runs of %d steps", rounds*uint64(2*len(crashPoints)), steps)
	for i, point := range crashPoints {
		for _, keepFormerLeader := range []bool{false, true} {
			for round := range rounds {
				t.Run(fmt.Sprintf("%s/former leader runs=%v/%d", point, keepFormerLeader, round), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					r := rand.New(rand.NewPCG(uint64(i), 11+round))
					run := crashRun{point: point, occasion: 1 + r.Int64N(4), crashes: 2, keepFormerLeader: keepFormerLeader, totalSteps: steps}
					o, report := run.run(t)
					is.Equal(report.Violations, []string{})
					is.Equal(o.violations, nil)
					is.Equal(report.Samples, steps*5*3)
					is.True(o.samples >= report.Samples)
				})
			}
		}
	}
}

// Guards against an observer that detects nothing: with a rule disabled it must report
// a violation. TestLedgerGuarantees does the same for the ledger.
func TestObserverNoticesMissingRules(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o, _ := crashRun{totalSteps: 2, dropPoint: "body", disableRules: func(c *cluster) {
		for _, r := range c.replicas {
			r.coord.skipMajority = true
		}
	}}.run(t)
	is.True(len(o.violations) > 0) // commits before a majority has the body
	is.True(bytes.Contains([]byte(o.violations[0]), []byte("copies")))

	o, report := crashRun{totalSteps: 4, disableRules: func(c *cluster) {
		for _, e := range c.entries {
			e.worker.skipVersionCheck = true
		}
	}}.run(t)
	is.True(len(o.violations) > 0 || len(report.Violations) > 0) // delivers unattributed tokens
}
