package cell

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// finishedWork is what is kept of a work that has ended.
type finishedWork struct {
	state api.WorkState
	team  string
	queue string
	until time.Time // when its record may be deleted
}

// answer is an outcome that may be told once the record of a work is written.
type answer struct {
	job        *job
	submission bool // the work is being handed in
	done       func(err error)
}

// Submit takes a work in. done is called once the work is stored, or with the
// reason why it is not taken; known tells that it had been accepted before.
func (c *Cell) Submit(spec *api.WorkSpec, done func(known bool, err error)) {
	if f, ok := c.finished[spec.Id]; ok {
		if f.team != spec.Team || f.queue != spec.Queue {
			done(false, errkind.New(errkind.RequestIDConflict, "id", "work %s exists on another queue or of another team", spec.Id))
			return
		}
		done(true, nil)
		return
	}
	if j, ok := c.jobs[spec.Id]; ok {
		c.submitAgain(j, spec, done)
		return
	}
	q, t, err := c.admit(spec)
	if err != nil {
		done(false, err)
		return
	}
	excess := !t.bucket.take(c.now, t.weight)
	if excess && c.saturated(q.Pool) {
		c.stats.Refused++
		c.logRefused(spec, q.Pool, t)
		done(false, errkind.New(errkind.Overloaded, "", "team %q is beyond its rate while the pool is full", spec.Team))
		return
	}
	j := newJob(spec, q, t)
	j.excess = excess
	j.acceptedAt = c.now
	j.acceptedMs = c.wall.UnixMilli()
	c.jobs[spec.Id] = j
	c.stats.Accepted++
	c.logAccepted(j)
	c.mark(j)
	c.answers = append(c.answers, answer{j, true, func(err error) { done(false, err) }})
	c.releaseOccurrences(j)
}

// submitAgain answers a work that is handed in once more.
func (c *Cell) submitAgain(j *job, spec *api.WorkSpec, done func(known bool, err error)) {
	if j.spec.Team != spec.Team || j.spec.Queue != spec.Queue {
		done(false, errkind.New(errkind.RequestIDConflict, "id", "work %s exists on another queue or of another team", spec.Id))
		return
	}
	if j.stored {
		done(true, nil)
		return
	}
	c.answers = append(c.answers, answer{j, true, func(err error) { done(true, err) }})
}

// admit checks a new work against the configuration and the fleet.
func (c *Cell) admit(spec *api.WorkSpec) (*work.Queue, *team, error) {
	q := c.config.Queues[spec.Queue]
	if q == nil {
		return nil, nil, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", spec.Queue)
	}
	return q, c.team(spec.Team), nil
}

// Cancel cancels a work. done is called once that is stored.
func (c *Cell) Cancel(ref *api.WorkRef, done func(err error)) {
	if f, ok := c.finished[ref.Id]; ok {
		done(c.mayAccess(ref, f.queue, f.team))
		return
	}
	j := c.jobs[ref.Id]
	if j == nil {
		done(errkind.New(errkind.NotFound, "id", "work %q does not exist", ref.Id))
		return
	}
	if err := c.mayAccess(ref, j.spec.Queue, j.spec.Team); err != nil {
		done(err)
		return
	}
	c.endJob(j, api.WorkStateCanceled)
	c.answers = append(c.answers, answer{j, false, done})
	c.mark(j)
}

// mayAccess checks that a work belongs to the caller.
func (c *Cell) mayAccess(ref *api.WorkRef, queue, team string) error {
	if ref.Queue != queue {
		return errkind.New(errkind.NotFound, "id", "work %q does not exist on queue %q", ref.Id, ref.Queue)
	}
	if ref.Team != team {
		return errkind.New(errkind.PermissionDenied, "id", "work %q belongs to another team", ref.Id)
	}
	return nil
}

