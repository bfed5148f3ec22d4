package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// gang reports whether all tasks of the job are placed together.
func (j *job) gang() bool { return j.Class == api.ClassGang }

// Submit adds a job. It returns an *errkind.Error if the job is malformed or
// could never run.
func (c *Cell) Submit(in Job, now time.Time) error {
	if err := c.check(in); err != nil {
		return err
	}
	if !in.Deadline.IsZero() && now.After(in.Deadline) {
		return errkind.New(errkind.DeadlineExceeded, "deadline", "the deadline %s has passed", in.Deadline.Format(time.RFC3339))
	}
	size := toVec(in.Resources)
	if reason := c.unfit(c.team(in.Team), in, size); reason != "" {
		return errkind.New(errkind.NeverRunnable, "resources", "%s", reason)
	}
	c.add(in, now)
	return nil
}

// Adopt adds a job that an earlier owner accepted. It is not checked against the
// fleet and the limits, which may have changed since; if they cannot hold it for
// the grace time, it fails like any other job.
func (c *Cell) Adopt(in Job, now time.Time) error {
	if err := c.check(in); err != nil {
		return err
	}
	c.add(in, now)
	return nil
}

// check reports what is malformed about a job.
func (c *Cell) check(in Job) error {
	size := toVec(in.Resources)
	switch {
	case in.ID == "":
		return errkind.New(errkind.InvalidArgument, "id", "the job ID is empty")
	case c.jobs[in.ID] != nil:
		return errkind.New(errkind.RequestIDConflict, "id", "job %q exists", in.ID)
	case in.Class != api.ClassService && in.Class != api.ClassBatch && in.Class != api.ClassGang:
		return errkind.New(errkind.InvalidArgument, "class", "class %q is not one of service, batch and gang", in.Class)
	case in.Tasks <= 0 || in.Tasks > c.policy.MaxTasksPerJob:
		return errkind.New(errkind.InvalidArgument, "tasks", "%d tasks are not between 1 and %d", in.Tasks, c.policy.MaxTasksPerJob)
	case size.negative() || size == vec{}:
		return errkind.New(errkind.InvalidArgument, "resources", "the size must not be negative or zero throughout")
	case in.EstimatedRun < 0:
		return errkind.New(errkind.InvalidArgument, "estimated_run", "the estimated run time is negative")
	}
	return nil
}

// unfit returns why the job could never run with the present fleet and limits,
// or nothing. While no VM is known the fleet cannot be judged.
func (c *Cell) unfit(t *team, in Job, size vec) string {
	together := 1
	if in.Class == api.ClassGang {
		together = in.Tasks
	}
	if !size.times(together).fits(t.limit) {
		return "the limit of the team does not allow it"
	}
	if len(c.classes) == 0 {
		return ""
	}
	room := 0
	for _, class := range c.classes {
		room += class.count * class.capacity.copies(size, together)
	}
	switch {
	case room == 0:
		return "no VM of the pool is large enough for a task"
	case room < together:
		return "the pool is too small for the gang"
	}
	return ""
}

// add takes a checked job into the state.
func (c *Cell) add(in Job, now time.Time) *job {
	c.seq++
	j := &job{
		Job:      in,
		team:     c.team(in.Team),
		declared: toVec(in.Resources),
		seq:      c.seq,
		open:     in.Tasks,
		level:    levelNormal,
		tasks:    make([]task, in.Tasks),
		pending:  make([]int, 0, in.Tasks),
	}
	if j.MaxAttempts <= 0 {
		j.MaxAttempts = c.policy.DefaultMaxAttempts
	}
	if j.Urgency == api.UrgencyUrgent {
		j.level = levelUrgent
	}
	j.learned = c.learnedOf(&j.Job)
	j.waitingSince = now
	j.size = c.sizeOf(j)
	j.sizeVersion, j.sizeFleet = j.learned.version, c.fleetVersion
	j.key = c.keyOf(j, now)
	c.jobs[j.ID] = j
	for i := in.Tasks - 1; i >= 0; i-- {
		j.tasks[i] = task{id: NewTaskID(j.ID, i), job: j, index: i}
		c.makePending(&j.tasks[i])
	}
	if !j.Deadline.IsZero() {
		c.addTimer(timer{at: j.Deadline.Add(1), kind: timerDeadline, job: j})
	}
	return j
}

// keyOf returns the position of the job in the queue of its team: the time of
// submission, later for background work and for longer batch runs, but by a bounded
// time, so that all work comes up in the end, and early enough for its deadline.
func (c *Cell) keyOf(j *job, now time.Time) int64 {
	key := now
	if j.Urgency == api.UrgencyBackground {
		key = key.Add(c.policy.BackgroundDelay)
	}
	if j.Class == api.ClassBatch {
		run := time.Duration(float64(c.runTime(j, typicalRun)) * c.policy.RunWeight)
		key = key.Add(min(run, c.policy.RunWeightLimit))
	}
	if latest := j.Deadline.Add(-c.policy.DeadlineMargin); !j.Deadline.IsZero() && latest.Before(key) {
		key = latest
	}
	return key.UnixNano()
}

// Cancel ends a job. It returns the decisions that stop its tasks, which stay
// held until their TaskExited.
func (c *Cell) Cancel(jobID string, now time.Time) []Decision {
	c.pass.now = now
	j, ok := c.jobs[jobID]
	if !ok || j.ended {
		return nil
	}
	c.end(j, true)
	var out []Decision
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.stoppable() {
			out = append(out, c.stop(t, Stop, "the job was canceled"))
		}
	}
	c.finish(j)
	return out
}
