package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// BenchmarkAdviceResults measures what keeping the result of an advice call costs while many
// results are valid, as when much work waits in a large cell.
func BenchmarkAdviceResults(b *testing.B) {
	const validFor = 1500 * time.Millisecond
	for _, perSecond := range []int{100, 300, 700} {
		b.Run(fmt.Sprintf("calls_per_second=%d", perSecond), func(b *testing.B) {
			var results adviceResults
			now := time.Hour
			for b.Loop() {
				now += time.Second / time.Duration(perSecond)
				results.add(&adviceResult{"step", adviceOf(callWorkers(), nil, now+validFor)}, now)
			}
		})
	}
}

// BenchmarkInheritAdvice measures how long a new owner takes to add the results that its
// predecessor passes on.
func BenchmarkInheritAdvice(b *testing.B) {
	in := manyAdviceResults()
	for b.Loop() {
		o := New(Options{Clock: clock.System{}})
		o.inheritAdvice(in)
	}
}
