package connlimit

import (
	"context"
	"runtime"
	"time"

	"golang.org/x/sync/semaphore"
)

// lane limits how many connections of one kind are worked on at the same time. Connections wait
// in the order of their arrival, and hold no slot while they wait for their clients. Thus the
// goroutines of many callers that the process does not know can't keep those of everything else
// from running when the processor is short.
type lane struct {
	slots  *semaphore.Weighted
	within *lane // in which a connection needs a slot too; nil for none
}

// newLaneSlots returns the number of slots of a new lane: half as many as there are processors.
func newLaneSlots() int { return max(1, runtime.GOMAXPROCS(0)/2) }

func newLane(within *lane) *lane {
	return &lane{semaphore.NewWeighted(int64(newLaneSlots())), within}
}

// enter waits for a slot, and lets goroutines run first that are ready.
func (l *lane) enter() {
	l.acquire()
	runtime.Gosched()
}

func (l *lane) acquire() {
	_ = l.slots.Acquire(context.Background(), 1) // fails only with the context
	if l.within != nil {
		l.within.acquire()
	}
}

func (l *lane) leave() {
	if l.within != nil {
		l.within.leave()
	}
	l.slots.Release(1)
}

// laneOf returns the lane in which the connection is worked on after it has read bytes, nil for
// none. Newcomers are connections that are not trusted yet, bulk are bodies that are not small.
func (c *conn) laneOf(phase int32) *lane {
	trusted := c.trusted.Load()
	switch phase {
	case phaseReadingBody:
		return c.laneOfBody(trusted)
	case phaseNew, phaseIdle, phaseReceiving:
		if !trusted {
			return c.limiter.newcomers
		}
	}
	return nil
}

func (c *conn) laneOfBody(trusted bool) *lane {
	switch {
	case !c.bodyOpen.Load():
		return nil
	case c.bodyBytes.Load() >= c.smallBytes.Load():
		return c.limiter.bulk
	case !trusted:
		return c.limiter.newcomers
	}
	return nil
}

// enterLane waits for a slot of the lane of the connection. Another goroutine of net/http may
// read ahead while a handler begins or the body ends: the connection holds one slot at most, and
// none once its handler works.
func (c *conn) enterLane() {
	l := c.laneOf(c.phase.Load())
	if l == nil {
		return
	}
	c.awaitSlot(l)
	c.holdSlot(l)
	if c.laneOf(c.phase.Load()) == nil {
		c.leaveLane()
	}
}

// awaitSlot waits for a slot of a lane. The wait does not count as one for the client.
func (c *conn) awaitSlot(l *lane) {
	began := time.Now()
	c.queued.Add(1)
	l.enter()
	c.readAt.Add(int64(time.Since(began)))
	c.queued.Add(-1)
}

// holdSlot records that the connection holds a slot.
func (c *conn) holdSlot(l *lane) {
	if previous := c.lane.Swap(l); previous != nil {
		previous.leave()
	}
}

// leaveLane releases the slot of the connection, if it holds one.
func (c *conn) leaveLane() {
	if l := c.lane.Swap(nil); l != nil {
		l.leave()
	}
}
