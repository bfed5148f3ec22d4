package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// BenchmarkAdviceResults measures what keeping the result of an advice call costs while many
// results are valid, as when much work waits in a large cell.
func BenchmarkAdviceResults(b *testing.B) {
	const validFor = 1500 * time.Millisecond
	for _, perSecond := range []int{100, 300, 700} {
		b.Run(fmt.Sprintf("calls_per_second=%d", perSecond), func(b *testing.B) {
			var results resultBuffer
			now, n := time.Hour, 0
			for b.Loop() {
				now += time.Second / time.Duration(perSecond)
				n++
				step := work.StepID{Work: fmt.Sprintf("%016x", n)}
				results.add(now, &adviceResult{step: step, workers: callWorkers(), expires: now + validFor})
			}
		})
	}
}

// BenchmarkInheritAdvice measures how long a new owner takes to decode the results that its
// predecessor passes on.
func BenchmarkInheritAdvice(b *testing.B) {
	in := manyAdviceResults()
	for b.Loop() {
		if _, err := decodeAdviceResults(in, time.Hour); err != nil {
			b.Fatal(err)
		}
	}
}
