package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Times of faults. They come in series and overlap.
const (
	minFault = 300 * time.Millisecond
	maxFault = 5 * time.Second
	faultGap = 700 * time.Millisecond // between the beginnings of two faults on average
)

// fault is something that goes wrong and is mended again.
type fault struct {
	name   string
	weight int
	run    func(s *soak, r *rand.Rand, lasts time.Duration) string // returns what was hit
}

var faults = []fault{
	{"node killed", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		n := s.pickNode(r)
		n.kill()
		time.Sleep(lasts / 3)
		n.start()
		return n.name
	}},
	{"owner killed", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		n := s.owner(r)
		n.kill()
		time.Sleep(lasts / 3)
		n.start()
		return n.name
	}},
	{"all nodes killed", 1, func(s *soak, _ *rand.Rand, lasts time.Duration) string {
		for _, n := range s.nodes {
			n.kill()
		}
		time.Sleep(lasts / 5)
		for _, n := range s.nodes {
			n.start()
		}
		return "all"
	}},
	{"node stopped as planned", 3, func(s *soak, r *rand.Rand, _ time.Duration) string {
		n := s.pickNode(r)
		n.terminate()
		n.start()
		return n.name
	}},
	{"node paused", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string { return pause(s.pickNode(r), lasts) }},
	{"owner paused", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string { return pause(s.owner(r), lasts) }},
	{"node told that its settings changed", 1, func(s *soak, r *rand.Rand, _ time.Duration) string {
		n := s.pickNode(r)
		n.signal(syscall.SIGHUP, false)
		return n.name
	}},
	{"link to the store", 4, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		n := s.pickNode(r)
		return n.name + " " + disturb(s, n.store, r, lasts)
	}},
	{"link of the owner to the store", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		n := s.owner(r)
		return n.name + " " + disturb(s, n.store, r, lasts)
	}},
	{"links from the other nodes", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		n := s.pickNode(r)
		return n.name + " " + disturb(s, n.peer, r, lasts)
	}},
	{"link to the adviser", 2, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		n := s.pickNode(r)
		return n.name + " " + disturb(s, n.adviser, r, lasts)
	}},
	{"link of a worker", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		return disturb(s, s.workerLinks[r.IntN(len(s.workerLinks))], r, lasts)
	}},
	{"store", 2, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		mode := []standin.Mode{standin.Busy, standin.Reset, standin.Silent}[r.IntN(3)]
		s.world.Store.Faults.Set(mode)
		time.Sleep(lasts)
		s.world.Store.Faults.Set(standin.Up)
		return fmt.Sprintf("mode %d", mode)
	}},
	{"store slow", 1, func(s *soak, _ *rand.Rand, lasts time.Duration) string {
		s.world.Store.Faults.SetDelay(200 * time.Millisecond)
		time.Sleep(lasts)
		s.world.Store.Faults.SetDelay(0)
		return ""
	}},
	{"answers of the store lost or late", 2, func(s *soak, _ *rand.Rand, lasts time.Duration) string {
		s.world.Store.Faults.SetLost(0.3)
		s.world.Store.Faults.SetLate(0.1, 2*time.Second)
		time.Sleep(lasts)
		s.world.Store.Faults.SetLost(0)
		s.world.Store.Faults.SetLate(0, 0)
		return ""
	}},
	{"history of the store dropped", 2, func(s *soak, _ *rand.Rand, _ time.Duration) string {
		s.world.Store.Compact()
		return ""
	}},
	{"worker crashed", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		e := s.pickWorker(r)
		e.Crash()
		time.Sleep(lasts)
		e.Restart()
		return e.ID
	}},
	{"worker leaves", 2, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		e := s.pickWorker(r)
		e.Drain()
		time.Sleep(drainTime + lasts)
		e.Crash()
		time.Sleep(time.Second)
		e.Restart()
		return e.ID
	}},
	{"worker fails all", 2, switchOn((*standin.Executor).SetFails)},
	{"worker stands still", 2, switchOn((*standin.Executor).SetHangs)},
	{"orders carried out late", 3, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		e := s.pickWorker(r)
		e.Faults.SetLate(0.4, 5*time.Second)
		time.Sleep(lasts)
		e.Faults.SetLate(0, 0)
		return e.ID
	}},
	{"answers of a worker lost", 2, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		e := s.pickWorker(r)
		e.Faults.SetLost(0.4)
		time.Sleep(lasts)
		e.Faults.SetLost(0)
		return e.ID
	}},
	{"row of another writer", 1, func(s *soak, r *rand.Rand, lasts time.Duration) string {
		text := []string{"", "{", `{"state":7}`, "\xff\x00", `{"service":"desk","address":"127.0.0.1:1","state":"resting"}`}[r.IntN(5)]
		s.world.Store.PutRaw("servers", "i-other", []byte(text))
		time.Sleep(lasts)
		s.world.Store.Remove("servers", "i-other")
		return fmt.Sprintf("%q", text)
	}},
	{"configuration changed", 3, func(s *soak, _ *rand.Rand, _ time.Duration) string {
		return fmt.Sprintf("version %d", s.addQueue())
	}},
}

