package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// trial places a work that is not submitted on copies of the workers of its pool. The functions
// of a pass decide, so their queue has no advice here: every worker counts as permitted.
type trial struct {
	cell        *Cell // scratch copy whose fleet are the copied workers
	originals   []*worker
	occurrence  *occurrence
	advised     bool // the queue needs advice
	startsLater bool // the first occurrence is not due
	usedBefore  work.Resources
}

// candidate is a worker that could take tasks of a step.
type candidate struct {
	worker *worker
	left   int // number of tasks that it could still take
	score  float64
}

// newTrial returns the trial of a work in the state of the last pass.
func (c *Cell) newTrial(spec *api.WorkSpec, q *work.Queue, beyondRate bool) *trial {
	account := team{name: spec.Team}
	if existing := c.teams[spec.Team]; existing != nil {
		account = *existing
	}
	t := &trial{cell: c.scratchCopy(), advised: q.Advice != nil, usedBefore: account.used}
	for _, w := range c.fleet {
		if w.info.Pool == q.Pool {
			t.originals = append(t.originals, w)
		}
	}
	aw := newActiveWork(spec, q, &account)
	aw.beyondRate = beyondRate
	due := c.now
	if spec.RepeatCount > 0 {
		start := time.UnixMilli(int64(spec.StartAtUnixMs))
		due = c.now - c.wall.Sub(start)
		t.startsLater = start.After(c.wall)
	}
	t.occurrence = t.cell.addOccurrence(aw, 0, due)
	for _, s := range t.occurrence.steps {
		s.orderKey = t.cell.orderKeyOf(s)
	}
	unadvised := *q
	unadvised.Advice = nil
	aw.queue = &unadvised
	t.reset()
	return t
}

// reset removes the placed tasks.
func (t *trial) reset() {
	t.occurrence.steps[0].work.team.used = t.usedBefore
	t.cell.fleet = make([]*worker, len(t.originals))
	for i, original := range t.originals {
		w := *original
		w.runs = slices.Clip(original.runs)
		t.cell.fleet[i] = &w
	}
}

// readySteps returns the steps whose tasks could be placed now, in the order of a pass.
func (t *trial) readySteps() []*step {
	var ready []*step
	for _, s := range t.occurrence.steps {
		if !t.startsLater && s.pendingDependencies == 0 {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, compareSteps)
	return ready
}

// keepReservationsFor keeps the reservations that a pass would see when it comes to the step:
// those ahead of the order, and those of steps that come first. Their spare room is less by the
// tasks placed in the trial.
func (t *trial) keepReservationsFor(s *step) {
	for i, w := range t.cell.fleet {
		original := t.originals[i]
		w.reservations = nil
		for _, res := range original.reservations {
			if !t.reservedAheadOfOrder(&res, original) && compareSteps(res.step, s) >= 0 {
				continue
			}
			res.spare = res.spare.Minus(w.used.Minus(original.used))
			w.reservations = append(w.reservations, res)
		}
	}
}

// reservedAheadOfOrder reports whether a pass makes a reservation before it places any task.
func (t *trial) reservedAheadOfOrder(res *reservation, w *worker) bool {
	if res.step.roomReservedAt == t.cell.lastPassAt {
		return true
	}
	return slices.ContainsFunc(t.cell.evacuations.moves, func(m domainMove) bool { return m.task.step == res.step && m.target == w })
}

// exclusionOf returns the first reason why no task of the step would be placed on a worker. A
// reservation excludes it only if a task would delay the reserved step.
func (t *trial) exclusionOf(s *step, w *worker) exclusion {
	e := t.cell.exclusionOf(s, w)
	if e != notExcluded && e != excludedReserved {
		return e
	}
	if !t.cell.hasRoomFor(s, w) {
		return excludedReserved
	}
	return notExcluded
}

// fits returns how many tasks of a step a worker could take that could take one. As in a pass,
// the members of a gang are counted by the free resources alone.
func (t *trial) fits(s *step, w *worker) int {
	n := t.cell.tasksThatFit(s, w)
	if s.spec.Gang {
		return n
	}
	end := t.cell.now + t.cell.taskTime(s)
	for i := range w.reservations {
		res := &w.reservations[i]
		if s.spec.LongRunning || end > res.availableAt {
			n = min(n, s.tasksWithin(res.spare))
		}
	}
	return n
}

// Reasons why not all tasks of a step would be placed.
const (
	shortOfRoom      = "room"
	shortOfGangRoom  = "room for the whole gang"
	shortOfLimit     = "the limit of its team"
	shortOfRecording = "room in the record of the work"
)

// place places the tasks of a step as a pass would do without preemption. It returns their
// number, and what the others wait for.
func (t *trial) place(s *step, candidates []candidate) (int, string) {
	if s.spec.Gang {
		return t.placeGang(s, candidates)
	}
	for i := range s.tasks {
		if shortage := t.shortage(s, 1); shortage != "" {
			return i, shortage
		}
		best := bestCandidate(candidates)
		if best == nil {
			return i, shortOfRoom
		}
		t.add(&s.tasks[i], best.worker)
		best.left--
		best.score = t.cell.score(s, best.worker)
	}
	return len(s.tasks), ""
}

// placeGang places all members of a gang, or none.
func (t *trial) placeGang(s *step, candidates []candidate) (int, string) {
	if shortage := t.shortage(s, len(s.tasks)); shortage != "" {
		return 0, shortage
	}
	if len(candidates) == 0 {
		return 0, shortOfGangRoom
	}
	placements := t.cell.memberPlacements(s)
	if len(placements) < len(s.tasks) {
		return 0, shortOfGangRoom
	}
	for i := range s.tasks {
		t.add(&s.tasks[i], placements[i].worker)
	}
	return len(s.tasks), ""
}

// shortage returns what the next placement of that many tasks of a step lacks beside room on
// the workers, empty for nothing.
func (t *trial) shortage(s *step, tasks int) string {
	switch {
	case !t.cell.recordHasRoom(s, tasks):
		return shortOfRecording
	case !t.cell.withinTeamLimit(s):
		return shortOfLimit
	}
	return ""
}

// bestCandidate returns the first candidate with the highest score that could take one more
// task, nil if there is none.
func bestCandidate(candidates []candidate) *candidate {
	var best *candidate
	for i := range candidates {
		if c := &candidates[i]; c.left > 0 && (best == nil || c.score > best.score) {
			best = c
		}
	}
	return best
}

// add takes up the room of a task.
func (t *trial) add(tk *task, w *worker) {
	s := tk.step
	r := &run{task: tk, worker: w, size: s.sizeOnWorker()}
	w.runs = append(w.runs, r)
	w.used = w.used.Plus(r.size)
	s.work.team.used = s.work.team.used.Plus(s.size)
	s.work.recordBytes += taskEntryBytes + len(w.info.ID)
	s.occurrence.begin(s.work)
}
