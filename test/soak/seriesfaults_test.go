package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Durations and spacing of the faults that come in series or last longer than a lease.
const (
	meanSeriesInterval = 2 * time.Second
	beyondLease        = 6 * time.Second // outlasts the lease of a worker that is cut off
	seriesSteps        = 3
	maxSeriesPause     = 700 * time.Millisecond
)

// seriesFaults overlap with the faults above. They have a list of their own, so that the
// faults that a seed picks from the other list stay the same.
var seriesFaults = append(listAndAdviceFaults, fault{
	"restarts, signals and changes in series", 2, func(s *soak, r *rand.Rand, _ time.Duration) string { return restartInSeries(s, r) },
})

// listAndAdviceFaults disturb what the owner knows about workers, and no node.
var listAndAdviceFaults = []fault{
	{"registrations expire", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		return expireRegistrations(s, r, duration, false)
	}},
	{"registrations expire, links cut", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		return expireRegistrations(s, r, beyondLease+duration/2, true)
	}},
	{"adviser unavailable", 1, func(s *soak, r *rand.Rand, duration time.Duration) string {
		mode := []standin.Mode{standin.Busy, standin.Reset, standin.Silent}[r.IntN(3)]
		s.platform.Adviser.Faults.SetMode(mode)
		time.Sleep(duration)
		s.platform.Adviser.Faults.SetMode(standin.Up)
		return fmt.Sprintf("mode %d", mode)
	}},
	{"adviser answers lost", 1, func(s *soak, _ *rand.Rand, duration time.Duration) string {
		s.platform.Adviser.Faults.SetLost(0.5)
		time.Sleep(duration)
		s.platform.Adviser.Faults.SetLost(0)
		return ""
	}},
	{"later adviser answers lost", 2, func(s *soak, _ *rand.Rand, duration time.Duration) string {
		s.platform.Adviser.SetLaterLost(0.8)
		time.Sleep(duration)
		s.platform.Adviser.SetLaterLost(0)
		return ""
	}},
}

// secondPart returns the faults of the second part of a run. In half of the runs they keep
// the owner, because a takeover hides what an owner has forgotten.
func (s *soak) secondPart() []faultStream {
	if s.newRand("kept owner").IntN(2) == 0 {
		return []faultStream{{"list and advice", listAndAdviceFaults, meanSeriesInterval}, {"evacuations", undisturbedEvacuations, meanSeriesInterval}}
	}
	return []faultStream{
		{"more faults", faults, meanFaultInterval}, {"series", seriesFaults, meanSeriesInterval}, {"evacuations", evacuations, meanSeriesInterval},
	}
}

// expireRegistrations removes a share of the workers from the table of workers while they
// go on running, and can cut all links to them as well.
func expireRegistrations(s *soak, r *rand.Rand, duration time.Duration, cut bool) string {
	share := []float64{0.3, 0.7, 1}[r.IntN(3)]
	refused := r.IntN(3) == 0
	workers := r.Perm(len(s.platform.Executors))[:int(share*float64(len(s.platform.Executors)))]
	for _, n := range workers {
		s.platform.Executors[n].ExpireRegistration()
		if cut {
			s.setLink(s.workerLinks[n], faultproxy.Faults{Refuse: refused, DropRequests: true, DropAnswers: true})
		}
	}
	time.Sleep(duration)
	for _, n := range workers {
		if cut {
			s.setLink(s.workerLinks[n], faultproxy.Faults{})
		}
		s.platform.Executors[n].RenewRegistration()
	}
	return fmt.Sprintf("%d workers, refused %v", len(workers), refused && cut)
}

// restartInSeries restarts nodes one after the other, each with a signal to another node
// and a change of the configuration.
func restartInSeries(s *soak, r *rand.Rand) string {
	order := r.Perm(len(s.nodes))[:seriesSteps]
	for step, n := range order {
		node, other := s.nodes[n], s.nodes[order[(step+1)%seriesSteps]]
		s.addQueue()
		other.signal(syscall.SIGHUP, false)
		if r.IntN(2) == 0 {
			node.terminate()
		} else {
			node.kill()
		}
		node.start()
		time.Sleep(time.Duration(r.Int64N(int64(maxSeriesPause))))
	}
	return fmt.Sprint(order)
}
