package runtimes

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The played load: steps of three queues and four teams on a few workers. A step is in time
// if it is done within a factor of its expected time plus a constant, as the objectives of
// queues are. Predictions decide the order of steps, by latest start, and which tasks may
// run ahead of a wide task that waits for room, by predicted ends.
const (
	playedTime       = 150 * time.Second
	playedWarmup     = 20 * time.Second // steps that are due earlier don't count
	playedWorkers    = 8
	playedCores      = 32
	playedReserved   = 4 // waiting steps that get reservations
	playedSpread     = 0.4
	playedTailFactor = 7 // of 3 in 100 runs
	playedCache      = 250 * time.Millisecond
)

// playedQueue is a queue of the played load.
type playedQueue struct {
	name      string
	tasks     int
	cores     int
	typical   time.Duration
	perSecond float64
	factor    float64
	constant  time.Duration
}

var playedQueues = []playedQueue{
	{"check", 10, 4, 480 * time.Millisecond, 2.2, 1.5, 250 * time.Millisecond},
	{"valuation", 28, 4, 3 * second, 0.22, 4, 3 * second},
	{"stress", 3, 26, 4 * second, 0.15, 2.2, second},
}

// playedTeam is a team: its programs take longer or shorter than those of others on the
// same queue, and its estimates have an error of their own.
type playedTeam struct {
	name             string
	program, errorBy float64
}

// playedStep is a step, with its predictions.
type playedStep struct {
	queue             *playedQueue
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

// playedRun is a run of a task.
type playedRun struct {
	step       *playedStep
	start, end time.Duration
}

// playedWorker is a worker, with the reservation of its room.
type playedWorker struct {
	free        int
	runs        []playedRun
	reservedFor *playedStep
	reservedAt  time.Duration // when the reserved room is expected
	spare       int           // cores that are free beside it
}

// playedArrivals draws the steps of a load. A burst doubles the load of a queue for 4 s.
func playedArrivals(seed uint64, teams []playedTeam) []*playedStep {
	r := rand.New(rand.NewPCG(seed, 11))
	var out []*playedStep
	for i := range playedQueues {
		q := &playedQueues[i]
		for now := time.Duration(0); now < playedTime; {
			rate := q.perSecond
			if now%(40*second) < 4*second {
				rate *= 2
			}
			now += time.Duration(r.ExpFloat64() / rate * float64(second))
			team := teams[r.IntN(len(teams))]
			typical := spreadRun(r, time.Duration(team.program*float64(q.typical)), playedSpread)
			s := &playedStep{queue: q, key: Key{q.name, "", team.name}, due: now, waiting: q.tasks, predictedAt: -second}
			s.estimate = max(MinModeled, time.Duration((0.5+r.Float64())*team.errorBy*float64(typical)))
			s.deadline = now + q.constant + time.Duration(q.factor*math.Exp(longestOffset(q.tasks))*float64(typical))
			for range q.tasks {
				t := spreadRun(r, typical, playedSpread)
				if r.IntN(100) < 3 {
					t *= playedTailFactor
				}
				s.times = append(s.times, t)
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *playedStep) int { return cmp.Compare(a.due, b.due) })
	return out
}

// player plays a load with one source of run times.
type player struct {
	predictor predictor
	now       time.Duration
	workers   []playedWorker
	ready     []*playedStep
	inTime    int
	counted   int
	logErrors []float64 // of the predicted run times
}

// play returns the share of the steps that were done in time, and the mean error of the
// predicted run times of tasks, as a logarithm.
func play(arrivals []*playedStep, p predictor) (inTime, logError float64) {
	pl := player{predictor: p, workers: make([]playedWorker, playedWorkers)}
	for i := range pl.workers {
		pl.workers[i].free = playedCores
	}
	for next := 0; next < len(arrivals) || len(pl.ready) > 0 || pl.running(); {
		pl.now = pl.nextEvent(arrivals, next)
		for ; next < len(arrivals) && arrivals[next].due <= pl.now; next++ {
			s := *arrivals[next]
			pl.ready = append(pl.ready, &s)
		}
		pl.endRuns()
		pl.place()
	}
	sum := 0.0
	for _, e := range pl.logErrors {
		sum += math.Abs(e)
	}
	return float64(pl.inTime) / float64(pl.counted), sum / float64(len(pl.logErrors))
}

func (pl *player) running() bool {
	return slices.ContainsFunc(pl.workers, func(w playedWorker) bool { return len(w.runs) > 0 })
}

func (pl *player) nextEvent(arrivals []*playedStep, next int) time.Duration {
	at := time.Duration(math.MaxInt64)
	if next < len(arrivals) {
		at = arrivals[next].due
	}
	for i := range pl.workers {
		for _, r := range pl.workers[i].runs {
			at = min(at, r.end)
		}
	}
	return at
}

func (pl *player) endRuns() {
	for i := range pl.workers {
		w := &pl.workers[i]
		w.runs = slices.DeleteFunc(w.runs, func(r playedRun) bool {
			if r.end > pl.now {
				return false
			}
			w.free += r.step.queue.cores
			pl.endRun(&r)
			return true
		})
	}
}

func (pl *player) endRun(r *playedRun) {
	s, actual := r.step, r.end-r.start
	pl.predictor.predict(pl.now, s)
	if s.due >= playedWarmup {
		pl.logErrors = append(pl.logErrors, math.Log(float64(actual)/float64(s.taskTime)))
	}
	pl.predictor.addRun(pl.now, s, actual)
	s.longest = max(s.longest, actual)
	s.running--
	if s.running > 0 || s.waiting > 0 {
		return
	}
	pl.predictor.addStep(pl.now, s)
	if s.due >= playedWarmup {
		pl.counted++
		if pl.now <= s.deadline {
			pl.inTime++
		}
	}
}

// order sorts the ready steps as the core does: those that can be in time first, then by
// latest start.
func (pl *player) order() {
	pl.ready = slices.DeleteFunc(pl.ready, func(s *playedStep) bool { return s.waiting == 0 })
	for _, s := range pl.ready {
		if pl.now-s.predictedAt > playedCache {
			pl.predictor.predict(pl.now, s)
			s.predictedAt = pl.now
			if s.predictedDeadline == 0 {
				s.predictedDeadline = s.due + s.queue.constant + time.Duration(s.queue.factor*float64(s.path))
			}
		}
		objective := s.predictedDeadline - s.due
		s.rank, s.startBy = 0, s.predictedDeadline-s.path
		if pl.now+s.minPath > s.predictedDeadline {
			s.rank, s.startBy = 1, s.due+3*objective-s.path
		}
		if pl.now+s.minPath > s.due+3*objective {
			s.rank = 2
		}
	}
	slices.SortStableFunc(pl.ready, func(a, b *playedStep) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.startBy, b.startBy))
	})
}