// State returns the state of a work as it is stored.
func (c *Cell) State(ref *api.WorkRef) (api.WorkState, error) {
	if f, ok := c.finished[ref.Id]; ok {
		return f.state, c.mayAccess(ref, f.queue, f.team)
	}
	j := c.jobs[ref.Id]
	if j == nil || !j.stored {
		return "", errkind.New(errkind.NotFound, "id", "work %q does not exist", ref.Id)
	}
	if err := c.mayAccess(ref, j.spec.Queue, j.spec.Team); err != nil {
		return "", err
	}
	if ended(j.storedState) {
		return j.storedState, nil
	}
	if j.started {
		return api.WorkStateRunning, nil
	}
	return api.WorkStateQueued, nil
}

// Backlog counts the stored works of each queue of which no task has started.
// Works with occurrences at set times do not count.
func (c *Cell) Backlog() []api.QueueBacklog {
	counts := map[string]int{}
	for _, j := range c.jobs {
		if j.stored && !j.started && !ended(j.state) && j.spec.RepeatCount == 0 {
			counts[j.spec.Queue]++
		}
	}
	out := make([]api.QueueBacklog, 0, len(counts))
	for q, n := range counts {
		out = append(out, api.QueueBacklog{Queue: q, Waiting: n})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Queue < out[k].Queue })
	return out
}

// Restore adds a stored work, when an owner begins.
func (c *Cell) Restore(row *api.WorkRow, progress *api.ProgressRow) {
	spec := &row.Work
	q := c.config.Queues[spec.Queue]
	if q == nil {
		q = queueOf(spec.Queue, &row.Terms) // the queue has been removed since
	}
	j := newJob(spec, q, c.team(spec.Team))
	age := c.wall.Sub(time.UnixMilli(int64(row.AcceptedUnixMs)))
	j.acceptedAt = c.now - max(0, age)
	j.acceptedMs = int64(row.AcceptedUnixMs)
	j.stored = true
	c.jobs[spec.Id] = j
	c.restoreProgress(j, progress)
}

// restoreProgress brings a work to the state of its record. Runs that it names
// count as being on their workers until those say otherwise.
func (c *Cell) restoreProgress(j *job, progress *api.ProgressRow) {
	j.started = progress.Started
	for _, n := range progress.DoneOccurrences {
		c.restoreDoneOccurrence(j, n)
	}
	c.releaseOccurrences(j)
	for i := range progress.Done {
		restoreDone(j, &progress.Done[i])
	}
	for i := range progress.Tasks {
		c.restoreTask(j, &progress.Tasks[i])
	}
	c.settleRestored(j)
	if ended(progress.State) {
		j.state, j.storedState = progress.State, progress.State
		j.finishedAt = time.UnixMilli(int64(progress.FinishedUnixMs))
		c.stopAll(j, "the work has ended")
		c.mark(j)
	}
}

func (c *Cell) restoreDoneOccurrence(j *job, number int) {
	if j.doneOccs == nil {
		j.doneOccs = map[int]bool{}
	}
	if !j.doneOccs[number] {
		j.doneOccs[number] = true
		j.open--
	}
}

// restoreTask restores one task from its record.
func (c *Cell) restoreTask(j *job, p *api.TaskProgress) {
	o := j.occurrence(p.Occurrence)
	if o == nil || p.Step >= len(o.steps) || p.Index >= len(o.steps[p.Step].tasks) {
		return
	}
	t := &o.steps[p.Step].tasks[p.Index]
	t.attempt = max(t.attempt, p.Attempt)
	t.failures = max(t.failures, p.Failures)
	t.step.failures = max(t.step.failures, p.Failures)
	if p.Checkpoint != "" {
		t.checkpoint = p.Checkpoint
	}
	if p.Phase == api.TaskPhasePlaced {
		w := c.workerOf(WorkerRef{ID: p.Worker, BornUnixMs: p.BornUnixMs})
		r := c.addRun(t, w, p.Attempt)
		r.phase = runOrdered
		r.restored = true
		r.discard = t.phase == taskDone
	}
}

// restoreDone restores which tasks of a step are done.
func restoreDone(j *job, d *api.DoneTasks) {
	o := j.occurrence(d.Occurrence)
	if o == nil || d.Step >= len(o.steps) {
		return
	}
	tasks := o.steps[d.Step].tasks
	for i := range tasks {
		if i/8 < len(d.Bits) && d.Bits[i/8]&(1<<(i%8)) != 0 {
			tasks[i].phase = taskDone
		}
	}
}

