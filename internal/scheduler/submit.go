package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// isGang reports whether all tasks of the job are placed together.
func (j *job) isGang() bool { return j.Class == api.ClassGang }

// Submit adds a job. It returns an *errkind.Error if the job is malformed or
// could never run.
func (c *State) Submit(in Job, now time.Time) error {
	if err := c.validateJob(in); err != nil {
		return err
	}
	if !in.Deadline.IsZero() && now.After(in.Deadline) {
		return errkind.New(errkind.DeadlineExceeded, "deadline", "the deadline %s has passed", in.Deadline.Format(time.RFC3339))
	}
	size := toResourceVec(in.Resources)
	if reason := c.infeasibleReason(c.ensureTeam(in.Team), in, size); reason != "" {
		return errkind.New(errkind.NeverRunnable, "resources", "%s", reason)
	}
	c.addJob(in, now)
	return nil
}

// AddAccepted adds a job that an earlier owner accepted. It is not checked against
// the fleet and the limits, which may have changed since. If it is infeasible
// for the grace time, it fails like any other job.
func (c *State) AddAccepted(in Job, now time.Time) error {
	if err := c.validateJob(in); err != nil {
		return err
	}
	c.addJob(in, now)
	return nil
}

// validateJob returns an error if the job is malformed.
func (c *State) validateJob(in Job) error {
	size := toResourceVec(in.Resources)
	switch {
	case in.ID == "":
		return errkind.New(errkind.InvalidArgument, "id", "the job ID is empty")
	case c.jobs[in.ID] != nil:
		return errkind.New(errkind.RequestIDConflict, "id", "job %q already exists", in.ID)
	case in.Class != api.ClassService && in.Class != api.ClassBatch && in.Class != api.ClassGang:
		return errkind.New(errkind.InvalidArgument, "class", "class %q is not one of service, batch and gang", in.Class)
	case in.Tasks <= 0 || in.Tasks > c.policy.MaxTasksPerJob:
		return errkind.New(errkind.InvalidArgument, "tasks", "the number of tasks is %d, must be between 1 and %d", in.Tasks, c.policy.MaxTasksPerJob)
	case size.negative() || size == resourceVec{}:
		return errkind.New(errkind.InvalidArgument, "resources", "the resources of a task must not be negative and not all be zero")
	case in.EstimatedRun < 0:
		return errkind.New(errkind.InvalidArgument, "estimated_run", "the estimated run time is negative")
	}
	return nil
}

// infeasibleReason returns why the job could never run with the present fleet
// and limits, or an empty string. The fleet is not checked while no VM is
// known.
func (c *State) infeasibleReason(t *team, in Job, size resourceVec) string {
	members := 1
	if in.Class == api.ClassGang {
		members = in.Tasks
	}
	if !size.times(members).fits(t.limit) {
		return "the job exceeds the limit of the team"
	}
	if len(c.capacityClasses) == 0 {
		return ""
	}
	fitting := 0
	for _, class := range c.capacityClasses {
		fitting += class.count * class.capacity.countFitting(size, members)
	}
	switch {
	case fitting == 0:
		return "no VM of the pool is large enough for a task"
	case fitting < members:
		return "the pool is too small for the gang"
	}
	return ""
}

// addJob adds a validated job.
func (c *State) addJob(in Job, now time.Time) *job {
	c.lastSeq++
	j := &job{
		Job:        in,
		team:       c.ensureTeam(in.Team),
		declared:   toResourceVec(in.Resources),
		seq:        c.lastSeq,
		unfinished: in.Tasks,
		priority:   priorityNormal,
		tasks:      make([]task, in.Tasks),
		pending:    make([]int, 0, in.Tasks),
	}
	if j.MaxAttempts <= 0 {
		j.MaxAttempts = c.policy.DefaultMaxAttempts
	}
	if j.Urgency == api.UrgencyUrgent {
		j.priority = priorityUrgent
	}
	j.history = c.ensureHistory(&j.Job)
	j.waitingSince = now
	j.size = c.effectiveSize(j)
	j.sizeVersion, j.sizeFleetVersion = j.history.sizeVersion, c.fleetVersion
	j.orderKey = c.orderKeyOf(j, now)
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

// orderKeyOf returns the sort key of the job in the queue of its team. It is
// the time of submission, plus a bounded delay for background work and longer
// batch runs, so that all work is placed eventually, but early enough for the
// deadline of the job.
func (c *State) orderKeyOf(j *job, now time.Time) int64 {
	key := now
	if j.Urgency == api.UrgencyBackground {
		key = key.Add(c.policy.BackgroundDelay)
	}
	if j.Class == api.ClassBatch {
		run := time.Duration(float64(c.estimateRunTime(j, medianQuantile)) * c.policy.RunTimeWeight)
		key = key.Add(min(run, c.policy.MaxRunTimeDelay))
	}
	if latest := j.Deadline.Add(-c.policy.DeadlineMargin); !j.Deadline.IsZero() && latest.Before(key) {
		key = latest
	}
	return key.UnixNano()
}

// Cancel ends a job. It returns the decisions that stop its tasks, whose
// resources stay allocated until their TaskExited.
func (c *State) Cancel(jobID string, now time.Time) []Decision {
	c.pass.now = now
	j, ok := c.jobs[jobID]
	if !ok || j.ended {
		return nil
	}
	c.endJob(j, true)
	var out []Decision
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.stoppable() {
			out = append(out, c.stopTask(t, Stop, "the job was canceled"))
		}
	}
	c.removeIfFinished(j)
	return out
}
