// Package load measures the latency that the system adds to requests. It sends the same
// requests directly to a target and through an entry, interleaved in one run, so that
// their ratio does not depend on other load on the host.
package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Options configure a measurement.
type Options struct {
	Direct      string // URL of a target
	Through     string // URL of the same call at an entry
	Requests    int    // to each of the two URLs
	Concurrency int    // number of concurrent requests
	Client      *http.Client
}

// Summary holds the latencies and failures of the requests to one URL.
type Summary struct {
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	Failed   int           `json:"failed"`
	Requests int           `json:"requests"`
}

// Result is the result of a measurement.
type Result struct {
	Direct   Summary `json:"direct"`
	Through  Summary `json:"through"`
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
	// PerSecond is the rate of requests through the system, while as many were sent
	// directly.
	PerSecond float64 `json:"through_per_second"`
}

// Run sends the requests and returns their latencies. Each worker alternates between the
// two URLs.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Requests < 1 || o.Concurrency < 1 {
		return Result{}, eris.New("requests and concurrency must be above 0")
	}
	var next atomic.Int64
	var wg sync.WaitGroup
	direct := make([]time.Duration, o.Requests)
	through := make([]time.Duration, o.Requests)
	start := time.Now()
	for range o.Concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; int(i) < o.Requests && ctx.Err() == nil; i = next.Add(1) - 1 {
				direct[i] = timeRequest(ctx, o.Client, o.Direct)
				through[i] = timeRequest(ctx, o.Client, o.Through)
			}
		}()
	}
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	r := Result{Direct: summarize(direct), Through: summarize(through)}
	r.RatioP50 = float64(r.Through.P50) / float64(max(r.Direct.P50, 1))
	r.RatioP99 = float64(r.Through.P99) / float64(max(r.Direct.P99, 1))
	r.PerSecond = float64(o.Requests) / time.Since(start).Seconds()
	return r, nil
}

// timeRequest returns the duration of one request, or 0 when it failed.
func timeRequest(ctx context.Context, client *http.Client, url string) time.Duration {
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return 0
	}
	return time.Since(start)
}

// summarize returns the percentiles of the successful requests; a time of 0 is a failure.
func summarize(times []time.Duration) Summary {
	summary := Summary{Requests: len(times)}
	succeeded := make([]time.Duration, 0, len(times))
	for _, t := range times {
		if t == 0 {
			summary.Failed++
			continue
		}
		succeeded = append(succeeded, t)
	}
	if len(succeeded) == 0 {
		return summary
	}
	slices.Sort(succeeded)
	summary.P50 = succeeded[len(succeeded)/2]
	summary.P99 = succeeded[len(succeeded)*99/100]
	return summary
}

// String returns the result as a table.
func (r Result) String() string {
	return fmt.Sprintf("            p50        p99        failed\ndirect      %-10s %-10s %d\nthrough     %-10s %-10s %d\nratio       %-10.2f %-10.2f\n%.0f requests a second through the system\n",
		round(r.Direct.P50), round(r.Direct.P99), r.Direct.Failed, round(r.Through.P50), round(r.Through.P99), r.Through.Failed, r.RatioP50, r.RatioP99, r.PerSecond)
}

func round(d time.Duration) time.Duration { return d.Round(time.Microsecond) }
