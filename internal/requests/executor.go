package requests

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/api"
)

// executor is the state that the control goroutine keeps of one upstream.
type executor struct {
	vm api.VM

	// counted is whether the executor was fenced in the present epoch, so that
	// what is active there is known.
	counted bool
	// usable is whether it was fenced since its last failure. An executor that
	// was restarted has forgotten its epoch.
	usable   bool
	fencing  bool // a fence call is under way
	fenceSeq int  // number of the fence call whose answer counts
	round    *round
	covered  int           // value of orphans.added that the round covers
	fenceAt  time.Duration // boot time of the next fence or poll
	draining bool
	gone     bool // no longer in the VM list

	own     map[*call]struct{} // calls of this node that hold a slot
	orphans orphans

	failures     int // successive failures
	suspects     int // successive 5xx answers and missed deadlines
	fenceDelay   *backoff.ExponentialBackOff
	failureDelay *backoff.ExponentialBackOff
}

func newExecutor(vm api.VM, r *round) *executor {
	return &executor{
		vm:           vm,
		round:        r,
		own:          map[*call]struct{}{},
		orphans:      orphans{byKey: map[callKey]int{}},
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

// newEpoch makes the executor unusable until it is fenced again.
func (e *executor) newEpoch(now time.Duration) {
	e.counted = false
	e.usable = false
	e.ignoreFence()
	e.fenceAt = now
	e.orphans = orphans{byKey: map[callKey]int{}}
	e.covered = 0
	e.fenceDelay.Reset()
}

// ignoreFence makes the answer to a fence call that is under way meaningless.
func (e *executor) ignoreFence() {
	e.fencing = false
	e.fenceSeq++
}

// slots returns the most calls that may be active on the executor.
func (e *executor) slots() int { return e.vm.Capacity.Slots }

// free returns how many calls may be started there now.
func (e *executor) free(now time.Duration) int {
	if !e.usable || e.draining || e.gone || e.vm.State == api.VMStateLeaving {
		return 0
	}
	if e.orphans.hold(now) {
		return 0
	}
	n := e.slots() - len(e.own) - e.orphans.count()
	n = min(n, e.connections()-len(e.own))
	if e.failures > 0 {
		n = min(n, 1-len(e.own)) // one trial after a failure
	}
	return max(0, n)
}

func (e *executor) connections() int {
	return max(1, e.vm.Connections/connectionFraction)
}

// uncertain returns the slots of the executor that may be in use by team
// without being calls of this owner.
func (e *executor) uncertain(team string) int {
	if e.gone {
		return 0
	}
	if !e.counted {
		return e.slots()
	}
	return e.orphans.of(team)
}

// fenceDue reports whether a fence or poll call is to be made. Fencing again at
// the same epoch is the poll: the answer lists what is active.
func (e *executor) fenceDue(now time.Duration) bool {
	if e.gone || e.fencing || now < e.fenceAt {
		return false
	}
	return !e.usable || e.draining || e.orphans.count() > 0
}

// settle begins a new round if calls were lost since the last one. A lost call may
// still be on its way; the executor refuses it in the new round, so that one that
// its status does not list will never run.
func (e *executor) settle() {
	if e.orphans.added > e.covered {
		e.covered = e.orphans.added
		e.round.next()
	}
}

// fenced takes in the answer to a fence call that began when the calls in
// before were active and the orphans had been added up to mark.
func (e *executor) fenced(now time.Duration, st *api.ExecutorStatus, before map[callKey]bool, mark int) {
	e.fencing = false
	e.fenceDelay.Reset()
	for c := range e.own {
		before[c.key] = true
	}
	e.orphans.update(now, st, before, mark, !e.counted)
	e.counted = true
	e.usable = true
	e.draining = st.Draining
	e.fenceAt = now + orphanPollInterval
	if e.draining && e.orphans.count() == 0 {
		e.fenceAt = now + drainPollInterval
	}
}

// fenceFailed sets the time of the next attempt.
func (e *executor) fenceFailed(now time.Duration) {
	e.fencing = false
	e.fenceAt = now + e.fenceDelay.NextBackOff()
}

// failed takes the executor out for a delay that grows with each failure.
func (e *executor) failed(now time.Duration) {
	e.failures++
	e.suspects = 0
	e.usable = false
	e.ignoreFence()
	e.fenceAt = max(e.fenceAt, now+e.failureDelay.NextBackOff())
}

// succeeded ends a run of failures.
func (e *executor) succeeded() {
	e.failures = 0
	e.failureDelay.Reset()
}

// orphans counts requests that are active on an executor and are not calls of
// this owner: those of a previous owner, and own ones whose answer was lost.
type orphans struct {
	byKey     map[callKey]int // by request
	anonymous int             // of unknown teams
	added     int             // number of own lost requests ever added
	latest    map[callKey]int // value of added for own lost requests
	bare      bool            // whether the executor reports only a number
	since     time.Duration   // when there were none, or their number was exact
}

// lost adds an own request whose answer was lost.
func (o *orphans) lost(now time.Duration, k callKey) {
	if o.count() == 0 {
		o.since = now
	}
	o.byKey[k]++
	o.added++
	if o.latest == nil {
		o.latest = map[callKey]int{}
	}
	o.latest[k] = o.added
}

func (o *orphans) count() int {
	n := o.anonymous
	for _, m := range o.byKey {
		n += m
	}
	return n
}

// of returns how many of the orphans may belong to team.
func (o *orphans) of(team string) int {
	n := o.anonymous
	for k, m := range o.byKey {
		if k.team == team {
			n += m
		}
	}
	return n
}

// hold reports whether the executor must become idle, because it reports only a
// number and has had orphans for so long that some have probably ended.
func (o *orphans) hold(now time.Duration) bool {
	return o.bare && now-o.since > orphanHold && o.count() > 0
}

// update takes in a status. Calls in own are not orphans. Orphans that were
// added after the status was asked for (mark) are kept. first is whether it is
// the first status of the epoch.
func (o *orphans) update(now time.Duration, st *api.ExecutorStatus, own map[callKey]bool, mark int, first bool) {
	o.bare = len(st.Requests) != st.Active
	switch {
	case !o.bare:
		o.replace(st, own, mark)
	case !first && o.added > mark:
		// A request was lost since; the next status tells more.
	case first || len(own) == 0:
		o.set(st.Active)
		o.since = now
	case o.count() > st.Active:
		// The number includes calls of this owner, so it only is a bound.
		o.set(st.Active)
	}
}

// set replaces the orphans by a number of which the teams are not known.
func (o *orphans) set(n int) {
	o.byKey = map[callKey]int{}
	o.anonymous = n
}

// replace installs the listed requests.
func (o *orphans) replace(st *api.ExecutorStatus, own map[callKey]bool, mark int) {
	next := map[callKey]int{}
	for _, r := range st.Requests {
		next[callKey{r.Team, r.RequestId}]++
	}
	for k := range own {
		if next[k]--; next[k] <= 0 {
			delete(next, k)
		}
	}
	for k, n := range o.latest {
		if n > mark {
			next[k] = max(next[k], o.byKey[k])
		} else {
			delete(o.latest, k)
		}
	}
	o.byKey = next
	o.anonymous = 0
}
