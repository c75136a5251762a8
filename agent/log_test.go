package agent

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/weights"
	"merlinhall/wire"
)

func recordedLog() (*logrus.Entry, *bytes.Buffer) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetLevel(logrus.DebugLevel)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	return logrus.NewEntry(log), &out
}

// Guards against a target that counts as down after failed weight swaps, or as up again,
// without a line that says so.
func TestHealthByFailedSwapsIsLogged(t *testing.T) {
	is := is.New(t)
	log, out := recordedLog()
	a := &Agent{table: newTable("b", 8, 8, &routeCheck{}), gate: &orderGate{}, log: log}
	order := gateAction{op: gateOrder, version: 2, fence: wire.Fence{Term: 1}}
	a.gate.desired, a.gate.hasDesired = wire.WeightTarget{Version: 2, Fence: order.fence}, true
	for range maxSwapAttempts {
		is.Equal(out.String(), "")
		a.gate.pending = order
		a.gate.handleOrder(0, order, orderFailed)
		a.updateTargetDown(nil)
	}
	is.True(a.table.targetDown)
	is.True(strings.Contains(out.String(), "target health changed"))
	is.True(strings.Contains(out.String(), "down=true") && strings.Contains(out.String(), "failed_swaps=3"))
	is.True(!strings.Contains(out.String(), "error="))
	out.Reset()
	a.gate.setDesired(5, wire.WeightTarget{Version: 3}, true)
	a.updateTargetDown(nil)
	a.updateTargetDown(nil)
	is.Equal(strings.Count(out.String(), "down=false"), 1)
}

// Guards against a line that calls weights present that are too large to be passed on and
// were not fetched.
func TestTransferOfTooLargeWeightsIsNotCalledPresent(t *testing.T) {
	is := is.New(t)
	log, out := recordedLog()
	var ended []any
	d := &distributor{log: log, cache: weights.NewCache(1), report: func(m any) { ended = append(ended, m) }}
	for _, c := range []struct {
		op      weights.TransferOp
		outcome string
		ok      bool
	}{{weights.TransferTooLarge, `outcome="too large"`, true}, {weights.TransferFailed, "outcome=failed", false}, {weights.TransferDone, "outcome=present", true}} {
		out.Reset()
		d.applySteps([]weights.TransferStep{{Op: c.op}})
		is.True(strings.Contains(out.String(), c.outcome))
		is.True(!strings.Contains(out.String(), "present=true"))
		is.Equal(ended[len(ended)-1], fetchEnded{ok: c.ok}) // an engine may load what is too large
	}
}
