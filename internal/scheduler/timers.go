package scheduler

import (
	"container/heap"
	"time"
)

// timerKind tells what happens when a timer fires.
type timerKind int

const (
	timerTaskRetry         timerKind = iota // a waiting task becomes pending
	timerUnfencedTask                       // a task that could not be fenced counts as lost
	timerDeadline                           // the deadline for the first start of a job passes
	timerGangRestart                        // a restarting gang becomes pending
	timerUnblockVM                          // a VM accepts tasks again
	timerClaimExpiry                        // a claim expires
	timerCheckpointTimeout                  // a checkpoint has taken too long
	timerQuickFailure                       // a task has run without a quick failure
)

// timer is a scheduled event. A timer whose subject has changed is ignored when
// it fires.
type timer struct {
	at         time.Time
	seq        int64
	kind       timerKind
	task       *task
	job        *job
	vm         *vm
	claim      *claim
	generation int64
}

// timerHeap orders timers by time, then by creation.
type timerHeap struct {
	list []timer
	seq  int64
}

func (h *timerHeap) Len() int { return len(h.list) }
func (h *timerHeap) Less(i, k int) bool {
	if !h.list[i].at.Equal(h.list[k].at) {
		return h.list[i].at.Before(h.list[k].at)
	}
	return h.list[i].seq < h.list[k].seq
}
func (h *timerHeap) Swap(i, k int) { h.list[i], h.list[k] = h.list[k], h.list[i] }
func (h *timerHeap) Push(x any)    { h.list = append(h.list, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(h.list) - 1
	t := h.list[last]
	h.list[last] = timer{}
	h.list = h.list[:last]
	return t
}

// addTimer schedules a timer.
func (s *State) addTimer(t timer) {
	s.timers.seq++
	t.seq = s.timers.seq
	heap.Push(&s.timers, t)
}

// addCheckpointTimeout sets the time at which a task that was told to write a checkpoint is
// stopped without it.
func (s *State) addCheckpointTimeout(t *task, at time.Time) {
	s.addTimer(timer{at: at, kind: timerCheckpointTimeout, task: t, generation: int64(t.attempt)})
}

// fireTimers handles all timers due at now.
func (s *State) fireTimers(now time.Time) {
	for len(s.timers.list) > 0 && !s.timers.list[0].at.After(now) {
		s.fireTimer(heap.Pop(&s.timers).(timer), now)
	}
}

func (s *State) fireTimer(t timer, now time.Time) {
	switch t.kind {
	case timerTaskRetry:
		if t.task.timerGeneration == t.generation && t.task.state == taskWaiting && !t.task.job.ended {
			s.makePending(t.task)
		}
	case timerUnfencedTask:
		if t.task.timerGeneration == t.generation && t.task.state == taskUnfenced {
			s.TaskExited(t.task.id, t.task.attempt, OutcomeLost, now)
		}
	case timerDeadline:
		if s.jobs[t.job.ID] == t.job {
			s.failIfLate(t.job, now)
		}
	case timerGangRestart:
		if s.jobs[t.job.ID] == t.job && t.generation == int64(t.job.gangStarts) {
			s.makeGangPending(t.job)
		}
	case timerUnblockVM:
		if s.vms[t.vm.ID] == t.vm && t.generation == t.vm.timerGeneration {
			s.unblockVM(t.vm)
		}
	case timerClaimExpiry:
		s.expireClaim(t.claim)
	case timerCheckpointTimeout:
		if t.task.occupiesVM() && t.task.state == taskStopping && int64(t.task.attempt) == t.generation {
			s.queuedDecisions = append(s.queuedDecisions, queuedDecision{task: t.task, attempt: t.task.attempt, kind: DecisionStop, reason: "the checkpoint was not written in time"})
		}
	case timerQuickFailure:
		if t.task.vm == t.vm && t.task.state == taskRunning && int64(t.task.attempt) == t.generation {
			s.recordVMSuccess(t.vm)
		}
	}
}
