package scheduler

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// priority is the placement priority: urgent work is placed before all other
// work.
type priority int

const (
	priorityUrgent priority = iota
	priorityNormal          // normal and background work; background work has a later order key
	priorityCount
)

// jobShape holds the attributes that decide whether a job fits. Jobs of one team
// with the same shape form a group, so that if the first does not fit, the
// others need not be tried.
type jobShape struct {
	size        resourceVec
	class       api.Class
	tasks       int // number of members of a gang, else 0
	runTimeBits int // bit length of the estimated run time in seconds, for the backfill of reservations
}

// jobGroup holds the waiting jobs of one team with one shape, by their order key.
type jobGroup struct {
	jobShape
	team             *team
	priority         priority
	jobs             indexedHeap[*job]
	heapPos          int // index in the queue of the team, -1 while unschedulable
	unschedulablePos int // index in the unschedulable groups, -1 while queued
	reason           unschedulableReason
	lastTriedPass    int64     // last pass that tried the group and did not place it
	preemptAt        time.Time // earliest time of the next preemption search
}

// teamQueue holds the groups of a team with one priority, ordered by their
// first job.
type teamQueue struct {
	heap   indexedHeap[*jobGroup]
	groups map[jobShape]*jobGroup
}

// jobPrecedes orders jobs by order key, then by submission.
func jobPrecedes(a, b *job) bool {
	if a.orderKey != b.orderKey {
		return a.orderKey < b.orderKey
	}
	return a.seq < b.seq
}

func (j *job) before(other *job) bool { return jobPrecedes(j, other) }
func (j *job) setHeapPos(pos int)     { j.groupPos = pos }

// before orders the groups of one team and priority by their first job.
func (g *jobGroup) before(other *jobGroup) bool { return jobPrecedes(g.jobs[0], other.jobs[0]) }
func (g *jobGroup) setHeapPos(pos int)          { g.heapPos = pos }

// enqueue adds a job with pending tasks to the queue of its team.
func (s *State) enqueue(j *job) {
	if j.group != nil {
		return
	}
	newShape := jobShape{size: j.size, class: j.Class, runTimeBits: bits.Len64(uint64(s.estimateRunTime(j, highQuantile) / time.Second))}
	if j.isGang() {
		newShape.tasks = j.unfinished
	}
	q := &j.team.queues[j.priority]
	if q.groups == nil {
		q.groups = map[jobShape]*jobGroup{}
	}
	g, ok := q.groups[newShape]
	if !ok {
		g = &jobGroup{jobShape: newShape, team: j.team, priority: j.priority, heapPos: -1, unschedulablePos: -1}
		q.groups[newShape] = g
	}
	j.group = g
	heap.Push(&g.jobs, j)
	s.updateGroupPosition(g)
}

// dequeue removes a job from the queue of its team.
func (s *State) dequeue(j *job) {
	g := j.group
	if g == nil {
		return
	}
	s.releaseClaims(j) // may requeue groups, none of which may be empty at that point
	heap.Remove(&g.jobs, j.groupPos)
	j.group = nil
	s.updateGroupPosition(g)
}

// updateGroupPosition restores the position of a group after a change of its
// jobs.
func (s *State) updateGroupPosition(g *jobGroup) {
	q := &g.team.queues[g.priority]
	switch {
	case len(g.jobs) == 0:
		if g.heapPos >= 0 {
			// heap.Remove would compare the first job, which is gone.
			removeGroup(&q.heap, g)
		}
		if g.unschedulablePos >= 0 {
			s.clearUnschedulable(g)
		}
		delete(q.groups, g.jobShape)
	case g.unschedulablePos >= 0:
		// The group stays out of the queue until it may fit.
	case g.heapPos >= 0:
		heap.Fix(&q.heap, g.heapPos)
	default:
		heap.Push(&q.heap, g)
	}
}

// removeGroup removes an empty group from the heap without comparing it.
func removeGroup(h *indexedHeap[*jobGroup], g *jobGroup) {
	at, last := g.heapPos, len(*h)-1
	h.Swap(at, last)
	h.Pop()
	if at < last {
		heap.Fix(h, at)
	}
}

// makePending makes a task available for placement.
func (s *State) makePending(t *task) {
	j := t.job
	if j.group == nil {
		s.resetInfeasible(j)
	}
	t.state = taskPending
	j.pending = append(j.pending, t.index)
	j.team.pendingDemand = j.team.pendingDemand.add(j.size)
	s.enqueue(j)
}

// popPending removes the next pending task of the job and returns it.
func (s *State) popPending(j *job) *task {
	last := len(j.pending) - 1
	t := &j.tasks[j.pending[last]]
	j.pending = j.pending[:last]
	j.team.pendingDemand = j.team.pendingDemand.sub(j.size)
	if last == 0 {
		s.dequeue(j)
	}
	return t
}

// dropPending removes the given task from the pending tasks of its job.
func (s *State) dropPending(t *task) {
	j := t.job
	for i, index := range j.pending {
		if index != t.index {
			continue
		}
		j.pending = append(j.pending[:i], j.pending[i+1:]...)
		j.team.pendingDemand = j.team.pendingDemand.sub(j.size)
		break
	}
	if len(j.pending) == 0 {
		s.dequeue(j)
	}
}

// dropAllPending removes all pending tasks of the job and sets their state.
func (s *State) dropAllPending(j *job, state taskState) {
	for _, index := range j.pending {
		j.tasks[index].state = state
	}
	j.team.pendingDemand = j.team.pendingDemand.sub(j.size.times(len(j.pending)))
	j.pending = j.pending[:0]
	s.dequeue(j)
}
