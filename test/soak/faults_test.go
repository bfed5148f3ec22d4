package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Durations and spacing of the injected faults. Faults may overlap.
const (
	minFaultTime      = 300 * time.Millisecond
	maxFaultTime      = 5 * time.Second
	meanFaultInterval = 700 * time.Millisecond // between the starts of two faults
)

// fault is a kind of fault that the test injects and removes again.
type fault struct {
	name   string
	weight int                                                        // relative frequency
	inject func(s *soak, r *rand.Rand, duration time.Duration) string // blocks until the fault is removed; returns its target
}

var faults = []fault{
	{"node killed", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		n := s.pickNode(r)
		n.kill()
		time.Sleep(duration / 3)
		n.start()
		return n.name
	}},
	{"owner killed", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		n := s.cellOwner(r)
		n.kill()
		time.Sleep(duration / 3)
		n.start()
		return n.name
	}},
	{"all nodes killed", 1, func(s *soak, _ *rand.Rand, duration time.Duration) string {
		for _, n := range s.nodes {
			n.kill()
		}
		time.Sleep(duration / 5)
		for _, n := range s.nodes {
			n.start()
		}
		return "all"
	}},
	{"graceful node restart", 3, func(s *soak, r *rand.Rand, _ time.Duration) string {
		n := s.pickNode(r)
		n.terminate()
		n.start()
		return n.name
	}},
	{"node paused", 3, func(s *soak, r *rand.Rand, duration time.Duration) string { return pauseNode(s.pickNode(r), duration) }},
	{"owner paused", 3, func(s *soak, r *rand.Rand, duration time.Duration) string { return pauseNode(s.cellOwner(r), duration) }},
	{"SIGHUP to node", 1, func(s *soak, r *rand.Rand, _ time.Duration) string {
		n := s.pickNode(r)
		n.signal(syscall.SIGHUP, false)
		return n.name
	}},
	{"link from node to store", 4, func(s *soak, r *rand.Rand, duration time.Duration) string {
		n := s.pickNode(r)
		return n.name + " " + injectLinkFault(s, n.store, r, duration)
	}},
	{"link from owner to store", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		n := s.cellOwner(r)
		return n.name + " " + injectLinkFault(s, n.store, r, duration)
	}},
	{"links from other nodes", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		n := s.pickNode(r)
		return n.name + " " + injectLinkFault(s, n.peer, r, duration)
	}},
	{"link to adviser", 2, func(s *soak, r *rand.Rand, duration time.Duration) string {
		n := s.pickNode(r)
		return n.name + " " + injectLinkFault(s, n.adviser, r, duration)
	}},
	{"link to worker", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		return injectLinkFault(s, s.workerLinks[r.IntN(len(s.workerLinks))], r, duration)
	}},
	{"store unavailable", 2, func(s *soak, r *rand.Rand, duration time.Duration) string {
		mode := []standin.Mode{standin.Busy, standin.Reset, standin.Silent}[r.IntN(3)]
		s.platform.Store.Faults.SetMode(mode)
		time.Sleep(duration)
		s.platform.Store.Faults.SetMode(standin.Up)
		return fmt.Sprintf("mode %d", mode)
	}},
	{"store slow", 1, func(s *soak, _ *rand.Rand, duration time.Duration) string {
		s.platform.Store.Faults.SetDelay(200 * time.Millisecond)
		time.Sleep(duration)
		s.platform.Store.Faults.SetDelay(0)
		return ""
	}},
	{"store answers lost or late", 2, func(s *soak, _ *rand.Rand, duration time.Duration) string {
		s.platform.Store.Faults.SetLost(0.3)
		s.platform.Store.Faults.SetLate(0.1, 500*time.Millisecond, 2500*time.Millisecond)
		time.Sleep(duration)
		s.platform.Store.Faults.SetLost(0)
		s.platform.Store.Faults.SetLate(0, 0, 0)
		return ""
	}},
	{"store history compacted", 2, func(s *soak, _ *rand.Rand, _ time.Duration) string {
		s.platform.Store.Compact()
		return ""
	}},
	{"worker crashed", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		e := s.pickWorker(r)
		e.Crash()
		time.Sleep(duration)
		e.Restart()
		return e.ID
	}},
	{"worker drained and replaced", 2, func(s *soak, r *rand.Rand, duration time.Duration) string {
		e := s.pickWorker(r)
		e.Drain()
		time.Sleep(drainTime + duration)
		e.Crash()
		time.Sleep(time.Second)
		e.Restart()
		return e.ID
	}},
	{"worker fails all tasks", 2, toggleWorkerFault((*standin.Executor).SetFails)},
	{"worker hangs", 2, toggleWorkerFault((*standin.Executor).SetHangs)},
	{"worker executes calls late", 3, func(s *soak, r *rand.Rand, duration time.Duration) string {
		e := s.pickWorker(r)
		e.Faults.SetLate(0.4, 1250*time.Millisecond, 6250*time.Millisecond)
		time.Sleep(duration)
		e.Faults.SetLate(0, 0, 0)
		return e.ID
	}},
	{"worker answers lost", 2, func(s *soak, r *rand.Rand, duration time.Duration) string {
		e := s.pickWorker(r)
		e.Faults.SetLost(0.4)
		time.Sleep(duration)
		e.Faults.SetLost(0)
		return e.ID
	}},
	{"foreign row in store", 1, func(s *soak, r *rand.Rand, duration time.Duration) string {
		row := []string{"", "{", `{"state":7}`, "\xff\x00", `{"service":"desk","address":"127.0.0.1:1","state":"resting"}`}[r.IntN(5)]
		s.platform.Store.PutRaw("servers", "i-other", []byte(row))
		time.Sleep(duration)
		s.platform.Store.Remove("servers", "i-other")
		return fmt.Sprintf("%q", row)
	}},
	{"configuration changed", 3, func(s *soak, _ *rand.Rand, _ time.Duration) string {
		return fmt.Sprintf("version %d", s.addQueue())
	}},
}

