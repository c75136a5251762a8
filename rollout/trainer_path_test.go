package rollout

import (
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/standin"
)

func testTrainer(t *testing.T, url string, trainGroups int) *standin.Trainer {
	tr, err := standin.NewTrainer(standin.TrainerOptions{
		TrainGroups:    trainGroups,
		Name:           "abay",
		Entries:        []string{url},
		Token:          "secret",
		Pools:          []string{"lm"},
		Prompts:        6,
		GroupSize:      4,
		MaxTokens:      16,
		StalenessBound: 2,
		StepsAhead:     1,
		MaxGroups:      4,
		Wait:           5 * time.Second,
		ResendShare:    0.5,
		Seed:           7,
		StateFile:      filepath.Join(t.TempDir(), "trainer.json"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// Guards against a failure anywhere on the path from a trainer's step to its
// samples: step, jobs, bodies on three replicas, draw, resent draw, acknowledgement and
// weights.
func TestTrainerRunsSteps(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "c1", "c2", "c3")
	for _, entry := range []string{"e1", "e2"} {
		c.addEntry(entry, &fakeRunner{version: c.poolVersion})
	}
	c.lead("c1", true)
	server := httptest.NewServer(TrainerHandler(c, func(token, _ string) bool { return token == "secret" }))
	defer server.Close()
	tr := testTrainer(t, server.URL, 0)
	is.NoErr(tr.Run(t.Context(), 4))
	report := tr.Report()
	is.Equal(report.Violations, []string{})
	is.Equal(report.Samples, 4*6*4)
	is.Equal(report.Version, uint64(5))
	is.True(report.Resent > 0)
	is.True(report.StalenessMax <= 2)
}

// Guards against groups that are left over or drawn twice when a trainer trains
// on the first complete groups of any open step.
func TestTrainerTakesAnyGroups(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "c1")
	c.addEntry("e1", &fakeRunner{version: c.poolVersion})
	c.lead("c1", true)
	server := httptest.NewServer(TrainerHandler(c, nil))
	defer server.Close()
	tr := testTrainer(t, server.URL, 9)
	is.NoErr(tr.Run(t.Context(), 4))
	report := tr.Report()
	is.Equal(report.Violations, []string{})
	is.Equal(report.Samples, 4*9*4)
	is.True(report.StalenessMax <= 2)
}
