package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// waitLogThreshold is how long a long-running task waits for a worker before its step is
// logged each loadLogInterval.
const waitLogThreshold = 3 * time.Second

// logWaitingSteps logs the long-running steps that have waited too long, with the reasons
// that exclude the workers.
func (c *Cell) logWaitingSteps() {
	for _, s := range c.ready {
		if !s.spec.LongRunning || c.longestWait(s) < waitLogThreshold {
			continue
		}
		x := c.exclusionsOf(s)
		c.log(event.LongRunningStepWaits, "work", s.work.spec.Id, "step", s.number, "team", s.work.team.name,
			"waiting", s.waiting, "waiting_ms", c.longestWait(s).Milliseconds(), "team_allows", s.work.team.allows(s.size),
			"tickets_received", s.advice.ticketsReceived, "call_in_flight", s.advice.inFlight, "unlisted", x.unlisted, "unresponsive", x.unresponsive,
			"closed", x.closed, "quarantined", x.quarantined, "unsuitable", x.unsuitable, "not_asked_for", x.notAskedFor,
			"no_ticket", x.noTicket, "no_room", x.noRoom, "reserved", x.reserved, "ticket_expired", x.ticketExpired, "available", x.available)
	}
}

// longestWait returns how long a task of a ready step has waited for a worker, 0 if none
// waits.
func (c *Cell) longestWait(s *step) time.Duration {
	longest := time.Duration(0)
	for i := range s.tasks {
		if t := &s.tasks[i]; t.phase == taskWaiting {
			longest = max(longest, c.now-max(s.readyAt, t.requeuedAt))
		}
	}
	return longest
}

// exclusions counts the workers of a pool by the first reason why no task of a step can
// be placed on them.
type exclusions struct {
	unlisted      int // not in the list of workers
	unresponsive  int // no report since the last error, or since this node owns the cell
	closed        int // draining, paused, or with runs that are not recorded
	quarantined   int
	unsuitable    int // too small, without the required label, or at the limit of tasks per worker
	notAskedFor   int // not in an advice call yet
	noTicket      int // in an advice call, and without a ticket
	noRoom        int
	reserved      int // the room is reserved for other steps
	ticketExpired int
	available     int // no reason
}

// exclusionsOf counts the workers of the pool of a step.
func (c *Cell) exclusionsOf(s *step) exclusions {
	var x exclusions
	for _, w := range c.fleet {
		if w.info.Pool == s.work.queue.Pool {
			*c.exclusion(s, w, &x)++
		}
	}
	return x
}

// exclusion returns the counter for the first reason that excludes a worker.
func (c *Cell) exclusion(s *step, w *worker, x *exclusions) *int {
	t := s.ticketOf(w)
	advised := s.work.queue.Advice != nil
	switch {
	case !w.listed:
		return &x.unlisted
	case w.unresponsiveSince != 0 || !w.fenced:
		return &x.unresponsive
	case w.health.quarantined(c.now) && !c.mayUse(s, w):
		return &x.quarantined
	case !c.mayUse(s, w):
		return &x.closed
	case !c.meetsConstraints(s, w) || !w.info.Capacity.Covers(s.sizeOnWorker()):
		return &x.unsuitable
	case advised && t == nil && !s.advice.queried[w]:
		return &x.notAskedFor
	case advised && t == nil:
		return &x.noTicket
	case !w.free().Covers(s.sizeOnWorker()):
		return &x.noRoom
	case !c.hasRoomFor(s, w):
		return &x.reserved
	case advised && t.expires <= c.now+ticketExpiryMargin:
		return &x.ticketExpired
	}
	return &x.available
}

// longestLongRunningWait returns the longest wait of a long-running task for a worker.
func (c *Cell) longestLongRunningWait() time.Duration {
	longest := time.Duration(0)
	for _, s := range c.ready {
		if s.spec.LongRunning {
			longest = max(longest, c.longestWait(s))
		}
	}
	return longest
}