// settleRestored recomputes what follows from the phases of the tasks.
func (c *Cell) settleRestored(j *job) {
	for _, o := range append([]*occurrence(nil), j.occs...) {
		c.settleOccurrence(o)
		if o.open == 0 {
			c.finishOccurrence(j, o)
		}
	}
}

func (c *Cell) settleOccurrence(o *occurrence) {
	o.open = 0
	for _, s := range o.steps {
		s.open, s.waiting = 0, 0
		for i := range s.tasks {
			switch s.tasks[i].phase {
			case taskWaiting:
				s.waiting++
				s.open++
			case taskPlaced:
				s.open++
			}
		}
		if s.open > 0 {
			o.open++
		}
	}
	for _, s := range o.steps {
		s.waits = 0
		for _, a := range s.spec.After {
			if o.steps[a].open > 0 {
				s.waits++
			}
		}
		c.makeReady(s)
	}
}

// RestoreFinished adds a work that has ended, when an owner begins.
func (c *Cell) RestoreFinished(id string, row *api.ProgressRow) {
	c.order = append(c.order, id)
	c.finished[id] = finishedWork{
		state: row.State, team: row.Team, queue: row.Queue,
		until: time.UnixMilli(int64(row.FinishedUnixMs)).Add(c.opts.StatusRetention),
	}
}

// releaseOccurrences builds the occurrences of a work that are due.
func (c *Cell) releaseOccurrences(j *job) {
	if j.spec.RepeatCount <= 0 {
		if j.nextOcc == 0 {
			j.nextOcc = 1
			c.readyOccurrence(c.addOccurrence(j, 0, j.acceptedAt))
		}
		return
	}
	for j.nextOcc < j.spec.RepeatCount && !ended(j.state) {
		due := time.UnixMilli(int64(j.spec.StartAtUnixMs + j.nextOcc*j.spec.IntervalMs))
		if due.After(c.wall) {
			c.waitForTime(j)
			return
		}
		if !j.doneOccs[j.nextOcc] {
			c.readyOccurrence(c.addOccurrence(j, j.nextOcc, c.now-c.wall.Sub(due)))
		}
		j.nextOcc++
	}
}

func (c *Cell) readyOccurrence(o *occurrence) {
	for _, s := range o.steps {
		c.makeReady(s)
	}
}

// waitForTime lists a work with occurrences that are not due.
func (c *Cell) waitForTime(j *job) {
	for _, other := range c.timed {
		if other == j {
			return
		}
	}
	c.timed = append(c.timed, j)
}

// releaseTimed builds the occurrences that have become due.
func (c *Cell) releaseTimed() {
	waiting := c.timed
	c.timed = nil
	for _, j := range waiting {
		c.releaseOccurrences(j)
	}
}

// termsOf returns what the record of a work keeps of its queue.
func termsOf(q *work.Queue) api.QueueTerms {
	t := api.QueueTerms{
		Pool: q.Pool, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch,
		TargetLatencyMs: int(q.TargetLatency.Milliseconds()),
	}
	if a := q.Advice; a != nil {
		t.Advised = true
		t.DecisionUs, t.PerWorkerUs = int(a.Decision.Microseconds()), int(a.PerWorker.Microseconds())
		t.TicketMs = int(a.ValidFor.Milliseconds())
	}
	return t
}

// queueOf returns a queue by the terms in the record of a work.
func queueOf(name string, t *api.QueueTerms) *work.Queue {
	q := &work.Queue{
		Name: name, Pool: t.Pool, Priority: t.Priority, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch,
		TargetLatency: time.Duration(t.TargetLatencyMs) * time.Millisecond,
	}
	if t.Advised {
		q.Advice = &work.Advice{
			Decision:  time.Duration(t.DecisionUs) * time.Microsecond,
			PerWorker: time.Duration(t.PerWorkerUs) * time.Microsecond,
			ValidFor:  time.Duration(t.TicketMs) * time.Millisecond,
		}
	}
	return q
}
