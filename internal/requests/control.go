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

// controller holds the control state of a partition. Only the control goroutine
// uses it.
type controller struct {
	partition *Partition
	options   *Options
	lease     api.PartitionLease
	owned     bool
	releasing []chan struct{} // closed when no request is in flight

	executors map[string]*executor // by VM
	// fleetKnown reports that the VM list was received at least once.
	fleetKnown    bool
	generations   map[string]*fenceGeneration // by VM
	queues        *fairQueue
	inFlight      map[requestKey]*inFlightRequest
	recent        *recentRequests
	activeByTeam  map[string]int // requests that hold a slot, by team
	activeTotal   int            // requests that hold a slot
	retryBudget   *retry.Budget
	nextSeq       uint64
	demandChanged map[string]bool // teams whose demand changed since the last report

	queueByName    map[string]api.Queue
	limits         map[string]api.Resources // by team
	reservedSlots  map[string]int           // least slots to hold, by team
	now            time.Duration            // boot time when the current message or timer was received
	lastFullReport time.Duration            // boot time when the demand of all teams was last reported
	tableHealth    tableHealth
	lastPurge      time.Duration // boot time when the last purge of expired records began
	purging        atomic.Bool
}

func newController(p *Partition) *controller {
	return &controller{
		partition:     p,
		options:       &p.options,
		executors:     map[string]*executor{},
		generations:   map[string]*fenceGeneration{},
		queues:        newFairQueue(),
		inFlight:      map[requestKey]*inFlightRequest{},
		recent:        newRecentRequests(),
		activeByTeam:  map[string]int{},
		retryBudget:   retry.NewBudget(p.options.Clock),
		demandChanged: map[string]bool{},
		queueByName:   map[string]api.Queue{},
		limits:        map[string]api.Resources{},
	}
}

// loop applies messages and reconciles until the partition is closed.
func (s *controller) loop() {
	defer s.partition.goroutines.Done()
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.partition.closed:
			return
		case m := <-s.partition.messages:
			s.now = s.options.Clock.Boot()
			m.apply(s)
			s.applyQueuedMessages()
		case <-timer.C:
			s.now = s.options.Clock.Boot()
		}
		s.reconcile()
		timer.Reset(s.reconcileDelay())
	}
}

// applyQueuedMessages applies the messages that are already in the channel, so
// that one reconciliation covers all of them.
func (s *controller) applyQueuedMessages() {
	for range cap(s.partition.messages) {
		select {
		case m := <-s.partition.messages:
			m.apply(s)
		default:
			return
		}
	}
}

// reconcile carries out everything that is due for the current state and time.
func (s *controller) reconcile() {
	s.expireQueued()
	s.fenceExecutors()
	s.dispatch()
	s.reportDemand()
	s.recent.expire(s.now)
	s.purge()
	s.finishRelease()
	s.publishLoad()
}

// reconcileDelay returns the time until the next reconciliation if no message
// arrives.
func (s *controller) reconcileDelay() time.Duration {
	if s.queues.size > 0 {
		return busyInterval
	}
	for _, e := range s.executors {
		if s.owned && !e.unlisted && (!e.usable || e.orphans.count() > 0) {
			return busyInterval
		}
	}
	return idleInterval
}

func (s *controller) acquire(lease api.PartitionLease) {
	if s.owned && lease.Epoch <= s.lease.Epoch {
		return
	}
	s.endRelease() // a release in progress belongs to the earlier ownership
	s.lease = lease
	s.owned = true
	for _, e := range s.executors {
		e.resetForEpoch(s.now)
	}
	event.RequestsAcquired.Log(s.options.Logger, "partition", lease.Partition, "epoch", lease.Epoch)
}

func (s *controller) release(released chan struct{}) {
	s.releasing = append(s.releasing, released)
}

// finishRelease completes a release once no request is in flight.
func (s *controller) finishRelease() {
	if len(s.releasing) > 0 && len(s.inFlight) == 0 {
		s.endRelease()
	}
}

func (s *controller) endRelease() {
	if s.owned {
		s.owned = false
		event.RequestsReleased.Log(s.options.Logger, "partition", s.lease.Partition, "epoch", s.lease.Epoch)
	}
	for _, r := range s.releasing {
		close(r)
	}
	s.releasing = nil
}

// abortRelease ends a release that ran out of time and fails the queued
// requests.
func (s *controller) abortRelease() {
	s.failQueued(errkind.New(errkind.ShuttingDown, "", "the owner of partition %q is stopping", s.options.Partition))
	s.endRelease()
}

// superseded ends the ownership because an upstream or the table service
// reported a newer owner.
func (s *controller) superseded(epoch int) {
	if !s.owned || epoch != s.lease.Epoch {
		return
	}
	s.owned = false
	event.RequestsSuperseded.Log(s.options.Logger, "partition", s.lease.Partition, "epoch", epoch)
	s.failQueued(errkind.New(errkind.Fenced, "partition", "partition %q has a newer owner", s.options.Partition))
	lease := s.lease
	go s.options.Superseded(lease)
}

// failQueued ends all queued requests with err. The outcome of err must be not
// run.
func (s *controller) failQueued(err error) {
	for _, c := range s.queues.removeAll() {
		s.finish(c, result{err: err})
	}
}

// expireQueued ends the queued requests whose deadline has passed.
func (s *controller) expireQueued() {
	for _, c := range s.queues.removeExpired(s.now) {
		s.finish(c, result{err: deadlineError()})
	}
}

// finish resolves a request that is not queued any more and stops tracking it.
func (s *controller) finish(c *inFlightRequest, r result) {
	s.demandChanged[c.key.team] = true
	r = c.correctOutcome(r)
	s.options.Metrics.finished(c.queue.Name, r.err)
	c.resolve(r)
	c.state = stateRemoved
	delete(s.inFlight, c.key)
	s.tableHealth.clearProbe(c)
	s.recent.setOutcome(c.key, r.err)
}

func (s *controller) setConfig(c *api.Configuration) {
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

// setFleet installs the VM list. An executor that is no longer listed is kept
// until its requests have ended.
func (s *controller) setFleet(vms []api.VM) {
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
		e.unlisted = true
		if len(e.ownActive) == 0 {
			delete(s.executors, id)
		}
	}
}

func (s *controller) setVM(vm api.VM) {
	e := s.executors[vm.Id]
	if e == nil || e.unlisted || e.vm.ExecutorAddress != vm.ExecutorAddress {
		next := newExecutor(vm, s.generationOf(vm.Id))
		if e != nil {
			next.ownActive = e.ownActive // requests to the earlier process still hold slots
		}
		next.resetForEpoch(s.now)
		s.executors[vm.Id] = next
		return
	}
	e.vm = vm
}

func (s *controller) publishLoad() {
	l := &api.PartitionLoad{Partition: s.options.Partition, Queued: s.queues.size, Active: s.activeTotal}
	if s.owned {
		l.Epoch = s.lease.Epoch
	}
	for _, e := range s.executors {
		if !e.unlisted {
			l.Capacity += e.slots()
		}
	}
	s.partition.load.Store(l)
}

// sortedExecutors returns the executors sorted by VM.
func (s *controller) sortedExecutors() []*executor {
	out := make([]*executor, 0, len(s.executors))
	for _, e := range s.executors {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].vm.Id < out[j].vm.Id })
	return out
}
