package cell

import (
	"slices"
	"time"
)

// ticket permits a worker to run a step until it expires.
type ticket struct {
	worker  *worker
	value   string
	expires time.Duration
}

// eachTicketHolder calls f for the workers that have a ticket for the step and accept its
// tasks. fresh is false if the ticket has expired or is about to.
func (c *Cell) eachTicketHolder(s *step, f func(w *worker, ticket string, fresh bool)) {
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if c.mayUse(s, t.worker) && t.worker.info.Pool == s.work.queue.Pool {
			f(t.worker, t.value, t.expires > c.now+ticketExpiryMargin)
		}
	}
}

// requestRenewal makes the next call for the step renew the ticket of a worker with room.
// The members of a gang need valid tickets at the same time, so a call renews all of them.
func (s *step) requestRenewal(w *worker) {
	limit := maxRenewalWorkers
	if s.spec.Gang {
		limit = maxCallWorkers
	}
	a := &s.advice
	if len(a.renewals) < limit && !slices.Contains(a.renewals, w) {
		a.renewals = append(a.renewals, w)
	}
}

// requestGangRenewal renews the tickets of a gang that would fit if all were valid: those
// that have expired, and those that would expire before the answer.
func (c *Cell) requestGangRenewal(s *step, placements []memberPlacement) {
	callTime := c.expectedCallTime(s, maxCallWorkers)
	for _, placement := range placements {
		if t := s.ticketOf(placement.worker); t != nil && t.expires <= c.now+callTime+ticketExpiryMargin {
			s.requestRenewal(placement.worker)
		}
	}
}

// ticketOf returns the ticket for a worker, or nil.
func (s *step) ticketOf(w *worker) *ticket {
	for i := range s.advice.tickets {
		if s.advice.tickets[i].worker == w {
			return &s.advice.tickets[i]
		}
	}
	return nil
}

// invalidateTicket marks a ticket that the worker has refused as expired.
func (s *step) invalidateTicket(w *worker) {
	if t := s.ticketOf(w); t != nil {
		t.expires = 0
	}
}

// setTicket adds a ticket, or replaces the ticket for the same worker.
func (s *step) setTicket(t ticket) {
	for i := range s.advice.tickets {
		if s.advice.tickets[i].worker.info.ID == t.worker.info.ID {
			s.advice.tickets[i] = t
			return
		}
	}
	s.advice.tickets = append(s.advice.tickets, t)
}
