package cell

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// finishedWork is the state of a work that has ended and whose record is written.
type finishedWork struct {
	state api.WorkState
	team  string
	queue string
	until time.Time // end of the retention of its record
}

// pendingAnswer is an answer to a caller, sent once the record of the work is written.
type pendingAnswer struct {
	work       *activeWork
	submission bool // the caller has submitted the work
	done       func(err error)
}

// Submit accepts or refuses a work. done is called once the work is stored, or with the
// error why it is refused; known is true if the work had been accepted before.
func (c *Cell) Submit(spec *api.WorkSpec, done func(known bool, err error)) {
	if f, ok := c.finished[spec.Id]; ok {
		if f.team != spec.Team || f.queue != spec.Queue {
			done(false, errkind.New(errkind.RequestIDConflict, "id", "work %s already exists on another queue or for another team", spec.Id))
			return
		}
		done(true, nil)
		return
	}
	if aw, ok := c.works[spec.Id]; ok {
		c.resubmit(aw, spec, done)
		return
	}
	q, t, err := c.queueAndTeam(spec)
	if err != nil {
		done(false, err)
		return
	}
	aw := newActiveWork(spec, q, t)
	if err := c.checkRecordable(aw); err != nil {
		done(false, err)
		return
	}
	if err := c.checkAdvice(aw); err != nil {
		done(false, err)
		return
	}
	beyondRate := !t.bucket.takeToken(c.now, t.submitRate)
	if beyondRate && c.saturated(q.Pool) {
		c.stats.Refused++
		c.logRefused(spec, q.Pool, t)
		done(false, errBeyondRate(spec.Team))
		return
	}
	c.adviceAccepted(aw)
	aw.beyondRate = beyondRate
	aw.acceptedAt = c.now
	aw.acceptedMs = c.wall.UnixMilli()
	c.works[spec.Id] = aw
	c.stats.Accepted++
	c.logAccepted(aw)
	c.markDirty(aw)
	c.answers = append(c.answers, pendingAnswer{aw, true, func(err error) { done(false, err) }})
	c.releaseOccurrences(aw)
}

// errBeyondRate returns the error for a work beyond the rate of its team while the pool is full.
func errBeyondRate(team string) error {
	return errkind.New(errkind.Overloaded, "", "team %q exceeds its submission rate while the pool is full", team)
}

// resubmit handles the repeated submission of an active work.
func (c *Cell) resubmit(aw *activeWork, spec *api.WorkSpec, done func(known bool, err error)) {
	if aw.spec.Team != spec.Team || aw.spec.Queue != spec.Queue {
		done(false, errkind.New(errkind.RequestIDConflict, "id", "work %s already exists on another queue or for another team", spec.Id))
		return
	}
	if aw.stored {
		done(true, nil)
		return
	}
	c.answers = append(c.answers, pendingAnswer{aw, true, func(err error) { done(true, err) }})
}

// queueAndTeam returns the queue and the team of a new work.
func (c *Cell) queueAndTeam(spec *api.WorkSpec) (*work.Queue, *team, error) {
	q := c.config.Queues[spec.Queue]
	if q == nil {
		return nil, nil, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", spec.Queue)
	}
	return q, c.team(spec.Team), nil
}

// Cancel cancels a work. done is called once the cancellation is stored.
func (c *Cell) Cancel(ref *api.WorkRef, done func(err error)) {
	if f, ok := c.finished[ref.Id]; ok {
		done(c.checkAccess(ref, f.queue, f.team))
		return
	}
	aw := c.works[ref.Id]
	if aw == nil {
		done(errkind.New(errkind.NotFound, "id", "work %q does not exist", ref.Id))
		return
	}
	if err := c.checkAccess(ref, aw.spec.Queue, aw.spec.Team); err != nil {
		done(err)
		return
	}
	c.endWork(aw, api.WorkStateCanceled)
	c.answers = append(c.answers, pendingAnswer{aw, false, done})
	c.markDirty(aw)
}

