package requests

import (
	"context"

	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// fenceExecutors starts the fence and poll calls that are due.
func (c *controller) fenceExecutors() {
	if !c.owned {
		return
	}
	for _, e := range c.executors {
		if e.fenceDue(c.now) {
			c.fence(e)
		}
	}
}

func (c *controller) fence(e *executor) {
	e.fenceInFlight = true
	e.advanceGeneration()
	token := int64(e.generation.token(c.lease))
	m := fenceDoneMessage{
		executor:     e,
		seq:          e.fenceSeq,
		epoch:        c.lease.Epoch,
		activeBefore: make(map[requestKey]bool, len(e.ownActive)),
		lostBefore:   e.orphans.lostTotal,
	}
	for req := range e.ownActive {
		m.activeBefore[req.key] = true
	}
	vm := e.vm
	partition := c.options.Partition
	c.partition.goroutines.Add(1)
	go func() {
		defer c.partition.goroutines.Done()
		ctx, cancel := context.WithTimeout(c.partition.ioContext, fenceTimeout)
		defer cancel()
		m.status, m.err = c.options.Executor.Fence(ctx, vm, partition, token)
		c.partition.send(m)
	}()
}

// fenceDone handles the answer to a fence call. An answer for an earlier epoch,
// for an earlier process on the VM or from before a failure is ignored.
func (c *controller) fenceDone(m fenceDoneMessage) {
	e := m.executor
	if c.executors[e.vm.Id] != e || m.seq != e.fenceSeq {
		return
	}
	if m.err != nil {
		c.fenceFailed(e, m)
		return
	}
	wasUnavailable := !e.usable || e.draining
	wasKnown := e.activeKnown
	e.applyStatus(c.now, m.status, m.activeBefore, m.lostBefore)
	c.markAllDemandChanged()
	if !wasKnown {
		event.ExecutorFenced.Log(c.options.Logger, "vm", e.vm.Id, "epoch", m.epoch, "active", m.status.Active)
		return
	}
	if wasUnavailable && !e.draining {
		event.ExecutorRecovered.Log(c.options.Logger, "vm", e.vm.Id)
	}
}

func (c *controller) fenceFailed(e *executor, m fenceDoneMessage) {
	if errkind.Is(m.err, errkind.Fenced) {
		e.fenceInFlight = false
		c.superseded(m.epoch)
		return
	}
	e.fenceFailed(c.now)
	if e.usable {
		return // the failed call was a poll; it is repeated
	}
	event.ExecutorFenceFailed.Log(c.options.Logger, "vm", e.vm.Id, "epoch", m.epoch, "err", m.err)
}

// markAllDemandChanged marks the demand of all teams as changed, because slots
// whose team is unknown count for every team.
func (c *controller) markAllDemandChanged() {
	for team := range c.queued.teams {
		c.demandChanged[team] = true
	}
}
