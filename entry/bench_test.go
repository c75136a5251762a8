package entry

import (
	"context"
	"sync"
	"testing"

	"merlinhall/wire"
)

// BenchmarkGenerate compares sequential with concurrent generations, to show the cost
// of sharing the single dispatcher.
func BenchmarkGenerate(b *testing.B) {
	const tokens = 100
	for name, callers := range map[string]int{"callers=1": 1, "callers=20": 20, "callers=200": 200} {
		b.Run(name, func(b *testing.B) {
			s := newTestbed(b, 4, nil)
			run := make(chan struct{})
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for range run {
						g, err := s.entry.Generate(context.Background(), GenerationRequest{Pool: "lm", Generation: wire.Generation{Prompt: "p", MaxTokens: tokens}})
						if err != nil || len(g.Tokens) != tokens {
							b.Errorf("%d tokens: %v", len(g.Tokens), err)
						}
					}
				})
			}
			for b.Loop() {
				run <- struct{}{}
			}
			close(run)
			wg.Wait()
			b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
