package cell

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/work"
)

// WorkerInfo describes a worker, as in the list of workers.
type WorkerInfo struct {
	WorkerRef
	Pool           string
	FailureDomain  string
	Rack           string
	Labels         []string
	Capacity       work.Resources
	Draining       bool
	MinTimeToLeave time.Duration // minimum time until a draining worker leaves; 0 if not known
}

// worker is the state of one incarnation of a worker.
type worker struct {
	info            WorkerInfo
	listed          bool // the current list of workers contains it
	wasListed       bool // it has been listed before
	described       bool // an entry of this incarnation was listed; until then its kind and capacity are not known
	rejectsOverload bool // it refuses tasks that do not fit
	used            work.Resources
	runs            []*run
	unknownRuns     map[string]bool // names of running tasks without a record; they are being stopped
	fenced          bool            // it has accepted a token of this owner and refuses earlier owners
	token           int             // fencing token of the calls to it
	ended           bool            // this incarnation has ended
	knownSince      time.Duration   // when this owner learned of the incarnation
	drainingSince   time.Duration   // when it was first listed as draining
	leavesAt        time.Duration   // earliest departure of a draining worker; 0 if not known
	departed        bool            // it has taken itself off the list of workers
	evacuated       bool            // its failure domain is evacuated, see SetEvacuatedDomains

	// Clock and lease. Times without a comment are boot times of this node.
	clockMs    int64 // last reading of the worker's clock
	clockAt    time.Duration
	clockKnown bool
	leaseUntil int64 // end of the latest lease sent, on the worker's clock; 0 if none was sent
	leaseCalls leaseCalls
	stray      strayLease

	// Polls and reports.
	polls             []pendingPoll // in the order in which they were sent
	pollSent          time.Duration // when the last poll was sent
	roundTrip         roundTrip
	reportedAt        time.Duration // arrival of the last report
	reportSeq         uint64        // highest poll of this incarnation with a usable report; 0 for none
	reportPollSentAt  time.Duration // when it was sent
	reportClockMs     int64         // reading of the worker's clock in that report
	nextPoll          time.Duration
	pollErrors        int
	answerLostAt      time.Duration // when a call last had no answer
	unresponsiveSince time.Duration // time of the first error since the last report; 0 if none
	processedEnd      int           // highest number of a processed end
	unackedEnds       []unackedEnd  // processed ends above acked, by number
	acked             int           // highest number whose records are written
	ackReceived       int           // highest number acknowledged in a poll that was answered
	ackDueAt          time.Duration // since when ends wait for an acknowledgment that is withheld or was refused; 0 if none do
	acksUnanswered    int           // polls with an acknowledgment and the present token that have no answer
	unansweredAck     unansweredAck // the last poll with an acknowledgment that has no answer
	earlierAck        unansweredAck // the same of the earlier incarnation
	endsFromOne       bool          // its ends count from 1 and only this owner has acknowledged them

	unansweredStarts    []unansweredStart // starts that it may still carry out
	earlierStartsUntil  time.Duration     // until then it may carry out starts by earlier owners of tasks whose ends it has listed
	evacuationCheckedAt time.Duration     // last check of its runs while it drains
	throttleChangedAt   time.Duration     // last change of the throttle of its opportunistic tasks
	throttleReportAt    time.Duration     // arrival of the report on which the last adjustment is based

	health       health
	queryScore   float64       // for the step of the current advice call
	adviceClaims int           // steps that count on its room, see advice_room.go
	contention   float64       // sum of contentionShare of the waiting steps with a ticket for it
	reservations []reservation // room reserved in the current pass
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
	c.updateDemandCapacities()
	if !c.fleetListed && len(list) > 0 {
		c.fleetListed = true
		c.log(event.WorkersListed, "workers", len(list))
		c.applyHeldAdvice()
		c.applyHeldCalls()
	}
	c.changed = true
}

// listWorker adds or updates a worker from the list.
func (c *Cell) listWorker(info *WorkerInfo) {
	w := c.workers[info.ID]
	if w != nil && w.info.IncarnationUnixMs != info.IncarnationUnixMs {
		if info.IncarnationUnixMs < w.info.IncarnationUnixMs {
			return // the list is older than the last report of the worker
		}
		w = nil // a new incarnation
	}
	if w == nil {
		w = c.ensureWorker(info.WorkerRef)
	}
	w.listed, w.wasListed, w.described, w.departed = true, true, true, false
	c.longestWorkerID = max(c.longestWorkerID, len(info.ID))
	w.info = *info
	c.updateEvacuated(w)
	w.rejectsOverload = c.poolRejectsOverload(info.Pool)
	if info.Draining && w.drainingSince == 0 {
		w.drainingSince = c.now
		if info.MinTimeToLeave > 0 {
			w.leavesAt = c.now + info.MinTimeToLeave
		}
	}
}

