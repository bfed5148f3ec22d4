package scheduler

import (
	"fmt"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// TaskStarted records that the task is running on its VM.
func (s *State) TaskStarted(id TaskID, attempt int, now time.Time) {
	t := s.findTask(id)
	if t == nil || !t.occupiesVM() || t.attempt != attempt {
		return
	}
	switch t.state {
	case taskPlaced:
		t.state = taskRunning
		t.started = now
		s.addQuickFailureTimer(t, now)
	case taskUnfenced:
		t.timerGeneration++
		t.state = taskRunning
		if t.started.IsZero() {
			t.started = now
		}
		if t.job.ended || t.job.restarting {
			s.queueStop(t.job)
		}
	}
}

// TaskExited records that the attempt has ended and frees its resources.
// Reports about another attempt are ignored.
func (s *State) TaskExited(id TaskID, attempt int, outcome Outcome, now time.Time) {
	t := s.findTask(id)
	if t == nil || !t.occupiesVM() || t.attempt != attempt {
		return
	}
	s.handleExit(t, outcome, now)
}

// RevertPlacement reverts a DecisionPlace that the owner could not commit. The
// attempt number is not used again.
func (s *State) RevertPlacement(id TaskID, attempt int) {
	t := s.findTask(id)
	if t == nil || t.attempt != attempt || !t.occupiesVM() || t.state == taskUnfenced {
		return
	}
	t.job.placements--
	s.deallocate(t)
	s.requeueTask(t, t.placedAt, 0)
}

// failIfLate fails a job that was not started before its deadline. A placement that may
// still become a start postpones the failure until its result is known.
func (s *State) failIfLate(j *job, now time.Time) {
	if j.ended || j.placements > 0 || j.Deadline.IsZero() || !now.After(j.Deadline) {
		return
	}
	s.failJob(j, "the deadline passed before the job could be started")
}

// handleExit frees the resources of the task and handles its outcome.
func (s *State) handleExit(t *task, outcome Outcome, now time.Time) {
	v := t.vm
	s.recordAttempt(t, outcome, now)
	s.deallocate(t)
	switch outcome {
	case OutcomeSuccess:
		t.job.failedVMs = nil
		s.recordVMSuccess(v)
		s.completeTask(t)
	case OutcomeFailed:
		s.handleFailure(t, v, now)
	case OutcomeLost:
		s.handleLoss(t, now)
	case OutcomeRefused:
		s.blockVM(v, now.Add(min(s.policy.RefusalBackoff<<min(v.refusals, 20), s.policy.MaxRetryBackoff)))
		v.refusals++
		t.job.placements--
		s.failIfLate(t.job, now)
		s.requeueTask(t, now, 0)
	default:
		s.requeueTask(t, now, 0)
	}
}

func (s *State) completeTask(t *task) {
	t.state = taskDone
	t.job.unfinished--
	s.scheduleGangRestart(t.job, time.Time{})
	s.removeIfFinished(t.job)
}

func (s *State) handleFailure(t *task, v *vm, now time.Time) {
	j := t.job
	if t.started.IsZero() || now.Sub(t.started) < s.policy.FailureWindow {
		j.addFailedVM(v.ID)
	} else {
		j.failedVMs = []string{v.ID}
		if j.Class == api.ClassService {
			t.failures = 0 // failures of a service long ago do not count
		}
	}
	t.failures++
	if !j.ended {
		s.recordVMFailure(v, t, now)
		switch {
		case len(j.failedVMs) >= s.policy.FaultyJobVMs:
			s.clearVMFailures(j)
			s.failJob(j, fmt.Sprintf("the job is faulty: its tasks failed on %d different VMs", len(j.failedVMs)))
		case t.failures >= j.MaxAttempts:
			s.failJob(j, fmt.Sprintf("task %q failed %d times", t.id, t.failures))
		}
	}
	s.requeueTask(t, now, s.retryDelay(t.failures))
}

func (s *State) handleLoss(t *task, now time.Time) {
	t.losses++
	if t.losses >= s.policy.MaxLostAttempts && !t.job.ended {
		s.failJob(t.job, fmt.Sprintf("task %q was lost with its VM %d times", t.id, t.losses))
	}
	s.requeueTask(t, now, 0)
}

// addFailedVM records that a task of the job failed on the VM.
func (j *job) addFailedVM(vmID string) {
	for _, id := range j.failedVMs {
		if id == vmID {
			return
		}
	}
	j.failedVMs = append(j.failedVMs, vmID)
}

// retryDelay returns the wait after the given number of failures.
func (s *State) retryDelay(failures int) time.Duration {
	delay := s.policy.RetryBackoff << min(failures-1, 20)
	return min(delay, s.policy.MaxRetryBackoff)
}

// requeueTask makes a task that occupies no VM pending after the delay, or
// marks it as ended if its job has ended. A member of a gang waits for the
// other members.
func (s *State) requeueTask(t *task, now time.Time, delay time.Duration) {
	j := t.job
	t.timerGeneration++
	t.started = time.Time{}
	if !j.ended && j.group == nil {
		j.waitingSince = now
	}
	switch {
	case j.ended:
		t.state = taskCanceled
		if !j.canceled {
			t.state = taskFailed
		}
		s.removeIfFinished(j)
	case j.isGang():
		t.state = taskWaiting
		s.restartGang(j, now, delay)
	case delay == 0:
		s.makePending(t)
	default:
		t.state = taskWaiting
		s.addTimer(timer{at: now.Add(delay), kind: timerTaskRetry, task: t, generation: t.timerGeneration})
	}
}

// failJob ends a job as failed. The next Schedule call reports the failure.
func (s *State) failJob(j *job, reason string) {
	s.endJob(j, false)
	s.jobFailures = append(s.jobFailures, jobFailure{job: j, reason: reason})
	s.queueStop(j)
}

// endJob prevents further starts of tasks of the job.
func (s *State) endJob(j *job, canceled bool) {
	state := taskFailed
	if canceled {
		state = taskCanceled
	}
	s.dropAllPending(j, state)
	s.releaseClaims(j)
	j.ended = true
	j.canceled = canceled
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			t.state = state
		}
	}
}

