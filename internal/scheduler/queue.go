package scheduler

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// level separates urgent work from the rest.
type level int

const (
	levelUrgent level = iota
	levelNormal       // normal and background work, the latter with a later key
	levels
)

// shape is what decides whether a job fits. Jobs of one team and shape form a
// group, so that after one has not fitted the others need not be tried.
type shape struct {
	size  vec
	class api.Class
	tasks int // of a gang, else 0
	run   int // estimated run time in powers of two, for the backfill of reservations
}

// group is the waiting jobs of one team with one shape, in order of their key.
type group struct {
	shape
	team      *team
	level     level
	jobs      jobHeap
	at        int // position in the queue of the team, -1 while parked
	parkedAt  int // position among the parked groups, -1 if not parked
	reason    parkReason
	triedPass int64     // last pass in which it was tried while parked
	preemptAt time.Time // no search for tasks to preempt before this time
}

// teamQueue is the groups of a team at one level, by the key of their first job.
type teamQueue struct {
	heap   groupHeap
	groups map[shape]*group
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, k int) bool { return before(h[i], h[k]) }
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].groupPos, h[k].groupPos = i, k
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.groupPos = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

// before orders jobs by key, then by submission.
func before(a, b *job) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

type groupHeap []*group

func (h groupHeap) Len() int           { return len(h) }
func (h groupHeap) Less(i, k int) bool { return before(h[i].jobs[0], h[k].jobs[0]) }
func (h groupHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].at, h[k].at = i, k
}
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.at = len(*h)
	*h = append(*h, g)
}
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	g.at = -1
	return g
}

// enqueue puts a job with pending tasks into the queue of its team.
func (c *Cell) enqueue(j *job) {
	if j.group != nil {
		return
	}
	s := shape{size: j.size, class: j.Class, run: bits.Len64(uint64(c.runTime(j, longQuantile) / time.Second))}
	if j.gang() {
		s.tasks = j.open
	}
	q := &j.team.queues[j.level]
	if q.groups == nil {
		q.groups = map[shape]*group{}
	}
	g, ok := q.groups[s]
	if !ok {
		g = &group{shape: s, team: j.team, level: j.level, at: -1, parkedAt: -1}
		q.groups[s] = g
	}
	j.group = g
	heap.Push(&g.jobs, j)
	c.regroup(g)
}

// dequeue takes a job out of the queue of its team.
func (c *Cell) dequeue(j *job) {
	g := j.group
	if g == nil {
		return
	}
	c.dropClaims(j) // wakes groups, which must not be empty then
	heap.Remove(&g.jobs, j.groupPos)
	j.group = nil
	c.regroup(g)
}

// regroup restores the position of a group after a change of its jobs.
func (c *Cell) regroup(g *group) {
	q := &g.team.queues[g.level]
	switch {
	case len(g.jobs) == 0:
		if g.at >= 0 {
			// Removal compares with the first job, which is gone: move by index only.
			removeGroup(&q.heap, g)
		}
		if g.parkedAt >= 0 {
			c.unpark(g)
		}
		delete(q.groups, g.shape)
	case g.parkedAt >= 0:
	case g.at >= 0:
		heap.Fix(&q.heap, g.at)
	default:
		heap.Push(&q.heap, g)
	}
}

// removeGroup removes an empty group from the heap without comparing it.
func removeGroup(h *groupHeap, g *group) {
	at, last := g.at, len(*h)-1
	h.Swap(at, last)
	h.Pop()
	if at < last {
		heap.Fix(h, at)
	}
}

// makePending lets a task be placed.
func (c *Cell) makePending(t *task) {
	j := t.job
	t.state = taskPending
	j.pending = append(j.pending, t.index)
	j.team.wanted = j.team.wanted.add(j.size)
	c.enqueue(j)
}

// takePending removes the next pending task of the job.
func (c *Cell) takePending(j *job) *task {
	last := len(j.pending) - 1
	t := &j.tasks[j.pending[last]]
	j.pending = j.pending[:last]
	j.team.wanted = j.team.wanted.sub(j.size)
	if last == 0 {
		c.dequeue(j)
	}
	return t
}

// dropPending removes one given pending task of the job.
func (c *Cell) dropPending(t *task) {
	j := t.job
	for i, index := range j.pending {
		if index != t.index {
			continue
		}
		j.pending = append(j.pending[:i], j.pending[i+1:]...)
		j.team.wanted = j.team.wanted.sub(j.size)
		break
	}
	if len(j.pending) == 0 {
		c.dequeue(j)
	}
}

// dropAllPending removes all pending tasks of the job and gives them the state.
func (c *Cell) dropAllPending(j *job, state taskState) {
	for _, index := range j.pending {
		j.tasks[index].state = state
	}
	j.team.wanted = j.team.wanted.sub(j.size.times(len(j.pending)))
	j.pending = j.pending[:0]
	c.dequeue(j)
}
