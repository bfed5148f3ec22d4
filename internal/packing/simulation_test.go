package packing

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// stream is the arrivals of one queue.
type stream struct {
	perSecond    float64
	tasks        int // of a step
	size         work.Resources
	accelerators []int // of a task of the step, each equally likely; empty for those of size
	run          time.Duration
	latestStart  time.Duration // after the arrival, for a task that meets its objective
	from, until  time.Duration // of the arrivals; until is 0 for all of the load
}

// load is the workers and the arrivals of a simulation.
type load struct {
	workers []work.Resources
	streams []stream
	tickets int     // workers that may run a step, chosen at random and renewed; 0 for all
	spread  float64 // largest difference by which other terms of the score prefer a worker
	length  time.Duration
}

const (
	longRunShare  = 0.03 // of the runs
	longRunFactor = 7
	ticketTTL     = 2 * time.Second
)

// meanRunFactor is the mean factor of runTime before it is divided by this.
const meanRunFactor = 1 + longRunShare*(longRunFactor-1)

// result counts the tasks of a stream, and those that started in time.
type result struct {
	tasks, inTime int
	waited        time.Duration
}

func (r result) share() float64 { return float64(r.inTime) / float64(max(1, r.tasks)) }

func (r result) meanWait() time.Duration { return r.waited / time.Duration(max(1, r.tasks)) }

func (r result) plus(o result) result {
	return result{r.tasks + o.tasks, r.inTime + o.inTime, r.waited + o.waited}
}

// simStep is a step that waits for room.
type simStep struct {
	stream  int
	arrived time.Duration
	startBy time.Duration
	size    work.Resources
	runs    []time.Duration // run times of the waiting tasks
	tickets []int
	renewAt time.Duration
}

// simEvent is an arrival of a stream, the end of a run, or a time at which tickets change.
type simEvent struct {
	at     time.Duration
	stream int // noStream if it is no arrival
	worker int // noWorker if it is no end
	size   work.Resources
}

const (
	noStream = -1
	noWorker = -1
)

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation places the tasks of a load by the tight fit that the core prefers, and by the
// cost with the weight.
type simulation struct {
	load    load
	weight  float64
	now     time.Duration
	free    []work.Resources
	events  eventQueue
	waiting []*simStep
	demand  *Demand
	arrival []*rand.Rand // one for each stream, so that the load doesn't depend on the placement
	other   *rand.Rand   // tickets and the other terms of the score
	results []result
}

// simulate runs a load and returns the results by stream.
func simulate(l load, weight float64, seed uint64) []result {
	s := &simulation{
		load: l, weight: weight, free: slices.Clone(l.workers), demand: NewDemand(testHalfLife),
		other: rand.New(rand.NewPCG(seed, 0)), results: make([]result, len(l.streams)),
	}
	s.demand.SetCapacity(capacityOf(l.workers))
	for i, st := range l.streams {
		s.arrival = append(s.arrival, rand.New(rand.NewPCG(seed, uint64(i+1))))
		heap.Push(&s.events, simEvent{at: st.from + s.untilNext(i), stream: i, worker: noWorker})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		if e.stream != noStream {
			s.arrive(e.stream)
		}
		if e.worker != noWorker {
			s.free[e.worker] = s.free[e.worker].Plus(e.size)
		}
		s.placeAll()
	}
	for _, step := range s.waiting {
		s.results[step.stream].tasks += len(step.runs)
	}
	return s.results
}

// capacityOf returns the total and the largest capacity of the workers.
func capacityOf(workers []work.Resources) (total, largest work.Resources) {
	for _, w := range workers {
		total, largest = total.Plus(w), largest.Max(w)
	}
	return total, largest
}

func (s *simulation) untilNext(stream int) time.Duration {
	return time.Duration(s.arrival[stream].ExpFloat64() / s.load.streams[stream].perSecond * float64(time.Second))
}

func (s *simulation) arrive(stream int) {
	st, r := &s.load.streams[stream], s.arrival[stream]
	if s.now > s.load.length || st.until > 0 && s.now > st.until {
		return
	}
	heap.Push(&s.events, simEvent{at: s.now + s.untilNext(stream), stream: stream, worker: noWorker})
	step := &simStep{stream: stream, arrived: s.now, startBy: s.now + st.latestStart, size: st.size}
	if len(st.accelerators) > 0 {
		step.size.Accelerators = st.accelerators[r.IntN(len(st.accelerators))]
	}
	for range st.tasks {
		step.runs = append(step.runs, runTime(st.run, r))
	}
	s.waiting = append(s.waiting, step)
	s.demand.Observe(s.now, Arrival{Shape{Size: step.size}, st.tasks, st.run})
}

// runTime draws a run time that differs from its mean by up to half, and in few runs by far
// more.
func runTime(mean time.Duration, r *rand.Rand) time.Duration {
	factor := (0.5 + r.Float64()) / meanRunFactor
	if r.Float64() < longRunShare {
		factor *= longRunFactor
	}
	return time.Duration(float64(mean) * factor)
}

// order compares steps as the core does: those that can be in time first, then by the latest
// start.
func (s *simulation) order(a, b *simStep) int {
	if lateA, lateB := a.startBy < s.now, b.startBy < s.now; lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.startBy, b.startBy)
}

func (s *simulation) placeAll() {
	slices.SortStableFunc(s.waiting, s.order)
	for _, step := range s.waiting {
		s.renewTickets(step)
		placement := s.demand.Placement(step.size)
		for len(step.runs) > 0 {
			w := s.choose(step, &placement)
			if w == noWorker {
				break
			}
			s.start(step, w)
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(step *simStep) bool { return len(step.runs) == 0 })
}

func (s *simulation) renewTickets(step *simStep) {
	if s.load.tickets == 0 || s.now < step.renewAt {
		return
	}
	step.tickets = s.other.Perm(len(s.free))[:s.load.tickets]
	step.renewAt = s.now + ticketTTL
	heap.Push(&s.events, simEvent{at: step.renewAt, stream: noStream, worker: noWorker})
}

// choose returns the worker with the highest score among those with room.
func (s *simulation) choose(step *simStep, placement *Placement) int {
	best, bestScore := noWorker, math.Inf(-1)
	consider := func(w int) {
		if !s.free[w].Covers(step.size) {
			return
		}
		score := tightFit(s.free[w].Minus(step.size), s.load.workers[w]) + s.load.spread*s.other.Float64()
		if s.weight > 0 {
			score -= s.weight * placement.Cost(s.free[w])
		}
		if score > bestScore {
			best, bestScore = w, score
		}
	}
	if s.load.tickets > 0 {
		for _, w := range step.tickets {
			consider(w)
		}
		return best
	}
	for w := range s.free {
		consider(w)
	}
	return best
}

// tightFit is the part of the core's score that prefers little free room.
func tightFit(left, capacity work.Resources) float64 {
	return -ratio(left.CPUMillis, capacity.CPUMillis) - ratio(left.MemoryMB, capacity.MemoryMB) -
		2*ratio(left.Accelerators, capacity.Accelerators)
}

func (s *simulation) start(step *simStep, w int) {
	last := len(step.runs) - 1
	s.free[w] = s.free[w].Minus(step.size)
	heap.Push(&s.events, simEvent{at: s.now + step.runs[last], stream: noStream, worker: w, size: step.size})
	step.runs = step.runs[:last]
	r := &s.results[step.stream]
	r.tasks++
	r.waited += s.now - step.arrived
	if s.now <= step.startBy {
		r.inTime++
	}
}