// checkAccess checks that a work belongs to the queue and team of the caller.
func (c *Cell) checkAccess(ref *api.WorkRef, queue, team string) error {
	if ref.Queue != queue {
		return errkind.New(errkind.NotFound, "id", "work %q does not exist on queue %q", ref.Id, ref.Queue)
	}
	if ref.Team != team {
		return errkind.New(errkind.PermissionDenied, "id", "work %q belongs to another team", ref.Id)
	}
	return nil
}

// State returns the stored state of a work; an active work counts as running once a task
// has started. After a takeover it does so once a task has been placed, because callers
// may have seen it running.
func (c *Cell) State(ref *api.WorkRef) (api.WorkState, error) {
	if f, ok := c.finished[ref.Id]; ok {
		return f.state, c.checkAccess(ref, f.queue, f.team)
	}
	aw := c.works[ref.Id]
	if aw == nil || !aw.stored {
		return "", errkind.New(errkind.NotFound, "id", "work %q does not exist", ref.Id)
	}
	if err := c.checkAccess(ref, aw.spec.Queue, aw.spec.Team); err != nil {
		return "", err
	}
	if isTerminal(aw.storedState) {
		return aw.storedState, nil
	}
	if aw.started || aw.placedBefore {
		return api.WorkStateRunning, nil
	}
	return api.WorkStateQueued, nil
}

// Backlog counts for each queue the stored works of which no task has started.
// Works with scheduled occurrences do not count.
func (c *Cell) Backlog() []api.QueueBacklog {
	counts := map[string]int{}
	for _, aw := range c.works {
		if aw.stored && !aw.started && !isTerminal(aw.state) && aw.spec.RepeatCount == 0 {
			counts[aw.spec.Queue]++
		}
	}
	out := make([]api.QueueBacklog, 0, len(counts))
	for q, n := range counts {
		out = append(out, api.QueueBacklog{Queue: q, Waiting: n})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Queue < out[k].Queue })
	return out
}

// Restore adds an active work from its record when an owner takes over. storedParts is the
// number of its progress rows.
func (c *Cell) Restore(row *api.WorkRow, progress *api.ProgressRow, storedParts int) {
	spec := &row.Work
	q := c.config.Queues[spec.Queue]
	if q == nil {
		q = queueFromTerms(spec.Queue, &row.Terms) // the queue has been removed from the configuration
	}
	aw := newActiveWork(spec, q, c.team(spec.Team))
	age := c.wall.Sub(time.UnixMilli(int64(row.AcceptedUnixMs)))
	aw.acceptedAt = c.now - max(0, age)
	aw.acceptedMs = int64(row.AcceptedUnixMs)
	aw.stored, aw.storedParts = true, storedParts
	c.works[spec.Id] = aw
	c.restoreProgress(aw, progress)
}

// restoreProgress restores the progress of a work from its record. Recorded runs count
// as being on their workers until these report otherwise.
func (c *Cell) restoreProgress(aw *activeWork, progress *api.ProgressRow) {
	aw.started = progress.Started
	aw.recordedOccurrences = recordedOccurrences(progress)
	for _, n := range progress.DoneOccurrences {
		c.restoreDoneOccurrence(aw, n)
	}
	c.releaseOccurrences(aw)
	for i := range progress.Done {
		restoreDone(aw, &progress.Done[i])
	}
	for i := range progress.Tasks {
		c.restoreTask(aw, &progress.Tasks[i])
	}
	for i := range progress.FailedGangs {
		restoreGangFailure(aw, &progress.FailedGangs[i])
	}
	for i := range progress.InactiveTasks {
		c.restoreInactive(aw, &progress.InactiveTasks[i])
	}
	c.recomputeRestored(aw)
	if isTerminal(progress.State) {
		aw.state, aw.storedState = progress.State, progress.State
		aw.finishedAt = time.UnixMilli(int64(progress.FinishedUnixMs))
		c.stopRuns(aw, "the work has ended")
		c.markDirty(aw)
	}
}

