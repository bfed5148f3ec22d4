package runtimes

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulated load: steps of three queues and four teams on a few workers. A step is in time
// if it is done within a factor of its expected time plus a constant, as the objectives of
// queues are. Predictions decide the order of steps, by latest start, and which tasks may
// run ahead of a wide task that waits for room, by predicted ends.
const (
	simTime       = 150 * time.Second
	simWarmup     = 20 * time.Second // steps that are due earlier don't count
	simWorkers    = 8
	simCores      = 32
	simReserved   = 4 // waiting steps that get reservations
	simSpread     = 0.4
	simTailFactor = 7 // of 3 in 100 runs
	simCache      = 250 * time.Millisecond
)

// simQueue is a queue of the simulated load.
type simQueue struct {
	name      string
	tasks     int
	cores     int
	typical   time.Duration
	perSecond float64
	factor    float64
	constant  time.Duration
}

var simQueues = []simQueue{
	{"check", 10, 4, 480 * time.Millisecond, 2.2, 1.5, 250 * time.Millisecond},
	{"valuation", 28, 4, 3 * second, 0.22, 4, 3 * second},
	{"stress", 3, 26, 4 * second, 0.15, 2.2, second},
}

// simTeam is a team: its programs take longer or shorter than those of others on the
// same queue, and its estimates have an error of their own.
type simTeam struct {
	name             string
	program, errorBy float64
}

// simStep is a step, with its predictions.
type simStep struct {
	queue             *simQueue
	key               Key
	due, deadline     time.Duration
	estimate          time.Duration
	times             []time.Duration // of the tasks
	waiting, running  int
	longest           time.Duration
	path              time.Duration // predicted time of the step
	minPath           time.Duration
	predictedAt       time.Duration
	rank              int
	startBy           time.Duration
	task              Prediction
	taskTime          time.Duration
	predictedDeadline time.Duration
}

// simRun is a run of a task.
type simRun struct {
	step       *simStep
	start, end time.Duration
}

// simWorker is a worker, with the reservation of its room.
type simWorker struct {
	free        int
	runs        []simRun
	reservedFor *simStep
	reservedAt  time.Duration // when the reserved room is expected
	spare       int           // cores that are free beside it
}

// simArrivals draws the steps of a load. A burst doubles the load of a queue for 4 s.
func simArrivals(seed uint64, teams []simTeam) []*simStep {
	r := rand.New(rand.NewPCG(seed, 11))
	var out []*simStep
	for i := range simQueues {
		q := &simQueues[i]
		for now := time.Duration(0); now < simTime; {
			rate := q.perSecond
			if now%(40*second) < 4*second {
				rate *= 2
			}
			now += time.Duration(r.ExpFloat64() / rate * float64(second))
			team := teams[r.IntN(len(teams))]
			typical := spreadRun(r, time.Duration(team.program*float64(q.typical)), simSpread)
			s := &simStep{queue: q, key: Key{q.name, "", team.name}, due: now, waiting: q.tasks, predictedAt: -second}
			s.estimate = max(MinModeled, time.Duration((0.5+r.Float64())*team.errorBy*float64(typical)))
			s.deadline = now + q.constant + time.Duration(q.factor*math.Exp(longestOffset(q.tasks))*float64(typical))
			for range q.tasks {
				t := spreadRun(r, typical, simSpread)
				if r.IntN(100) < 3 {
					t *= simTailFactor
				}
				s.times = append(s.times, t)
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *simStep) int { return cmp.Compare(a.due, b.due) })
	return out
}

// simulation serves a load with one source of run times.
type simulation struct {
	predictor predictor
	now       time.Duration
	workers   []simWorker
	ready     []*simStep
	inTime    int
	counted   int
	logErrors []float64 // of the predicted run times
}

// simulate returns the share of the steps that were done in time, and the mean error of the
// predicted run times of tasks, as a logarithm.
func simulate(arrivals []*simStep, p predictor) (inTime, logError float64) {
	sim := simulation{predictor: p, workers: make([]simWorker, simWorkers)}
	for i := range sim.workers {
		sim.workers[i].free = simCores
	}
	for next := 0; next < len(arrivals) || len(sim.ready) > 0 || sim.running(); {
		sim.now = sim.nextEvent(arrivals, next)
		for ; next < len(arrivals) && arrivals[next].due <= sim.now; next++ {
			s := *arrivals[next]
			sim.ready = append(sim.ready, &s)
		}
		sim.endRuns()
		sim.place()
	}
	sum := 0.0
	for _, e := range sim.logErrors {
		sum += math.Abs(e)
	}
	return float64(sim.inTime) / float64(sim.counted), sum / float64(len(sim.logErrors))
}

func (sim *simulation) running() bool {
	return slices.ContainsFunc(sim.workers, func(w simWorker) bool { return len(w.runs) > 0 })
}

func (sim *simulation) nextEvent(arrivals []*simStep, next int) time.Duration {
	at := time.Duration(math.MaxInt64)
	if next < len(arrivals) {
		at = arrivals[next].due
	}
	for i := range sim.workers {
		for _, r := range sim.workers[i].runs {
			at = min(at, r.end)
		}
	}
	return at
}

func (sim *simulation) endRuns() {
	for i := range sim.workers {
		w := &sim.workers[i]
		w.runs = slices.DeleteFunc(w.runs, func(r simRun) bool {
			if r.end > sim.now {
				return false
			}
			w.free += r.step.queue.cores
			sim.endRun(&r)
			return true
		})
	}
}

func (sim *simulation) endRun(r *simRun) {
	s, actual := r.step, r.end-r.start
	sim.predictor.predict(sim.now, s)
	if s.due >= simWarmup {
		sim.logErrors = append(sim.logErrors, math.Log(float64(actual)/float64(s.taskTime)))
	}
	sim.predictor.addRun(sim.now, s, actual)
	s.longest = max(s.longest, actual)
	s.running--
	if s.running > 0 || s.waiting > 0 {
		return
	}
	sim.predictor.addStep(sim.now, s)
	if s.due >= simWarmup {
		sim.counted++
		if sim.now <= s.deadline {
			sim.inTime++
		}
	}
}

// order sorts the ready steps as the core does: those that can be in time first, then by
// latest start.
func (sim *simulation) order() {
	sim.ready = slices.DeleteFunc(sim.ready, func(s *simStep) bool { return s.waiting == 0 })
	for _, s := range sim.ready {
		if sim.now-s.predictedAt > simCache {
			sim.predictor.predict(sim.now, s)
			s.predictedAt = sim.now
			if s.predictedDeadline == 0 {
				s.predictedDeadline = s.due + s.queue.constant + time.Duration(s.queue.factor*float64(s.path))
			}
		}
		objective := s.predictedDeadline - s.due
		s.rank, s.startBy = 0, s.predictedDeadline-s.path
		if sim.now+s.minPath > s.predictedDeadline {
			s.rank, s.startBy = 1, s.due+3*objective-s.path
		}
		if sim.now+s.minPath > s.due+3*objective {
			s.rank = 2
		}
	}
	slices.SortStableFunc(sim.ready, func(a, b *simStep) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.startBy, b.startBy))
	})
}

