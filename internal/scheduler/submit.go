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
func (s *State) Submit(in Job, now time.Time) error {
	if err := s.validateJob(in); err != nil {
		return err
	}
	if !in.Deadline.IsZero() && now.After(in.Deadline) {
		return errkind.New(errkind.DeadlineExceeded, "deadline", "the deadline %s has passed", in.Deadline.Format(time.RFC3339))
	}
	size := toResourceVec(in.Resources)
	if reason := s.infeasibleReason(s.ensureTeam(in.Team), in, size); reason != "" {
		return errkind.New(errkind.NeverRunnable, "resources", "%s", reason)
	}
	s.addJob(in, now)
	return nil
}

// RestoreJob adds a job that an earlier owner accepted. After a takeover it is called
// before RestoreTask restores the tasks of the job. The job is not checked against
// the fleet and the limits, which may have changed since. If it is infeasible for the
// grace time, it fails like any other job.
func (s *State) RestoreJob(in Job, now time.Time) error {
	if err := s.validateJob(in); err != nil {
		return err
	}
	s.addJob(in, now)
	return nil
}

// validateJob returns an error if the job is malformed.
func (s *State) validateJob(in Job) error {
	size := toResourceVec(in.Resources)
	switch {
	case in.ID == "":
		return errkind.New(errkind.InvalidArgument, "id", "the job ID is empty")
	case s.jobs[in.ID] != nil:
		return errkind.New(errkind.RequestIDConflict, "id", "job %q already exists", in.ID)
	case in.Class != api.ClassService && in.Class != api.ClassBatch && in.Class != api.ClassGang:
		return errkind.New(errkind.InvalidArgument, "class", "class %q is not one of service, batch and gang", in.Class)
	case in.Tasks <= 0 || in.Tasks > s.policy.MaxTasksPerJob:
		return errkind.New(errkind.InvalidArgument, "tasks", "the number of tasks is %d, must be between 1 and %d", in.Tasks, s.policy.MaxTasksPerJob)
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
func (s *State) infeasibleReason(t *team, in Job, size resourceVec) string {
	members := 1
	if in.Class == api.ClassGang {
		members = in.Tasks
	}
	if !size.times(members).fits(t.limit) {
		return "the limit of the team does not allow it"
	}
	if len(s.capacityClasses) == 0 {
		return ""
	}
	fitting := 0
	for _, class := range s.capacityClasses {
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
func (s *State) addJob(in Job, now time.Time) *job {
	s.lastSeq++
	j := &job{
		Job:        in,
		team:       s.ensureTeam(in.Team),
		declared:   toResourceVec(in.Resources),
		seq:        s.lastSeq,
		unfinished: in.Tasks,
		priority:   priorityNormal,
		tasks:      make([]task, in.Tasks),
		pending:    make([]int, 0, in.Tasks),
	}
	if j.MaxAttempts <= 0 {
		j.MaxAttempts = s.policy.DefaultMaxAttempts
	}
	if j.Urgency == api.UrgencyUrgent {
		j.priority = priorityUrgent
	}
	j.history = s.ensureHistory(&j.Job)
	j.waitingSince = now
	j.size = s.effectiveSize(j)
	j.sizeVersion, j.sizeFleetVersion = j.history.sizeVersion, s.fleetVersion
	j.orderKey = s.orderKeyOf(j, now)
	s.jobs[j.ID] = j
	for i := in.Tasks - 1; i >= 0; i-- {
		j.tasks[i] = task{id: NewTaskID(j.ID, i), job: j, index: i}
		s.makePending(&j.tasks[i])
	}
	if !j.Deadline.IsZero() {
		s.addTimer(timer{at: j.Deadline.Add(1), kind: timerDeadline, job: j})
	}
	return j
}

// orderKeyOf returns the sort key of the job in the queue of its team. It is
// the time of submission, plus a bounded delay for background work and longer
// batch runs, so that all work is placed eventually, but early enough for the
// deadline of the job.
func (s *State) orderKeyOf(j *job, now time.Time) int64 {
	key := now
	if j.Urgency == api.UrgencyBackground {
		key = key.Add(s.policy.BackgroundDelay)
	}
	if j.Class == api.ClassBatch {
		run := time.Duration(float64(s.estimateRunTime(j, medianQuantile)) * s.policy.RunTimeWeight)
		key = key.Add(min(run, s.policy.MaxRunTimeDelay))
	}
	if latest := j.Deadline.Add(-s.policy.DeadlineMargin); !j.Deadline.IsZero() && latest.Before(key) {
		key = latest
	}
	return key.UnixNano()
}

// Cancel ends a job. It returns the decisions that stop its tasks, whose
// resources stay allocated until their TaskExited.
func (s *State) Cancel(jobID string, now time.Time) []Decision {
	s.pass.now = now
	j, ok := s.jobs[jobID]
	if !ok || j.ended {
		return nil
	}
	s.endJob(j, true)
	var out []Decision
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.stoppable() {
			out = append(out, s.stopTask(t, DecisionStop, "the job was canceled"))
		}
	}
	s.removeIfFinished(j)
	return out
}