func (pl *player) place() {
	pl.order()
	for i := range pl.workers {
		pl.workers[i].reservedFor = nil
	}
	reserved := 0
	for _, s := range pl.ready {
		for s.waiting > 0 {
			w := pl.workerFor(s)
			if w == nil {
				break
			}
			s.waiting--
			s.running++
			w.free -= s.queue.cores
			if w.reservedFor != nil {
				w.spare -= s.queue.cores
			}
			w.runs = append(w.runs, playedRun{s, pl.now, pl.now + s.times[s.waiting]})
		}
		if s.waiting > 0 && reserved < playedReserved {
			reserved++
			pl.reserve(s)
		}
	}
}

// workerFor returns the worker with the tightest fit on which a task of a step delays no
// reservation.
func (pl *player) workerFor(s *playedStep) *playedWorker {
	var best *playedWorker
	for i := range pl.workers {
		w := &pl.workers[i]
		delays := w.reservedFor != nil && w.spare < s.queue.cores && pl.now+s.taskTime > w.reservedAt
		if w.free >= s.queue.cores && !delays && (best == nil || w.free < best.free) {
			best = w
		}
	}
	return best
}

// reserve reserves room for the waiting tasks of a step, where it is expected first.
func (pl *player) reserve(s *playedStep) {
	for range s.waiting {
		var best *playedWorker
		bestAt, bestSpare := time.Duration(0), 0
		for i := range pl.workers {
			w := &pl.workers[i]
			if w.reservedFor != nil {
				continue
			}
			if at, spare := pl.roomAt(w, s.queue.cores); best == nil || at < bestAt {
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
func (pl *player) roomAt(w *playedWorker, cores int) (at time.Duration, spare int) {
	type end struct {
		at    time.Duration
		cores int
	}
	ends := make([]end, 0, len(w.runs))
	for i := range w.runs {
		ends = append(ends, end{pl.now + pl.predictor.remaining(pl.now, &w.runs[i]), w.runs[i].step.queue.cores})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	free := w.free
	at = pl.now
	for _, e := range ends {
		if free >= cores {
			break
		}
		free += e.cores
		at = e.at
	}
	return at, free - cores
}
