package cellnode

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/platform/standin"
)

// BenchmarkLoad runs one second of the load of a large deployment in each iteration,
// over real sockets: 350 executors and about 600 task starts. CPU profiles of it show
// where the owner spends its time; they include the simulated platform and the
// submitters, which run in the same process.
func BenchmarkLoad(b *testing.B) {
	o := standin.Options{
		Pools:        []standin.Pool{{Name: "desk", Count: 350, Capacity: api.Resources{CpuMillis: 20000, MemoryMb: 65536}}},
		Queues:       []standin.Queue{{Name: "quotes", Pool: "desk", MaxAttempts: 3}},
		Teams:        []standin.Team{testTeam},
		AdvisedShare: 0.5,
	}
	c := startCell(b, 6, o)
	client := c.client()
	const perSecond = 40
	var accepted, refused atomic.Int64
	var wait sync.WaitGroup
	n := 0
	b.ResetTimer()
	for range b.N {
		for range perSecond {
			id := n
			n++
			wait.Add(1)
			go func() {
				defer wait.Done()
				steps := []standin.Step{{Count: 5 + rand.IntN(10), Size: api.Resources{CpuMillis: 2700, MemoryMb: 4300}, RunTime: 900 * time.Millisecond}}
				second := steps[0]
				second.After = []int{0}
				status, err := client.Submit(b.Context(), id, "quotes", fmt.Sprintf("%016x", id), "payload", append(steps, second))
				if err == nil && status == http.StatusOK {
					accepted.Add(1)
				} else {
					refused.Add(1)
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
	}
	wait.Wait()
	b.ReportMetric(float64(accepted.Load())/float64(b.N), "accepted/s")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/s")
}