// removeIfFinished removes a job that occupies no VM and has nothing left to
// run.
func (s *State) removeIfFinished(j *job) {
	if j.placedTasks == 0 && (j.ended || j.unfinished == 0) {
		delete(s.jobs, j.ID)
	}
}

// queueStop queues the job for the next Schedule call, which stops its tasks.
func (s *State) queueStop(j *job) {
	if !j.inStopQueue {
		j.inStopQueue = true
		s.stopQueue = append(s.stopQueue, j)
	}
}

// stopTask marks a task as stopping and returns the decision. Its resources
// stay allocated until its TaskExited.
func (s *State) stopTask(t *task, kind DecisionKind, reason string) Decision {
	t.state = taskStopping
	t.stoppedAt = s.pass.now
	t.checkpointing = kind == DecisionCheckpoint
	s.setReleasing(t, true)
	return Decision{Kind: kind, Task: t.id, Job: t.job.ID, VM: t.vm.ID, Attempt: t.attempt, Reason: reason}
}

// recordAttempt records the usage and run time of an attempt that has ended.
func (s *State) recordAttempt(t *task, outcome Outcome, now time.Time) {
	s.recordPeak(t)
	ran := now.Sub(t.started)
	switch {
	case t.started.IsZero():
	case outcome == OutcomeSuccess:
		s.recordRunTime(t, now)
	case outcome == OutcomeCheckpointed:
		t.earlierRunTime += ran
	}
	if t.checkpointing && (outcome == OutcomeCheckpointed || outcome == OutcomeStopped) {
		s.recordCheckpointTime(t, now)
	}
}

// addQuickFailureTimer sets the timer that records a success of a VM with recent
// failures if the task does not fail quickly.
func (s *State) addQuickFailureTimer(t *task, now time.Time) {
	if v := t.vm; v.probation || len(v.failures) > 0 {
		s.addTimer(timer{at: now.Add(s.policy.QuickFailure), kind: timerQuickFailure, task: t, vm: v, generation: int64(t.attempt)})
	}
}
