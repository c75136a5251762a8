package experiment

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/rollout"
)

// partlyMeasured runs a model until some trainers have ended their warm-up and some have
// not.
func partlyMeasured(t *testing.T) (m *rolloutModel, measured []*trainerModel) {
	t.Helper()
	deployment := Abay
	deployment.TrainTime /= 4 // the engines' token rate is the limit
	m = newRolloutModel(RolloutOptions{Deployment: deployment, Seed: 3, Policies: rollout.Policies{CancelTooOld: true}, Surplus: 0.5})
	for at := time.Duration(0); at < time.Hour; at += 10 * time.Second {
		m.events.run(epoch.Add(at))
		measured = nil
		for _, trainer := range m.trainers {
			if trainer.finishedSteps > warmupSteps {
				measured = append(measured, trainer)
			}
		}
		if n := len(measured); n > 0 && n < len(m.trainers) {
			return m, measured
		}
	}
	t.Fatal("no moment at which some trainers are measured")
	return nil, nil
}

// Guards against a lower bound of idle time that takes the tokens of some trainers and the
// steps of all, and so promises less idle time than engines can reach.
func TestIdleBoundIsOfTheMeasuredTrainers(t *testing.T) {
	is := is.New(t)
	m, measured := partlyMeasured(t)
	tokens, steps := 0.0, 0.0
	for _, trainer := range measured {
		tokens += float64(m.ledger.Status()[trainer.name].Counts.Delivered)
		steps += float64(trainer.finishedSteps)
	}
	r := m.result()
	is.True(r.Steps > steps)
	is.Equal(r.IdleBound, m.idleLowerBound(tokens/steps))
	is.True(r.IdleBound > 0)
}

// Guards against a warm-up, with empty queues and trainers that begin together, that is
// part of the waste and of the callers' latency.
func TestWarmUpIsNotMeasured(t *testing.T) {
	is := is.New(t)
	deployment := Abay
	deployment.MeanTimeBetweenCrashes /= 4 // sequences are lost all the time
	m := newRolloutModel(RolloutOptions{Deployment: deployment, Seed: 3, Baseline: true, Ahead: 1})
	at := time.Duration(0)
	for ; !m.measured() && at < time.Hour; at += 10 * time.Second {
		if !slices.ContainsFunc(m.trainers, (*trainerModel).measured) {
			is.Equal(m.lostTokens, 0.0)
		}
		is.Equal(len(m.callerLatencies), 0)
		m.events.run(epoch.Add(at))
	}
	is.True(m.measured())
	m.events.run(epoch.Add(at + 10*time.Minute))
	is.True(m.lostTokens > 0)
	is.True(len(m.callerLatencies) > 1000)
	for _, trainer := range m.trainers {
		before := trainer.countsBefore.Delivered
		is.True(before > 0 && before < trainer.counts().Delivered)
	}
}
