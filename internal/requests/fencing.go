package requests

import (
	"context"

	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// fenceExecutors starts the fence and poll calls that are due.
func (s *controller) fenceExecutors() {
	if !s.owned {
		return
	}
	for _, e := range s.executors {
		if e.fenceDue(s.now) {
			s.fence(e)
		}
	}
}

func (s *controller) fence(e *executor) {
	e.fenceInFlight = true
	e.advanceGeneration()
	token := int64(e.generation.token(s.lease))
	m := fenceDoneMessage{
		executor:     e,
		seq:          e.fenceSeq,
		epoch:        s.lease.Epoch,
		activeBefore: make(map[requestKey]bool, len(e.ownActive)),
		lostBefore:   e.orphans.lostTotal,
	}
	for c := range e.ownActive {
		m.activeBefore[c.key] = true
	}
	vm := e.vm
	partition := s.options.Partition
	s.partition.goroutines.Add(1)
	go func() {
		defer s.partition.goroutines.Done()
		ctx, cancel := context.WithTimeout(s.partition.ioContext, fenceTimeout)
		defer cancel()
		m.status, m.err = s.options.Executor.Fence(ctx, vm, partition, token)
		s.partition.send(m)
	}()
}

// fenceDone handles the answer to a fence call. An answer for an earlier epoch,
// for an earlier process on the VM or from before a failure is ignored.
func (s *controller) fenceDone(m fenceDoneMessage) {
	e := m.executor
	if s.executors[e.vm.Id] != e || m.seq != e.fenceSeq {
		return
	}
	if m.err != nil {
		s.fenceFailed(e, m)
		return
	}
	recovered := !e.usable || e.draining
	wasKnown := e.activeKnown
	e.applyStatus(s.now, m.status, m.activeBefore, m.lostBefore)
	s.markAllDemandChanged()
	if !wasKnown {
		event.ExecutorFenced.Log(s.options.Logger, "vm", e.vm.Id, "epoch", m.epoch, "active", m.status.Active)
		return
	}
	if recovered && !e.draining {
		event.ExecutorRecovered.Log(s.options.Logger, "vm", e.vm.Id)
	}
}

func (s *controller) fenceFailed(e *executor, m fenceDoneMessage) {
	if errkind.Is(m.err, errkind.Fenced) {
		e.fenceInFlight = false
		s.superseded(m.epoch)
		return
	}
	e.fenceFailed(s.now)
	if e.usable {
		return // the failed call was a poll; it is repeated
	}
	event.ExecutorFenceFailed.Log(s.options.Logger, "vm", e.vm.Id, "epoch", m.epoch, "err", m.err)
}

// markAllDemandChanged marks the demand of all teams as changed, because slots
// whose team is unknown count for every team.
func (s *controller) markAllDemandChanged() {
	for team := range s.queues.teams {
		s.demandChanged[team] = true
	}
}
