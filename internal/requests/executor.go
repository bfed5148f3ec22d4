package requests

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/api"
)

// executor is the state that the control goroutine keeps for one upstream.
type executor struct {
	vm api.VM

	// activeKnown reports that the executor was fenced in the current epoch, so
	// its active requests are known.
	activeKnown bool
	// usable reports that the executor was fenced since its last failure. The
	// failure may have been a restart, and a restarted executor has lost its epoch.
	usable        bool
	fenceInFlight bool // a fence call is in flight
	fenceSeq      int  // incremented to ignore the answer to the fence call in flight
	generation    *fenceGeneration
	fencedLost    int           // orphans.lostTotal when the generation last advanced
	fenceAt       time.Duration // boot time of the next fence or poll call
	draining      bool
	unlisted      bool // no longer in the VM list

	ownActive map[*inFlightRequest]struct{} // requests of this node that hold a slot
	orphans   orphans

	failures       int // successive failures
	suspectResults int // successive 5xx answers and missed deadlines
	fenceDelay     *backoff.ExponentialBackOff
	failureDelay   *backoff.ExponentialBackOff
}

func newExecutor(vm api.VM, g *fenceGeneration) *executor {
	return &executor{
		vm:           vm,
		generation:   g,
		ownActive:    map[*inFlightRequest]struct{}{},
		orphans:      orphans{byRequest: map[requestKey]int{}},
		fenceDelay:   newBackOff(fenceRetryInitial, fenceRetryMax),
		failureDelay: newBackOff(failureDelayInitial, failureDelayMax),
	}
}

func newBackOff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = longest
	b.Multiplier = 2
	return b
}

// resetForEpoch makes the executor unusable until it is fenced in the new
// epoch.
func (e *executor) resetForEpoch(now time.Duration) {
	e.activeKnown = false
	e.usable = false
	e.discardFence()
	e.fenceAt = now
	e.orphans = orphans{byRequest: map[requestKey]int{}}
	e.fencedLost = 0
	e.fenceDelay.Reset()
}

// discardFence causes the answer to the fence call in flight to be ignored.
func (e *executor) discardFence() {
	e.fenceInFlight = false
	e.fenceSeq++
}

// slots returns how many requests may be active on the executor at a time.
func (e *executor) slots() int { return e.vm.Capacity.Slots }

// freeSlots returns how many requests may be started on the executor now.
func (e *executor) freeSlots(now time.Duration) int {
	if !e.usable || e.draining || e.unlisted || e.vm.State == api.VMStateLeaving {
		return 0
	}
	if e.orphans.mustIdle(now) {
		return 0
	}
	n := e.slots() - len(e.ownActive) - e.orphans.count()
	n = min(n, e.maxConnections()-len(e.ownActive))
	if e.failures > 0 {
		n = min(n, 1-len(e.ownActive)) // one probe request after a failure
	}
	return max(0, n)
}

func (e *executor) maxConnections() int {
	return max(1, e.vm.Connections/connectionDivisor)
}

// unaccountedSlots returns the slots of the executor that team may occupy with
// requests that this owner does not track.
func (e *executor) unaccountedSlots(team string) int {
	if e.unlisted {
		return 0
	}
	if !e.activeKnown {
		return e.slots()
	}
	return e.orphans.ofTeam(team)
}

// fenceDue reports whether a fence or poll call is due. A poll is a repeated
// fence with the same epoch; the answer lists the active requests.
func (e *executor) fenceDue(now time.Duration) bool {
	if e.unlisted || e.fenceInFlight || now < e.fenceAt {
		return false
	}
	return !e.usable || e.draining || e.orphans.count() > 0
}

// advanceGeneration starts a new fence generation if requests were lost since
// the last one. A lost request may still be in transit; the executor refuses it
// in the new generation, so a lost request that is not in the status of the
// executor will never run.
func (e *executor) advanceGeneration() {
	if e.orphans.lostTotal > e.fencedLost {
		e.fencedLost = e.orphans.lostTotal
		e.generation.increment()
	}
}