// drainTime is the minimum time for which a draining worker keeps running.
const drainTime = 2 * time.Second

// toggleWorkerFault returns an inject function that turns a fault of a random worker on
// and off again.
func toggleWorkerFault(set func(e *standin.Executor, on bool)) func(s *soak, r *rand.Rand, duration time.Duration) string {
	return func(s *soak, r *rand.Rand, duration time.Duration) string {
		e := s.pickWorker(r)
		set(e, true)
		time.Sleep(duration)
		set(e, false)
		return e.ID
	}
}

// pauseNode suspends the process of a node and resumes it.
func pauseNode(n *node, duration time.Duration) string {
	n.signal(syscall.SIGSTOP, false)
	time.Sleep(duration)
	n.signal(syscall.SIGCONT, false)
	return n.name
}

// injectLinkFault sets a random fault on a link and removes it.
func injectLinkFault(s *soak, p *faultproxy.Proxy, r *rand.Rand, duration time.Duration) string {
	f := []faultproxy.Faults{
		{Refuse: true}, {CloseOnData: true}, {DropRequests: true}, {DropAnswers: true}, {DropRequests: true, DropAnswers: true},
		{Delay: 150 * time.Millisecond},
	}[r.IntN(6)]
	s.setLink(p, f)
	time.Sleep(duration)
	s.setLink(p, faultproxy.Faults{})
	return fmt.Sprintf("%+v", f)
}

func (s *soak) setLink(p *faultproxy.Proxy, f faultproxy.Faults) {
	if err := p.Set(f); err != nil {
		s.addViolation("set faults of a link: %v", err)
	}
}

// faultStream is a sequence of random faults with a random source of its own.
type faultStream struct {
	name         string
	faults       []fault
	meanInterval time.Duration
}

// pick picks a random fault, weighted.
func (f *faultStream) pick(r *rand.Rand) fault {
	total := 0
	for _, f := range f.faults {
		total += f.weight
	}
	n := r.IntN(total)
	for _, f := range f.faults {
		if n < f.weight {
			return f
		}
		n -= f.weight
	}
	return f.faults[0]
}

// injectFaults injects the faults of streams for the given time, and waits until all are
// removed.
func (s *soak) injectFaults(total time.Duration, streams ...faultStream) {
	s.faultsEnd = time.Now().Add(total)
	var started sync.WaitGroup
	for _, stream := range streams {
		started.Go(func() { s.startFaults(total, stream) })
	}
	started.Wait()
	s.activeFaults.Wait()
}

// startFaults starts the faults of a stream, which are derived from the seed.
func (s *soak) startFaults(total time.Duration, stream faultStream) {
	r := s.newRand(stream.name)
	for end := time.Now().Add(total); time.Now().Before(end); {
		f := stream.pick(r)
		faultRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		time.Sleep(time.Duration(r.ExpFloat64() * float64(stream.meanInterval)))
		duration := minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime)))
		s.activeFaults.Go(func() {
			start := time.Since(s.startedAt)
			var target string
			s.recordFault(func() { target = f.inject(s, faultRand, duration) })
			s.logFault("%8.3f to %8.3f: %s: %s", start.Seconds(), time.Since(s.startedAt).Seconds(), f.name, target)
		})
	}
}

func (s *soak) pickNode(r *rand.Rand) *node { return s.nodes[r.IntN(len(s.nodes))] }

func (s *soak) pickWorker(r *rand.Rand) *standin.Executor {
	return s.platform.Executors[r.IntN(len(s.platform.Executors))]
}

// cellOwner returns the node that reports that it owns the cell, or a random node if
// none does.
func (s *soak) cellOwner(r *rand.Rand) *node {
	for _, n := range s.nodes {
		if n.ownsCell() {
			return n
		}
	}
	return s.pickNode(r)
}
