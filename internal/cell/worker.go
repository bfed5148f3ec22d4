package cell

import (
	"math"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// clockSlack is how much slower the clock of a worker may run than that of this
// node, as a factor of its speed.
const clockSlack = 0.98

// leaseMargin is added to the computed end of a lease for the resolution of the
// clocks.
const leaseMargin = 100 * time.Millisecond

// WorkerInfo is what a worker says about itself in the list of workers.
type WorkerInfo struct {
	WorkerRef
	Pool          string
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      work.Resources
	Draining      bool
	Remaining     time.Duration // least time that is left while it drains; 0 if not said
}

// worker is one life of a worker.
type worker struct {
	info     WorkerInfo
	listed   bool // the list of workers has it
	known    bool // it was listed at some time
	guarded  bool // it refuses what does not fit
	used     work.Resources
	runs     []*run
	foreign  map[string]bool // runs there without a record; they are being stopped
	fenced   bool            // it has confirmed the epoch
	gone     bool            // this life has ended
	drainAt  time.Duration   // when it was first seen draining
	leavesAt time.Duration   // earliest end of a draining worker; 0 if not known

	// Clock and lease, as boot times of this node.
	clockMs    int64 // reading of the worker's clock
	clockAt    time.Duration
	clockKnown bool
	leaseUntil int64 // latest lease sent, on the worker's clock

	// Reports.
	holding     bool
	holdSeq     uint64
	holdSent    time.Duration
	reportedAt  time.Duration // when the last answer arrived
	nextHold    time.Duration
	holdErrors  int
	silentSince time.Duration // first error since the last answer; 0 if none
	seenEnd     int           // highest number of an end that was processed
	pendingAck  int           // highest number whose record waits to be written
	acked       int           // highest number whose record is written
	sentAck     int           // highest number sent to the worker

	unanswered  []unanswered  // starts that may still be carried out
	evacuatedAt time.Duration // last look at its runs while it drains
	pacedAt     time.Duration // last change of the pace of its opportunistic tasks
	pacedReport time.Duration // report by which the pace was last judged

	health    health
	askScore  float64       // of the step that is being asked for
	contended float64       // waiting steps that may run here, each divided by the workers on which it may
	keep      []reservation // room kept for steps in the current pass
}

func (w *worker) ref() WorkerRef { return w.info.WorkerRef }

// SetWorkers replaces the list of workers.
func (c *Cell) SetWorkers(list []WorkerInfo) {
	for _, w := range c.fleet {
		w.listed = false
	}
	for i := range list {
		c.listWorker(&list[i])
	}
	for _, w := range append([]*worker(nil), c.fleet...) {
		if !w.listed {
			c.unlistWorker(w)
		}
	}
	c.stepping = true
}

// listWorker adds a worker or replaces what is known of it.
func (c *Cell) listWorker(info *WorkerInfo) {
	w := c.workers[info.ID]
	if w != nil && w.info.BornUnixMs != info.BornUnixMs {
		if info.BornUnixMs < w.info.BornUnixMs {
			return // the list lags behind what the worker said itself
		}
		w = nil // a new life
	}
	if w == nil {
		w = c.workerOf(info.WorkerRef)
	}
	w.listed, w.known = true, true
	w.info = *info
	w.guarded = c.guarded(info.Pool)
	if info.Draining && w.drainAt == 0 {
		w.drainAt = c.now
		if info.Remaining > 0 {
			w.leavesAt = c.now + info.Remaining
		}
	}
}

// unlistWorker notes that a worker is no longer listed. Its runs are kept until
// their lease is over, because the worker may only be cut off from the list. One
// that has announced its departure and does not answer has left.
func (c *Cell) unlistWorker(w *worker) {
	if w.info.Draining && w.silentSince != 0 {
		c.endLife(w)
		return
	}
	if len(w.runs) == 0 && len(w.foreign) == 0 && c.now >= c.leaseEnd(w) {
		c.removeWorker(w)
	}
}

// workerOf returns the worker of the reference, or a later life of it, and adds it
// if it is not known.
func (c *Cell) workerOf(ref WorkerRef) *worker {
	if w := c.workers[ref.ID]; w != nil && w.info.BornUnixMs == ref.BornUnixMs {
		return w
	}
	w := &worker{info: WorkerInfo{WorkerRef: ref}, foreign: map[string]bool{}}
	if old := c.workers[ref.ID]; old != nil {
		if old.info.BornUnixMs > ref.BornUnixMs {
			return old // what was ordered in an earlier life may still reach this one
		}
		c.carryOver(old, w)
		c.endLife(old)
	}
	c.workers[ref.ID] = w
	at := sort.Search(len(c.fleet), func(i int) bool { return c.fleet[i].info.ID >= ref.ID })
	c.fleet = append(c.fleet, nil)
	copy(c.fleet[at+1:], c.fleet[at:])
	c.fleet[at] = w
	return w
}

// unansweredLimit is how long after it was sent a start may be carried out.
const unansweredLimit = 13 * time.Second

// unanswered is a start that was not answered and may be carried out late, even by
// the next life of the worker if that has the same ID.
type unanswered struct {
	name    string
	attempt int
	until   time.Duration
	pending bool          // it has to be stopped on this life
	stopAt  time.Duration // when the last stop was sent
}

// carryOver moves to the next life of a worker what may still be carried out
// there: runs whose start was not answered keep their room until a stop is
// confirmed, other unanswered starts are stopped as well.
func (c *Cell) carryOver(old, next *worker) {
	for _, r := range append([]*run(nil), old.runs...) {
		if r.phase == runRecording || r.confirmed != 0 && !r.carried {
			continue
		}
		old.dropRun(r)
		r.worker, r.confirmed = next, 0
		old.unanswered = append(old.unanswered, unanswered{name: r.name, attempt: r.attempt, until: c.now + unansweredLimit})
		if !r.restored {
			r.carried = true
			r.phase, r.reason = runStopping, "the worker has started again"
			r.stopAt = 0
		}
		next.runs = append(next.runs, r)
		next.used = next.used.Plus(r.size)
	}
	for _, u := range old.unanswered {
		if u.until > c.now {
			u.pending, u.stopAt = true, 0
			next.unanswered = append(next.unanswered, u)
		}
	}
}

// dropRun takes a run off the worker.
func (w *worker) dropRun(r *run) {
	for i := range w.runs {
		if w.runs[i] == r {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			w.used = w.used.Minus(r.size)
			return
		}
	}
}

// beginLife replaces a worker by its next life, before the list has it.
func (c *Cell) beginLife(old *worker, bornUnixMs int) {
	info := old.info
	info.BornUnixMs = bornUnixMs
	info.Draining = false
	next := c.workerOf(info.WorkerRef)
	next.info = info
	next.listed, next.known, next.guarded = old.listed, old.known, old.guarded
}

// lookup returns the worker of the reference, nil if that life is not known.
func (c *Cell) lookup(ref WorkerRef) *worker {
	w := c.workers[ref.ID]
	if w == nil || w.info.BornUnixMs != ref.BornUnixMs {
		return nil
	}
	return w
}

// endLife notes that a life of a worker has ended, and with it all that ran there.
func (c *Cell) endLife(w *worker) {
	if w.gone {
		return
	}
	w.gone = true
	c.loseRuns(w, "the worker has ended")
	c.removeWorker(w)
}

func (c *Cell) removeWorker(w *worker) {
	if c.workers[w.info.ID] == w {
		delete(c.workers, w.info.ID)
	}
	for i := range c.fleet {
		if c.fleet[i] == w {
			c.fleet = append(c.fleet[:i], c.fleet[i+1:]...)
			break
		}
	}
	w.gone = true
	c.stepping = true
}

// loseRuns ends all runs of a worker that can't run any more.
func (c *Cell) loseRuns(w *worker, reason string) {
	for len(w.runs) > 0 {
		c.loseRun(w.runs[len(w.runs)-1], reason)
	}
	w.foreign = map[string]bool{}
}

// free returns what is not taken of the worker.
func (w *worker) free() work.Resources { return w.info.Capacity.Minus(w.used) }

// takesWork reports whether tasks may be placed on the worker.
func (c *Cell) takesWork(w *worker) bool {
	return w.listed && w.fenced && !w.gone && !w.info.Draining && len(w.foreign) == 0 &&
		w.silentSince == 0 && !w.health.closed(c.now)
}

// clockNow returns an estimate of the worker's clock.
func (w *worker) clockNow(now time.Duration) int64 {
	return w.clockMs + (now - w.clockAt).Milliseconds()
}

// readClock notes a reading of the worker's clock that arrived now.
func (w *worker) readClock(now time.Duration, clockMs int64) {
	if clockMs <= 0 {
		return
	}
	w.clockMs, w.clockAt, w.clockKnown = clockMs, now, true
}

// renewal returns the lease to be sent with an order, on the worker's clock; 0 if
// the clock is not known.
func (c *Cell) renewal(w *worker) int64 {
	if !w.clockKnown {
		return 0
	}
	// A worker that does not answer gets no more time: its lease must be over some
	// time for its tasks to be started elsewhere.
	if (!c.renewing || w.silentSince != 0) && w.leaseUntil != 0 {
		return w.leaseUntil
	}
	w.leaseUntil = max(w.leaseUntil, w.clockNow(c.now)+c.opts.TaskLease.Milliseconds())
	return w.leaseUntil
}

// leaseEnd returns the boot time after which no lease on the worker is in force.
func (c *Cell) leaseEnd(w *worker) time.Duration {
	if !w.fenced {
		// Only earlier owners can have granted a lease.
		return c.opts.PriorLeasesEnd
	}
	if w.leaseUntil == 0 || !w.clockKnown {
		return w.reportedAt + LeaseBound(c.opts.TaskLease)
	}
	return w.clockAt + LeaseBound(time.Duration(w.leaseUntil-w.clockMs)*time.Millisecond)
}

// expireLeases gives up the runs on silent workers whose leases are over.
func (c *Cell) expireLeases() {
	c.forgetLost()
	for _, w := range append([]*worker(nil), c.fleet...) {
		if w.info.Draining && !w.listed && w.silentSince != 0 {
			c.endLife(w)
			continue
		}
		silent := w.silentSince != 0 || !w.fenced || !w.listed
		if !silent || c.now < c.leaseEnd(w) {
			continue
		}
		c.expireRuns(w)
		if !w.listed && len(w.runs) == 0 {
			c.removeWorker(w)
		}
	}
}

// LeaseBound returns how long a lease that is granted now may be in force by the
// clock of this node.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(lease)/clockSlack)) + leaseMargin
}