// drainTime is the least time for which a leaving worker goes on.
const drainTime = 2 * time.Second

// switchOn returns a fault that switches something on at a worker, and off again.
func switchOn(set func(e *standin.Executor, on bool)) func(s *soak, r *rand.Rand, lasts time.Duration) string {
	return func(s *soak, r *rand.Rand, lasts time.Duration) string {
		e := s.pickWorker(r)
		set(e, true)
		time.Sleep(lasts)
		set(e, false)
		return e.ID
	}
}

// pause stops a process and lets it go on.
func pause(n *node, lasts time.Duration) string {
	n.signal(syscall.SIGSTOP, false)
	time.Sleep(lasts)
	n.signal(syscall.SIGCONT, false)
	return n.name
}

// disturb disturbs a link and mends it.
func disturb(s *soak, p *faultproxy.Proxy, r *rand.Rand, lasts time.Duration) string {
	f := []faultproxy.Faults{
		{Refuse: true}, {Cut: true}, {DropRequests: true}, {DropAnswers: true}, {DropRequests: true, DropAnswers: true},
		{Delay: 150 * time.Millisecond},
	}[r.IntN(6)]
	s.setLink(p, f)
	time.Sleep(lasts)
	s.setLink(p, faultproxy.Faults{})
	return fmt.Sprintf("%+v", f)
}

func (s *soak) setLink(p *faultproxy.Proxy, f faultproxy.Faults) {
	if err := p.Set(f); err != nil {
		s.violation("set the faults of a link: %v", err)
	}
}

// pickFault picks a fault by its weight.
func pickFault(r *rand.Rand) fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	n := r.IntN(total)
	for _, f := range faults {
		if n < f.weight {
			return f
		}
		n -= f.weight
	}
	return faults[0]
}

// injectFaults runs faults from the seed until the time is over, and waits until all
// are mended.
func (s *soak) injectFaults(lasts time.Duration) {
	r := s.random("faults")
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		f := pickFault(r)
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		time.Sleep(time.Duration(r.ExpFloat64() * float64(faultGap)))
		duration := minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))
		s.injecting.Go(func() {
			began := time.Since(s.began)
			hit := f.run(s, own, duration)
			s.note("%8.3f to %8.3f: %s: %s", began.Seconds(), time.Since(s.began).Seconds(), f.name, hit)
		})
	}
	s.injecting.Wait()
}

func (s *soak) pickNode(r *rand.Rand) *node { return s.nodes[r.IntN(len(s.nodes))] }

func (s *soak) pickWorker(r *rand.Rand) *standin.Executor {
	return s.world.Executors[r.IntN(len(s.world.Executors))]
}

// owner returns the node that owns the cell, any node if none says so.
func (s *soak) owner(r *rand.Rand) *node {
	for _, n := range s.nodes {
		if n.owns() {
			return n
		}
	}
	return s.pickNode(r)
}