func (sim *simulation) place() {
	sim.order()
	for i := range sim.workers {
		sim.workers[i].reservedFor = nil
	}
	reserved := 0
	for _, s := range sim.ready {
		for s.waiting > 0 {
			w := sim.workerFor(s)
			if w == nil {
				break
			}
			s.waiting--
			s.running++
			w.free -= s.queue.cores
			if w.reservedFor != nil {
				w.spare -= s.queue.cores
			}
			w.runs = append(w.runs, simRun{s, sim.now, sim.now + s.times[s.waiting]})
		}
		if s.waiting > 0 && reserved < simReserved {
			reserved++
			sim.reserve(s)
		}
	}
}

// workerFor returns the worker with the tightest fit on which a task of a step delays no
// reservation.
func (sim *simulation) workerFor(s *simStep) *simWorker {
	var best *simWorker
	for i := range sim.workers {
		w := &sim.workers[i]
		delays := w.reservedFor != nil && w.spare < s.queue.cores && sim.now+s.taskTime > w.reservedAt
		if w.free >= s.queue.cores && !delays && (best == nil || w.free < best.free) {
			best = w
		}
	}
	return best
}

// reserve reserves room for the waiting tasks of a step, where it is expected first.
func (sim *simulation) reserve(s *simStep) {
	for range s.waiting {
		var best *simWorker
		bestAt, bestSpare := time.Duration(0), 0
		for i := range sim.workers {
			w := &sim.workers[i]
			if w.reservedFor != nil {
				continue
			}
			if at, spare := sim.roomAt(w, s.queue.cores); best == nil || at < bestAt {
				best, bestAt, bestSpare = w, at, spare
			}
		}
		if best == nil {
			return
		}
		best.reservedFor, best.reservedAt, best.spare = s, bestAt, bestSpare
	}
}

// roomAt returns when a worker is expected to have the cores free, and how many more it
// has then.
func (sim *simulation) roomAt(w *simWorker, cores int) (at time.Duration, spare int) {
	type end struct {
		at    time.Duration
		cores int
	}
	ends := make([]end, 0, len(w.runs))
	for i := range w.runs {
		ends = append(ends, end{sim.now + sim.predictor.remaining(sim.now, &w.runs[i]), w.runs[i].step.queue.cores})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	free := w.free
	at = sim.now
	for _, e := range ends {
		if free >= cores {
			break
		}
		free += e.cores
		at = e.at
	}
	return at, free - cores
}