// expireRuns gives up the runs on a silent worker whose leases are over. The lease
// of a run that was ordered in the life before means nothing to this one, so such
// a run waits until the worker confirms its stop or is gone from the list.
func (c *Cell) expireRuns(w *worker) {
	for _, r := range append([]*run(nil), w.runs...) {
		if !r.carried || !w.listed {
			c.lost[lostRun{w.ref(), r.name, r.attempt}] = r
			c.loseRun(r, "the lease of a silent worker is over")
		}
	}
	w.foreign = map[string]bool{}
}

// loseProcess gives up the runs of a worker whose process has ended. It is kept, since
// a process may start again under its ID: starts that were not answered may reach that
// one, so they are left to the next life, and so are stops of what an earlier owner
// may have ordered.
func (c *Cell) loseProcess(w *worker) {
	for _, r := range append([]*run(nil), w.runs...) {
		if r.carried || r.confirmed == 0 && !r.restored {
			continue
		}
		if r.confirmed == 0 {
			w.unanswered = append(w.unanswered, unanswered{name: r.name, attempt: r.attempt, until: c.now + unansweredLimit})
		}
		c.lost[lostRun{w.ref(), r.name, r.attempt}] = r
		c.loseRun(r, "the process of the worker has ended")
	}
	w.foreign = map[string]bool{}
}
