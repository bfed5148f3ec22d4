package requests

import (
	"context"

	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// fenceExecutors starts the fence and poll calls that are due.
func (s *control) fenceExecutors() {
	if !s.owned {
		return
	}
	for _, e := range s.executors {
		if e.fenceDue(s.now) {
			s.fence(e)
		}
	}
}

func (s *control) fence(e *executor) {
	e.fencing = true
	e.settle()
	token := int64(e.round.token(s.lease))
	m := fencedMessage{
		executor: e,
		seq:      e.fenceSeq,
		epoch:    s.lease.Epoch,
		before:   make(map[callKey]bool, len(e.own)),
		mark:     e.orphans.added,
	}
	for c := range e.own {
		m.before[c.key] = true
	}
	vm := e.vm
	partition := s.o.Partition
	s.p.goroutines.Add(1)
	go func() {
		defer s.p.goroutines.Done()
		ctx, cancel := context.WithTimeout(s.p.background, fenceTimeout)
		defer cancel()
		m.status, m.err = s.o.Executor.Fence(ctx, vm, partition, token)
		s.p.send(m)
	}()
}

// fenced takes in the answer to a fence call. An answer for an earlier epoch, for
// an earlier process on the VM or from before a failure has no meaning any more.
func (s *control) fenced(m fencedMessage) {
	e := m.executor
	if s.executors[e.vm.Id] != e || m.seq != e.fenceSeq {
		return
	}
	if m.err != nil {
		s.fenceFailed(e, m)
		return
	}
	back := !e.usable || e.draining
	counted := e.counted
	e.fenced(s.now, m.status, m.before, m.mark)
	s.allDirty()
	if !counted {
		event.ExecutorFenced.Log(s.o.Logger, "vm", e.vm.Id, "epoch", m.epoch, "active", m.status.Active)
		return
	}
	if back && !e.draining {
		event.ExecutorBack.Log(s.o.Logger, "vm", e.vm.Id)
	}
}

func (s *control) fenceFailed(e *executor, m fencedMessage) {
	if errkind.Is(m.err, errkind.Fenced) {
		e.fencing = false
		s.lost(m.epoch)
		return
	}
	e.fenceFailed(s.now)
	if e.usable {
		return // a poll; the next one will tell
	}
	event.ExecutorFenceFailed.Log(s.o.Logger, "vm", e.vm.Id, "epoch", m.epoch, "err", m.err)
}

// allDirty marks the demand of all teams as changed, because slots whose team
// is not known count for every team.
func (s *control) allDirty() {
	for team := range s.queues.teams {
		s.dirty[team] = true
	}
}
