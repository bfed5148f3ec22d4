package requests

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/retry"
)

// control is the state of a partition. Only its goroutine uses it.
type control struct {
	p         *Partition
	o         *Options
	lease     api.PartitionLease
	owned     bool
	releasing []chan struct{} // closed when nothing is in flight

	executors map[string]*executor // by VM
	// fleetKnown is whether the VM list was given once.
	fleetKnown bool
	rounds     map[string]*round // by VM
	queues     *queues
	calls      map[callKey]*call // in flight
	recent     *recent
	active     map[string]int // calls that hold a slot, by team
	inFlight   int            // calls that hold a slot
	budget     *retry.Budget
	nextSeq    uint64
	dirty      map[string]bool // teams whose demand changed

	queueByName map[string]api.Queue
	limits      map[string]api.Resources // of teams
	floors      map[string]int           // slots that the partition holds for teams at any time
	now         time.Duration            // boot time at the present message
	demanded    time.Duration            // boot time when the demand of all teams was told
	store       storeState
	swept       time.Duration // boot time of the last sweep of old records
	sweeping    atomic.Bool
}

func newControl(p *Partition) *control {
	return &control{
		p:           p,
		o:           &p.options,
		executors:   map[string]*executor{},
		rounds:      map[string]*round{},
		queues:      newQueues(),
		calls:       map[callKey]*call{},
		recent:      newRecent(),
		active:      map[string]int{},
		budget:      retry.NewBudget(p.options.Clock),
		dirty:       map[string]bool{},
		queueByName: map[string]api.Queue{},
		limits:      map[string]api.Resources{},
	}
}

// loop applies messages until the partition is closed.
func (s *control) loop() {
	defer s.p.goroutines.Done()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-s.p.closed:
			return
		case m := <-s.p.messages:
			s.now = s.o.Clock.Boot()
			m.apply(s)
			s.applyPending()
		case <-timer.C:
			s.now = s.o.Clock.Boot()
		}
		s.step()
		timer.Reset(s.tick())
	}
}

// applyPending applies the messages that wait already, so that one step serves
// all of them.
func (s *control) applyPending() {
	for range cap(s.p.messages) {
		select {
		case m := <-s.p.messages:
			m.apply(s)
		default:
			return
		}
	}
}

// step does what follows from the state and the time.
func (s *control) step() {
	s.expire()
	s.fenceExecutors()
	s.dispatch()
	s.tellDemand()
	s.recent.expire(s.now)
	s.sweep()
	s.finishRelease()
	s.publishLoad()
}

// tick returns the time until the next step without a message.
func (s *control) tick() time.Duration {
	if s.queues.size > 0 {
		return busyTick
	}
	for _, e := range s.executors {
		if s.owned && !e.gone && (!e.usable || e.orphans.count() > 0) {
			return busyTick
		}
	}
	return idleTick
}

func (s *control) acquire(lease api.PartitionLease) {
	if s.owned && lease.Epoch <= s.lease.Epoch {
		return
	}
	s.endRelease() // one that is under way concerned the earlier ownership
	s.lease = lease
	s.owned = true
	for _, e := range s.executors {
		e.newEpoch(s.now)
	}
	event.RequestsAcquired.Log(s.o.Logger, "partition", lease.Partition, "epoch", lease.Epoch)
}

func (s *control) release(released chan struct{}) {
	s.releasing = append(s.releasing, released)
}

// finishRelease ends a release once nothing is in flight.
func (s *control) finishRelease() {
	if len(s.releasing) > 0 && len(s.calls) == 0 {
		s.endRelease()
	}
}

func (s *control) endRelease() {
	if s.owned {
		s.owned = false
		event.RequestsReleased.Log(s.o.Logger, "partition", s.lease.Partition, "epoch", s.lease.Epoch)
	}
	for _, r := range s.releasing {
		close(r)
	}
	s.releasing = nil
}

// abort ends a release whose time is over.
func (s *control) abort() {
	s.flush(errkind.New(errkind.ShuttingDown, "", "the owner of partition %q is stopping", s.o.Partition))
	s.endRelease()
}

// lost gives the partition up because an upstream or the table service showed
// that it has a newer owner.
func (s *control) lost(epoch int) {
	if !s.owned || epoch != s.lease.Epoch {
		return
	}
	s.owned = false
	event.RequestsDropped.Log(s.o.Logger, "partition", s.lease.Partition, "epoch", epoch)
	s.flush(errkind.New(errkind.Fenced, "partition", "partition %q has a newer owner", s.o.Partition))
	lease := s.lease
	go s.o.Dropped(lease)
}

// flush ends all waiting calls with err, which must say that they were not run.
func (s *control) flush(err error) {
	for _, c := range s.queues.drain() {
		s.end(c, result{err: err})
	}
}

// expire ends the waiting calls whose deadline has passed.
func (s *control) expire() {
	for _, c := range s.queues.expired(s.now) {
		s.end(c, result{err: expired()})
	}
}

// end resolves a call that is not queued any more and forgets it.
func (s *control) end(c *call, r result) {
	s.dirty[c.key.team] = true
	r = c.truthful(r)
	s.o.Metrics.ended(c.queue.Name, r.err)
	c.resolve(r)
	c.state = stateOver
	delete(s.calls, c.key)
	s.store.ended(c)
	s.recent.ended(c.key, r.err)
}

func (s *control) setConfig(c *api.Configuration) {
	if c == nil {
		return
	}
	s.queueByName = make(map[string]api.Queue, len(c.Queues))
	for _, q := range c.Queues {
		s.queueByName[q.Name] = q
	}
	s.setLimits(c)
	s.queues.setShares(c.Teams)
}

// setFleet installs the VM list. An executor that left the list keeps its calls
// until they end.
func (s *control) setFleet(vms []api.VM) {
	s.fleetKnown = true
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Id] = true
		s.setVM(vm)
	}
	for id, e := range s.executors {
		if listed[id] {
			continue
		}
		e.gone = true
		if len(e.own) == 0 {
			delete(s.executors, id)
		}
	}
}

func (s *control) setVM(vm api.VM) {
	e := s.executors[vm.Id]
	if e == nil || e.gone || e.vm.ExecutorAddress != vm.ExecutorAddress {
		next := newExecutor(vm, s.roundOf(vm.Id))
		if e != nil {
			next.own = e.own // slots of calls to the earlier process stay taken
		}
		next.newEpoch(s.now)
		s.executors[vm.Id] = next
		return
	}
	e.vm = vm
}

func (s *control) publishLoad() {
	l := &api.PartitionLoad{Partition: s.o.Partition, Queued: s.queues.size, Active: s.inFlight}
	if s.owned {
		l.Epoch = s.lease.Epoch
	}
	for _, e := range s.executors {
		if !e.gone {
			l.Capacity += e.slots()
		}
	}
	s.p.load.Store(l)
}

// sortedExecutors returns the executors by VM.
func (s *control) sortedExecutors() []*executor {
	out := make([]*executor, 0, len(s.executors))
	for _, e := range s.executors {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].vm.Id < out[j].vm.Id })
	return out
}
