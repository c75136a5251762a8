package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const stepLines = `
{"host":"s1","model":"m","msg":"batch: submission started","step":3,"submission":"k3","time":"2026-05-05T01:00:00.000Z"}
{"begun_ms":40,"engine":"i-1","events":9,"host":"s1","item":"a","listed_ms":520,"msg":"batch: item is listed","runs":1,"submission":"k3","text_ms":500,"time":"2026-05-05T01:00:00.520Z"}
{"host":"s2","msg":"batch: leads","term":4,"time":"2026-05-05T01:00:02.000Z"}
{"begun_ms":2100,"engine":"i-2","events":150,"host":"s2","item":"b","listed_ms":7300,"msg":"batch: item is listed","runs":2,"submission":"k3","text_ms":7200,"time":"2026-05-05T01:00:07.300Z"}
{"groups":14,"host":"s2","msg":"batch: submission has the complete groups that its trainer waits for","step":3,"submission":"k3","time":"2026-05-05T01:00:07.301Z"}
{"begun_ms":2100,"engine":"i-2","events":190,"host":"s2","item":"c","listed_ms":7400,"msg":"batch: item is listed","runs":1,"submission":"k3","text_ms":7390,"time":"2026-05-05T01:00:07.400Z"}
{"host":"s2","left":1,"msg":"batch: submission is closed: ended by the client","submission":"k3","time":"2026-05-05T01:00:07.600Z"}
{"host":"s2","msg":"batch: leads","term":5,"time":"2026-05-05T01:00:09.000Z"}
{"host":"s2","model":"m","msg":"batch: submission started","step":2,"submission":"k2","time":"2026-05-05T01:00:08.000Z"}
`

// Guards against an account that names a text for which the trainer did not wait, or counts
// a change of leader that did not delay the step.
func TestStepsAreSplitByWhatTheyWaitedFor(t *testing.T) {
	is := is.New(t)
	log := &Log{}
	is.NoErr(log.Read("file", strings.NewReader(stepLines)))
	steps := log.Steps()
	is.Equal(len(steps), 2)
	open, whole := steps[0], steps[1]
	is.Equal(open.Step, 2)
	is.Equal(open.Whole, time.Duration(-1))
	is.Equal(open.LeaderChanges, 1)
	is.Equal(whole.Whole, 7301*time.Millisecond)
	is.Equal(whole.Closed, 299*time.Millisecond)
	is.Equal(whole.LeaderChanges, 1)
	is.Equal(whole.Last, LastText{
		Item: "b", Engine: "i-2", Events: 150, Runs: 2,
		Begun: 2100 * time.Millisecond, Generated: 5100 * time.Millisecond, Listed: 100 * time.Millisecond,
	})
}