// recordedOccurrences returns one more than the highest number of an occurrence of which the
// record has a task.
func recordedOccurrences(progress *api.ProgressRow) int {
	n := 0
	for i := range progress.Tasks {
		n = max(n, progress.Tasks[i].Occurrence+1)
	}
	for i := range progress.Done {
		n = max(n, progress.Done[i].Occurrence+1)
	}
	return n
}

func (c *Cell) restoreDoneOccurrence(aw *activeWork, number int) {
	if aw.doneOccurrences == nil {
		aw.doneOccurrences = map[int]bool{}
	}
	if !aw.doneOccurrences[number] {
		aw.doneOccurrences[number] = true
		aw.unfinished--
	}
}

// restoreTask restores a task from one of its entries in the record.
func (c *Cell) restoreTask(aw *activeWork, p *api.TaskProgress) {
	t := aw.task(p.Occurrence, p.Step, p.Index)
	if t == nil {
		return
	}
	aw.placedBefore = aw.placedBefore || p.Attempt > 0
	t.attempt = max(t.attempt, p.Attempt)
	t.failures = max(t.failures, p.Failures)
	t.step.failures = max(t.step.failures, p.Failures)
	if p.Checkpoint != "" {
		t.checkpoint = p.Checkpoint
	}
	t.lastActiveAt = c.now // unless the record tells since when it has had no active run
	if p.Phase == api.TaskPhasePlaced {
		w := c.ensureWorker(WorkerRef{ID: p.Worker, IncarnationUnixMs: p.BornUnixMs})
		if p.BornUnixMs == unknownIncarnation || w.info.IncarnationUnixMs != p.BornUnixMs {
			c.assumePriorStrayLease(w)
		}
		r := c.addRun(t, w, p.Attempt)
		r.incarnationUnixMs = p.BornUnixMs
		r.phase = runStarting
		r.restored, r.awaitsReport = true, true
		if aw.queue.Advice == nil {
			c.noteEarlierStarts(w)
		}
		r.redundant = t.phase == taskDone
	}
}

// restoreDone restores the done tasks of a step from their bitmap.
func restoreDone(aw *activeWork, d *api.DoneTasks) {
	o := aw.occurrence(d.Occurrence)
	if o == nil || d.Step >= len(o.steps) {
		return
	}
	o.begin(aw)
	tasks := o.steps[d.Step].tasks
	for i := range tasks {
		if i/8 < len(d.Bits) && d.Bits[i/8]&(1<<(i%8)) != 0 {
			tasks[i].phase = taskDone
			o.steps[d.Step].untimedTasks = true
		}
	}
}

// restoreGangFailure restores the last attempt of a gang that counts as failed.
func restoreGangFailure(aw *activeWork, g *api.GangFailure) {
	o := aw.occurrence(g.Occurrence)
	if o == nil || g.Step >= len(o.steps) {
		return
	}
	o.steps[g.Step].failedAttempt = g.Attempt
}

// recomputeRestored recomputes the counters of the steps and finishes the occurrences
// of which all tasks are done.
func (c *Cell) recomputeRestored(aw *activeWork) {
	for _, o := range append([]*occurrence(nil), aw.occurrences...) {
		c.recomputeOccurrence(o)
		if o.unfinished == 0 {
			c.finishOccurrence(aw, o)
		}
	}
}

func (c *Cell) recomputeOccurrence(o *occurrence) {
	o.unfinished = 0
	for _, s := range o.steps {
		s.unfinished, s.waiting = 0, 0
		for i := range s.tasks {
			switch s.tasks[i].phase {
			case taskWaiting:
				s.waiting++
				s.unfinished++
			case taskPlaced:
				s.unfinished++
			}
		}
		if s.unfinished > 0 {
			o.unfinished++
		}
	}
	for _, s := range o.steps {
		s.pendingDependencies = 0
		for _, a := range s.spec.After {
			if o.steps[a].unfinished > 0 {
				s.pendingDependencies++
			}
		}
		c.makeReady(s)
	}
}

