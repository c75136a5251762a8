package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that gets a response whose status HTTP does not have, or that waits for
// its whole time limit although another target is sound.
func TestStatusThatHTTPDoesNotHaveReachesNoCaller(t *testing.T) {
	for _, status := range []int{0, 1, 99, 101, 600, 700, 999} {
		t.Run(fmt.Sprintf("%03d", status), func(t *testing.T) {
			is := is.New(t)
			faulty := answer(status, "", "bytes")
			began := time.Now()
			one := newForwarder(startTarget(t, "a", faulty))
			result := one.Do(context.Background(), request("r", false, time.Second, 5*time.Second))
			is.Equal(result.Outcome, OutcomeUnknown)
			is.Equal(result.Body, nil)
			is.Equal(result.Status, 0)
			f := newForwarder(startTarget(t, "a", faulty), startTarget(t, "b", ok))
			for i := range 6 {
				result := f.Do(context.Background(), request(fmt.Sprint("r", i), true, 5*time.Second, 10*time.Second))
				is.Equal(string(result.Body), "fine")
			}
			sink := &collector{}
			end := one.Stream(context.Background(), request("s", false, time.Second, 5*time.Second), sink)
			is.Equal(end.Outcome, OutcomeUnknown)
			is.Equal(sink.status, 0)                   // nothing was passed on
			is.True(time.Since(began) < 3*time.Second) // no request waited for its time limit
		})
	}
}