// applyStatus applies the answer to a fence call. When the call began, the
// requests in activeBefore were active and orphans.lostTotal was lostBefore.
func (e *executor) applyStatus(now time.Duration, st *api.ExecutorStatus, activeBefore map[requestKey]bool, lostBefore int) {
	e.fenceInFlight = false
	e.fenceDelay.Reset()
	for req := range e.ownActive {
		activeBefore[req.key] = true
	}
	e.orphans.update(now, st, activeBefore, lostBefore, !e.activeKnown)
	e.activeKnown = true
	e.usable = true
	e.draining = st.Draining
	e.fenceAt = now + orphanPollInterval
	if e.draining && e.orphans.count() == 0 {
		e.fenceAt = now + drainPollInterval
	}
}

// fenceFailed schedules the next fence call after a backoff.
func (e *executor) fenceFailed(now time.Duration) {
	e.fenceInFlight = false
	e.fenceAt = now + e.fenceDelay.NextBackOff()
}

// recordFailure makes the executor unusable for a delay that grows with each
// successive failure.
func (e *executor) recordFailure(now time.Duration) {
	e.failures++
	e.suspectResults = 0
	e.usable = false
	e.discardFence()
	e.fenceAt = max(e.fenceAt, now+e.failureDelay.NextBackOff())
}

// recordSuccess resets the failure count and delay.
func (e *executor) recordSuccess() {
	e.failures = 0
	e.failureDelay.Reset()
}

// orphans counts requests that are active on an executor and not tracked by
// this owner: those of a previous owner, and those of this owner whose
// answer was lost.
type orphans struct {
	byRequest    map[requestKey]int
	unidentified int                // orphans whose team and ID are unknown
	lostTotal    int                // own lost requests ever added
	lostSeq      map[requestKey]int // lostTotal when the own request was last lost
	countOnly    bool               // the executor reports only the number of its requests
	// lastExact is the boot time when the first orphan was added or, with countOnly,
	// their number was last exact.
	lastExact time.Duration
}

// addLost adds an own request whose answer was lost.
func (o *orphans) addLost(now time.Duration, k requestKey) {
	if o.count() == 0 {
		o.lastExact = now
	}
	o.byRequest[k]++
	o.lostTotal++
	if o.lostSeq == nil {
		o.lostSeq = map[requestKey]int{}
	}
	o.lostSeq[k] = o.lostTotal
}

func (o *orphans) count() int {
	n := o.unidentified
	for _, m := range o.byRequest {
		n += m
	}
	return n
}

// ofTeam returns how many of the orphans may belong to team.
func (o *orphans) ofTeam(team string) int {
	n := o.unidentified
	for k, m := range o.byRequest {
		if k.team == team {
			n += m
		}
	}
	return n
}

// mustIdle reports whether the executor must become idle before it gets new
// requests: it reports only the number of its requests, and has had orphans for so
// long that some have probably ended.
func (o *orphans) mustIdle(now time.Duration) bool {
	return o.countOnly && now-o.lastExact > inexactOrphanTime && o.count() > 0
}

// update applies a status. Requests in own are not orphans. Own requests lost
// after the status was requested (lostSeq above lostBefore) are kept. first
// reports that this is the first status of the epoch.
func (o *orphans) update(now time.Duration, st *api.ExecutorStatus, own map[requestKey]bool, lostBefore int, first bool) {
	o.countOnly = len(st.Requests) != st.Active
	switch {
	case !o.countOnly:
		o.replace(st, own, lostBefore)
	case !first && o.lostTotal > lostBefore:
		// A request was lost after the status was requested; wait for the next one.
	case first || len(own) == 0:
		o.setCount(st.Active)
		o.lastExact = now
	case o.count() > st.Active:
		// The number includes requests of this owner, so it is only an upper bound.
		o.setCount(st.Active)
	}
}

// setCount replaces the orphans with n unidentified orphans.
func (o *orphans) setCount(n int) {
	o.byRequest = map[requestKey]int{}
	o.unidentified = n
}

// replace replaces the orphans with the listed requests that are not in own.
func (o *orphans) replace(st *api.ExecutorStatus, own map[requestKey]bool, lostBefore int) {
	next := map[requestKey]int{}
	for _, r := range st.Requests {
		next[requestKey{r.Team, r.RequestId}]++
	}
	for k := range own {
		if next[k]--; next[k] <= 0 {
			delete(next, k)
		}
	}
	for k, n := range o.lostSeq {
		if n > lostBefore {
			next[k] = max(next[k], o.byRequest[k])
		} else {
			delete(o.lostSeq, k)
		}
	}
	o.byRequest = next
	o.unidentified = 0
}
