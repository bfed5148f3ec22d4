package scheduler

import (
	"container/heap"
	"time"
)

// timerKind tells what a timer is for.
type timerKind int

const (
	timerRetry    timerKind = iota // a waiting task becomes pending
	timerHold                      // a task that could not be fenced counts as lost
	timerDeadline                  // the start deadline of a job passes
	timerGang                      // a broken gang becomes pending
	timerVM                        // a VM may take work again
	timerClaim                     // room kept for a job is given up
	timerStop                      // a checkpoint takes too long
	timerProbe                     // a task has run without a quick failure
)

// timer fires at a time. One that has become meaningless is ignored when fired.
type timer struct {
	at    time.Time
	seq   int64
	kind  timerKind
	task  *task
	job   *job
	vm    *vm
	claim *claim
	gen   int64
}

// timerHeap holds timers by time, then in order of creation.
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

// addTimer arms a timer.
func (c *Cell) addTimer(t timer) {
	c.timers.seq++
	t.seq = c.timers.seq
	heap.Push(&c.timers, t)
}

// fireTimers handles all timers due at now.
func (c *Cell) fireTimers(now time.Time) {
	for len(c.timers.list) > 0 && !c.timers.list[0].at.After(now) {
		c.fire(heap.Pop(&c.timers).(timer), now)
	}
}

func (c *Cell) fire(t timer, now time.Time) {
	switch t.kind {
	case timerRetry:
		if t.task.timer == t.gen && t.task.state == taskWaiting && !t.task.job.ended {
			c.makePending(t.task)
		}
	case timerHold:
		if t.task.timer == t.gen && t.task.state == taskHeld {
			c.TaskExited(t.task.id, t.task.attempt, Lost, now)
		}
	case timerDeadline:
		if c.jobs[t.job.ID] == t.job && t.job.placements == 0 && !t.job.ended {
			c.fail(t.job, "the deadline passed before the job could be started")
		}
	case timerGang:
		if c.jobs[t.job.ID] == t.job && t.gen == int64(t.job.starts) {
			c.requeueGang(t.job)
		}
	case timerVM:
		if c.vms[t.vm.ID] == t.vm && t.gen == t.vm.timer {
			c.reopen(t.vm)
		}
	case timerClaim:
		c.expireClaim(t.claim)
	case timerStop:
		if t.task.held() && t.task.state == taskStopping && int64(t.task.attempt) == t.gen {
			c.actions = append(c.actions, action{task: t.task, attempt: t.task.attempt, kind: Stop, reason: "the checkpoint takes too long"})
		}
	case timerProbe:
		if t.task.vm == t.vm && t.task.state == taskRunning && int64(t.task.attempt) == t.gen {
			c.noteHealthy(t.vm)
		}
	}
}