// RestoreFinished adds a finished work from its record when an owner takes over.
func (c *Cell) RestoreFinished(id string, row *api.ProgressRow) {
	c.finishedOrder = append(c.finishedOrder, id)
	c.finished[id] = finishedWork{
		state: row.State, team: row.Team, queue: row.Queue,
		until: c.retainedUntil(time.UnixMilli(int64(row.FinishedUnixMs))),
	}
}

// releaseOccurrences adds the occurrences of a work that are due, or that were due by the time
// of day of an earlier owner.
func (c *Cell) releaseOccurrences(aw *activeWork) {
	if aw.spec.RepeatCount <= 0 {
		if aw.nextOccurrence == 0 {
			aw.nextOccurrence = 1
			c.makeStepsReady(c.addOccurrence(aw, 0, aw.acceptedAt))
		}
		return
	}
	for aw.nextOccurrence < aw.spec.RepeatCount && !isTerminal(aw.state) {
		due := time.UnixMilli(int64(aw.spec.StartAtUnixMs + aw.nextOccurrence*aw.spec.IntervalMs))
		if due.After(c.wall) && aw.nextOccurrence >= aw.recordedOccurrences {
			c.addFutureWork(aw)
			return
		}
		if !aw.doneOccurrences[aw.nextOccurrence] {
			c.makeStepsReady(c.addOccurrence(aw, aw.nextOccurrence, c.now-c.wall.Sub(due)))
		}
		aw.nextOccurrence++
	}
}

func (c *Cell) makeStepsReady(o *occurrence) {
	for _, s := range o.steps {
		c.makeReady(s)
	}
}

// addFutureWork adds a work to those with occurrences that are not due.
func (c *Cell) addFutureWork(aw *activeWork) {
	for _, other := range c.futureWorks {
		if other == aw {
			return
		}
	}
	c.futureWorks = append(c.futureWorks, aw)
}

// releaseDueOccurrences adds the occurrences of all works that have become due.
func (c *Cell) releaseDueOccurrences() {
	waiting := c.futureWorks
	c.futureWorks = nil
	for _, aw := range waiting {
		c.releaseOccurrences(aw)
	}
}

// queueTerms returns the settings of a queue that the record of a work keeps.
func queueTerms(q *work.Queue) api.QueueTerms {
	t := api.QueueTerms{
		Pool: q.Pool, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.LatencyFactor,
		TargetLatencyMs: int(q.TargetLatency.Milliseconds()),
	}
	if a := q.Advice; a != nil {
		t.Advised = true
		t.DecisionUs, t.PerWorkerUs = int(a.CallDuration.Microseconds()), int(a.DurationPerWorker.Microseconds())
		t.TicketMs = int(a.ValidFor.Milliseconds())
	}
	return t
}

// queueFromTerms rebuilds a queue from the terms in the record of a work.
func queueFromTerms(name string, t *api.QueueTerms) *work.Queue {
	q := &work.Queue{
		Name: name, Pool: t.Pool, Priority: t.Priority, MaxAttempts: t.MaxAttempts, LatencyFactor: t.Stretch,
		TargetLatency: time.Duration(t.TargetLatencyMs) * time.Millisecond,
	}
	if t.Advised {
		q.Advice = &work.Advice{
			CallDuration:      time.Duration(t.DecisionUs) * time.Microsecond,
			DurationPerWorker: time.Duration(t.PerWorkerUs) * time.Microsecond,
			ValidFor:          time.Duration(t.TicketMs) * time.Millisecond,
		}
	}
	return q
}