// unlistWorker handles a worker that is no longer listed. Its runs are kept until their
// lease expires, because they go on if the worker is only cut off from the list.
func (c *Cell) unlistWorker(w *worker) {
	if w.hasLeft() {
		c.endIncarnation(w, lostWithDeparture)
		return
	}
	if len(w.runs) == 0 && len(w.unknownRuns) == 0 && c.now >= c.leaseEnd(w) {
		c.removeIfUnlisted(w)
	}
}

// removeIfUnlisted removes an unlisted worker, unless its next incarnation has to be told to
// refuse starts that may still arrive.
func (c *Cell) removeIfUnlisted(w *worker) {
	w.forgetExpiredStarts(c.now)
	if !w.listed && len(w.unansweredStarts) == 0 {
		c.removeWorker(w)
	}
}

// WorkersDeparted notes workers that have taken themselves off the list.
func (c *Cell) WorkersDeparted(refs []WorkerRef) {
	for _, ref := range refs {
		if w := c.workerByRef(ref); w != nil {
			w.departed = true
		}
	}
}

// hasLeft reports whether a draining worker counts as gone: it has taken itself off the list
// and does not respond. That it is no longer listed does not suffice, since a worker that is
// cut off drops off the list as well while its runs go on.
func (w *worker) hasLeft() bool {
	return w.info.Draining && !w.listed && w.departed && w.unresponsiveSince != 0
}

// ensureWorker returns the referenced incarnation of a worker, or a later one. It adds the
// incarnation if neither is known.
func (c *Cell) ensureWorker(ref WorkerRef) *worker {
	if w := c.workers[ref.ID]; w != nil && w.info.IncarnationUnixMs == ref.IncarnationUnixMs {
		return w
	}
	w := &worker{info: WorkerInfo{WorkerRef: ref}, unknownRuns: map[string]bool{}, knownSince: c.now}
	if old := c.workers[ref.ID]; old != nil {
		if old.info.IncarnationUnixMs > ref.IncarnationUnixMs {
			return old // starts sent to an earlier incarnation may still reach this one
		}
		c.logRestart(old, ref)
		w.inheritLease(old, c.now)
		w.earlierAck = old.lastUnansweredAck()
		w.endsFromOne = old.reportSeq != 0
		w.earlierStartsUntil = old.earlierStartsUntil
		c.setToken(w, old.token+1)
		if !old.fenced && len(old.runs) > 0 {
			c.assumePriorStrayLease(w)
		}
		c.carryOver(old, w)
		c.endIncarnation(old, lostWithIncarnation)
	}
	if w.token == 0 {
		c.setToken(w, c.firstToken(ref.ID))
	}
	c.workers[ref.ID] = w
	at := sort.Search(len(c.fleet), func(i int) bool { return c.fleet[i].info.ID >= ref.ID })
	c.fleet = append(c.fleet, nil)
	copy(c.fleet[at+1:], c.fleet[at:])
	c.fleet[at] = w
	if c.fleetListed {
		c.log(event.WorkerAdded, "worker", ref.ID, "incarnation", ref.IncarnationUnixMs)
	}
	return w
}

// dropRun removes a run from the worker and releases its room.
func (w *worker) dropRun(r *run) {
	for i := range w.runs {
		if w.runs[i] == r {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			w.used = w.used.Minus(r.size)
			return
		}
	}
}

// workerByRef returns the referenced incarnation of a worker, or nil.
func (c *Cell) workerByRef(ref WorkerRef) *worker {
	w := c.workers[ref.ID]
	if w == nil || w.info.IncarnationUnixMs != ref.IncarnationUnixMs {
		return nil
	}
	return w
}

func (c *Cell) removeWorker(w *worker) {
	if c.workers[w.info.ID] == w {
		delete(c.workers, w.info.ID)
	}
	c.removedTokens[w.info.ID] = max(c.removedTokens[w.info.ID], w.token)
	for i := range c.fleet {
		if c.fleet[i] == w {
			c.fleet = append(c.fleet[:i], c.fleet[i+1:]...)
			break
		}
	}
	w.ended = true
	c.removals++
	c.changed = true
	c.log(event.WorkerRemoved, "worker", w.info.ID, "incarnation", w.info.IncarnationUnixMs, "listed", w.listed, "report_age_ms", c.sinceMs(w.reportedAt))
}

// free returns the unused capacity of the worker.
func (w *worker) free() work.Resources { return w.info.Capacity.Minus(w.used) }

// acceptsTasks reports whether new tasks may be placed on the worker.
func (c *Cell) acceptsTasks(w *worker) bool {
	return c.isOpen(w) && !w.health.quarantined(c.now)
}

// isOpen reports whether new tasks may be placed on the worker unless it is quarantined.
func (c *Cell) isOpen(w *worker) bool {
	return w.listed && w.described && w.fenced && !w.ended && !w.info.Draining && !w.evacuated && len(w.unknownRuns) == 0 &&
		w.unresponsiveSince == 0 && !w.health.paused(c.now)
}
