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
	queued        *fairQueue                  // requests that wait for a slot
	inFlight      map[requestKey]*inFlightRequest
	recent        *recentRequests
	activeByTeam  map[string]int // requests that hold a slot, by team
	activeTotal   int            // requests that hold a slot
	retryBudget   *retry.Budget
	nextSeq       uint64
	demandChanged map[string]bool // teams whose demand changed since the last report

	queueByName    map[string]api.Queue
	limits         map[string]api.Resources // by team
	reservedSlots  map[string]int           // minimum demand for slots, by team
	now            time.Duration            // boot time of the current message or timer
	lastFullReport time.Duration            // boot time of the last report for all teams
	tableHealth    tableHealth
	lastPurge      time.Duration // boot time when the last purge of expired records began
	purging        atomic.Bool   // a purge is running in another goroutine
}

func newController(p *Partition) *controller {
	return &controller{
		partition:     p,
		options:       &p.options,
		executors:     map[string]*executor{},
		generations:   map[string]*fenceGeneration{},
		queued:        newFairQueue(),
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
func (c *controller) loop() {
	defer c.partition.goroutines.Done()
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.partition.closed:
			return
		case m := <-c.partition.messages:
			c.now = c.options.Clock.Boot()
			m.apply(c)
			c.applyQueuedMessages()
		case <-timer.C:
			c.now = c.options.Clock.Boot()
		}
		c.reconcile()
		timer.Reset(c.reconcileDelay())
	}
}

// applyQueuedMessages applies the messages that are already in the channel, so
// that one reconciliation covers all of them.
func (c *controller) applyQueuedMessages() {
	for range cap(c.partition.messages) {
		select {
		case m := <-c.partition.messages:
			m.apply(c)
		default:
			return
		}
	}
}

// reconcile carries out everything that is due for the current state and time.
func (c *controller) reconcile() {
	c.expireQueued()
	c.fenceExecutors()
	c.dispatch()
	c.reportDemand()
	c.recent.expire(c.now)
	c.purge()
	c.finishRelease()
	c.publishLoad()
}

// reconcileDelay returns the time until the next reconciliation if no message
// arrives.
func (c *controller) reconcileDelay() time.Duration {
	if c.queued.size > 0 {
		return busyInterval
	}
	for _, e := range c.executors {
		if c.owned && !e.unlisted && (!e.usable || e.orphans.count() > 0) {
			return busyInterval
		}
	}
	return idleInterval
}

func (c *controller) acquire(lease api.PartitionLease) {
	if c.owned && lease.Epoch <= c.lease.Epoch {
		return
	}
	c.endRelease() // a release in progress belongs to the earlier ownership
	c.lease = lease
	c.owned = true
	for _, e := range c.executors {
		e.resetForEpoch(c.now)
	}
	event.ExecutorPartitionAcquired.Log(c.options.Logger, "partition", lease.Partition, "epoch", lease.Epoch)
}

func (c *controller) release(released chan struct{}) {
	c.releasing = append(c.releasing, released)
}

// finishRelease completes a release once no request is in flight.
func (c *controller) finishRelease() {
	if len(c.releasing) > 0 && len(c.inFlight) == 0 {
		c.endRelease()
	}
}

func (c *controller) endRelease() {
	if c.owned {
		c.owned = false
		event.ExecutorPartitionReleased.Log(c.options.Logger, "partition", c.lease.Partition, "epoch", c.lease.Epoch)
	}
	for _, r := range c.releasing {
		close(r)
	}
	c.releasing = nil
}

// abortRelease ends a release that ran out of time and fails the queued
// requests.
func (c *controller) abortRelease() {
	c.failQueued(errkind.New(errkind.ShuttingDown, "", "the owner of partition %q is stopping", c.options.Partition))
	c.endRelease()
}

// superseded ends the ownership because an upstream or the table service
// reported a newer owner.
func (c *controller) superseded(epoch int) {
	if !c.owned || epoch != c.lease.Epoch {
		return
	}
	c.owned = false
	event.ExecutorPartitionSuperseded.Log(c.options.Logger, "partition", c.lease.Partition, "epoch", epoch)
	c.failQueued(errkind.New(errkind.Fenced, "partition", "partition %q has a newer owner", c.options.Partition))
	lease := c.lease
	go c.options.Superseded(lease)
}

// failQueued ends all queued requests with err. The outcome of err must be not
// run.
func (c *controller) failQueued(err error) {
	for _, req := range c.queued.removeAll() {
		c.finish(req, result{err: err})
	}
}

// expireQueued ends the queued requests whose deadline has passed.
func (c *controller) expireQueued() {
	for _, req := range c.queued.removeExpired(c.now) {
		c.finish(req, result{err: deadlineError()})
	}
}

// finish resolves a request that is not in the queue and stops tracking it.
func (c *controller) finish(req *inFlightRequest, res result) {
	c.demandChanged[req.key.team] = true
	res = req.correctOutcome(res)
	c.options.Metrics.finished(req.queue.Name, res.err)
	req.resolve(res)
	req.state = stateRemoved
	delete(c.inFlight, req.key)
	c.tableHealth.clearProbe(req)
	c.recent.setOutcome(req.key, res.err)
}

func (c *controller) setConfig(configuration *api.Configuration) {
	if configuration == nil {
		return
	}
	c.queueByName = make(map[string]api.Queue, len(configuration.Queues))
	for _, q := range configuration.Queues {
		c.queueByName[q.Name] = q
	}
	c.setLimits(configuration)
	c.queued.setShares(configuration.Teams)
}

// setFleet installs the VM list. An executor that is no longer listed is kept
// until its requests have ended.
func (c *controller) setFleet(vms []api.VM) {
	c.fleetKnown = true
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Id] = true
		c.setVM(vm)
	}
	for id, e := range c.executors {
		if listed[id] {
			continue
		}
		e.unlisted = true
		if len(e.ownActive) == 0 {
			delete(c.executors, id)
		}
	}
}

func (c *controller) setVM(vm api.VM) {
	e := c.executors[vm.Id]
	if e == nil || e.unlisted || e.vm.ExecutorAddress != vm.ExecutorAddress {
		next := newExecutor(vm, c.generationOf(vm.Id))
		if e != nil {
			next.ownActive = e.ownActive // requests to the earlier process still hold slots
		}
		next.resetForEpoch(c.now)
		c.executors[vm.Id] = next
		return
	}
	e.vm = vm
}

func (c *controller) publishLoad() {
	l := &api.PartitionLoad{Partition: c.options.Partition, Queued: c.queued.size, Active: c.activeTotal}
	if c.owned {
		l.Epoch = c.lease.Epoch
	}
	for _, e := range c.executors {
		if !e.unlisted {
			l.Capacity += e.slots()
		}
	}
	c.partition.load.Store(l)
}

// sortedExecutors returns the executors sorted by VM.
func (c *controller) sortedExecutors() []*executor {
	out := make([]*executor, 0, len(c.executors))
	for _, e := range c.executors {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].vm.Id < out[j].vm.Id })
	return out
}
