package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	// firstPolicySeed is the seed of the first workload of BenchmarkPolicy. The
	// others use the seeds that follow.
	firstPolicySeed = 20250301
	// policySeedCount is the number of generated workloads over which the results
	// are computed. With only one, a few gangs dominate the results of their class.
	policySeedCount = 4
)

// BenchmarkPolicy replays a seeded workload for each pool of two deployments,
// with wrongly declared sizes and run times, failing VMs, a VM that fails every
// task and jobs that always fail.
func BenchmarkPolicy(b *testing.B) {
	for _, w := range workloads {
		b.Run(w.name+"/core", func(b *testing.B) {
			benchPolicy(b, w, func() schedulerCore {
				state := New(DefaultPolicy())
				var teams []api.Team
				for i, share := range w.shares {
					teams = append(teams, api.Team{Name: teamName(i), Share: share, Limit: resources(100_000, 1_000_000, 10_000)})
				}
				state.SetTeams(teams)
				return state
			})
		})
		b.Run(w.name+"/first-fit", func(b *testing.B) {
			benchPolicy(b, w, func() schedulerCore { return newFirstFit() })
		})
	}
}

func benchPolicy(b *testing.B, w workload, newScheduler func() schedulerCore) {
	s := newResult()
	for range b.N {
		s = newResult()
		for i := range policySeedCount {
			seed := firstPolicySeed + uint64(i)
			g := &jobGenerator{rng: rand.New(rand.NewPCG(seed, 1)), workload: w, bias: map[string][2]float64{}}
			sim := newSimulation(newScheduler(), w, g.generateJobs(), seed)
			sim.result = s
			sim.run()
			s = sim.result
		}
	}
	for _, class := range []string{"urgent", "batch", "service", "gang"} {
		b.ReportMetric(quantile(s.waits[class], 0.5), class+"-p50-s")
		b.ReportMetric(quantile(s.waits[class], 0.99), class+"-p99-s")
		b.ReportMetric(quantile(s.firstStarts[class], 0.5), class+"-first-p50-s")
		b.ReportMetric(quantile(s.firstStarts[class], 0.99), class+"-first-p99-s")
		b.ReportMetric(quantile(s.delays[class], 0.5), class+"-delay-p50-s")
		b.ReportMetric(quantile(s.delays[class], 0.99), class+"-delay-p99-s")
	}
	average, worst := s.shareDistance()
	b.ReportMetric(100*float64(s.onTime)/float64(max(1, s.withDeadline)), "ontime-%")
	b.ReportMetric(100*mean(s.packing), "packing-%")
	b.ReportMetric(100*average, "share-distance-%")
	b.ReportMetric(100*worst, "share-distance-worst-%")
	b.ReportMetric(float64(s.preemptions), "preemptions")
	b.ReportMetric(100*s.workLost/(s.workDone+s.workLost), "lost-%")
	b.ReportMetric(float64(s.completed), "completed")
	b.ReportMetric(float64(s.total), "tasks")
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N*policySeedCount)/simLength.Seconds()*float64(time.Second/time.Millisecond), "ms/simulated-s")
}
