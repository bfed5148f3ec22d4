package scheduler

import (
	"fmt"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// TaskStarted records that the task is running on its VM.
func (c *State) TaskStarted(id TaskID, attempt int, now time.Time) {
	t := c.findTask(id)
	if t == nil || !t.occupiesVM() || t.attempt != attempt {
		return
	}
	switch t.state {
	case taskPlaced:
		t.state = taskRunning
		t.started = now
		c.addQuickFailureTimer(t, now)
	case taskUnfenced:
		t.timerGeneration++
		t.state = taskRunning
		if t.started.IsZero() {
			t.started = now
		}
		if t.job.ended || t.job.restarting {
			c.queueStop(t.job)
		}
	}
}

// TaskExited records that the attempt has ended and frees its resources.
// Reports about another attempt are ignored.
func (c *State) TaskExited(id TaskID, attempt int, outcome Outcome, now time.Time) {
	t := c.findTask(id)
	if t == nil || !t.occupiesVM() || t.attempt != attempt {
		return
	}
	c.handleExit(t, outcome, now)
}

// RevertPlacement reverts a Place decision that the owner could not commit. The attempt
// number is not used again.
func (c *State) RevertPlacement(id TaskID, attempt int) {
	t := c.findTask(id)
	if t == nil || t.attempt != attempt || !t.occupiesVM() || t.state == taskUnfenced {
		return
	}
	t.job.placements--
	c.deallocate(t)
	c.requeueTask(t, t.placedAt, 0)
}

// handleExit frees the resources of the task and handles its outcome.
func (c *State) handleExit(t *task, outcome Outcome, now time.Time) {
	v := t.vm
	c.recordAttempt(t, outcome, now)
	c.deallocate(t)
	switch outcome {
	case Success:
		t.job.failedVMs = nil
		c.recordVMSuccess(v)
		c.completeTask(t)
	case Failed:
		c.handleFailure(t, v, now)
	case Lost:
		c.handleLoss(t, now)
	case Refused:
		c.blockVM(v, now.Add(min(c.policy.RefusalBackoff<<min(v.refusals, 20), c.policy.MaxRetryBackoff)))
		v.refusals++
		c.requeueTask(t, now, 0)
	default:
		c.requeueTask(t, now, 0)
	}
}

func (c *State) completeTask(t *task) {
	t.state = taskDone
	t.job.unfinished--
	c.scheduleGangRestart(t.job, time.Time{})
	c.removeIfFinished(t.job)
}

func (c *State) handleFailure(t *task, v *vm, now time.Time) {
	j := t.job
	if t.started.IsZero() || now.Sub(t.started) < c.policy.FailureWindow {
		j.addFailedVM(v.ID)
	} else {
		j.failedVMs = []string{v.ID}
		if j.Class == api.ClassService {
			t.failures = 0 // failures of a service long ago do not count
		}
	}
	t.failures++
	if !j.ended {
		c.recordVMFailure(v, t, now)
		switch {
		case len(j.failedVMs) >= c.policy.FaultyJobVMs:
			c.clearVMFailures(j)
			c.failJob(j, fmt.Sprintf("the job is faulty: its tasks failed on %d different VMs", len(j.failedVMs)))
		case t.failures >= j.MaxAttempts:
			c.failJob(j, fmt.Sprintf("task %q failed %d times", t.id, t.failures))
		}
	}
	c.requeueTask(t, now, c.retryDelay(t.failures))
}

func (c *State) handleLoss(t *task, now time.Time) {
	t.losses++
	if t.losses >= c.policy.MaxLostAttempts && !t.job.ended {
		c.failJob(t.job, fmt.Sprintf("task %q was lost with its VM %d times", t.id, t.losses))
	}
	c.requeueTask(t, now, 0)
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
func (c *State) retryDelay(failures int) time.Duration {
	delay := c.policy.RetryBackoff << min(failures-1, 20)
	return min(delay, c.policy.MaxRetryBackoff)
}

// requeueTask makes a task that occupies no VM pending after the delay, or
// marks it as ended if its job has ended. A member of a gang waits for the
// other members.
func (c *State) requeueTask(t *task, now time.Time, delay time.Duration) {
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
		c.removeIfFinished(j)
	case j.isGang():
		t.state = taskWaiting
		c.restartGang(j, now.Add(delay))
	case delay == 0:
		c.makePending(t)
	default:
		t.state = taskWaiting
		c.addTimer(timer{at: now.Add(delay), kind: timerTaskRetry, task: t, generation: t.timerGeneration})
	}
}

// failJob ends a job as failed. The next Schedule call reports the failure.
func (c *State) failJob(j *job, reason string) {
	c.endJob(j, false)
	c.jobFailures = append(c.jobFailures, jobFailure{job: j, reason: reason})
	c.queueStop(j)
}

// endJob prevents further starts of tasks of the job.
func (c *State) endJob(j *job, canceled bool) {
	state := taskFailed
	if canceled {
		state = taskCanceled
	}
	c.dropAllPending(j, state)
	c.releaseClaims(j)
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
func (c *State) removeIfFinished(j *job) {
	if j.placedTasks == 0 && (j.ended || j.unfinished == 0) {
		delete(c.jobs, j.ID)
	}
}

// queueStop queues the job for the next Schedule call, which stops its tasks.
func (c *State) queueStop(j *job) {
	if !j.inStopQueue {
		j.inStopQueue = true
		c.stopQueue = append(c.stopQueue, j)
	}
}

// stopTask marks a task as stopping and returns the decision. Its resources
// stay allocated until its TaskExited.
func (c *State) stopTask(t *task, kind Kind, reason string) Decision {
	t.state = taskStopping
	t.stoppedAt = c.pass.now
	t.checkpointing = kind == Checkpoint
	c.setReleasing(t, true)
	return Decision{Kind: kind, Task: t.id, Job: t.job.ID, VM: t.vm.ID, Attempt: t.attempt, Reason: reason}
}

// recordAttempt records the usage and run time of an attempt that has ended.
func (c *State) recordAttempt(t *task, outcome Outcome, now time.Time) {
	c.recordPeak(t)
	ran := now.Sub(t.started)
	switch {
	case t.started.IsZero():
	case outcome == Success:
		c.recordRunTime(t, now)
	case outcome == Checkpointed:
		t.earlierRunTime += ran
	}
	if t.checkpointing && (outcome == Checkpointed || outcome == Stopped) {
		c.recordCheckpointTime(t, now)
	}
}

// addQuickFailureTimer sets the timer that records a success of a VM with recent
// failures if the task does not fail quickly.
func (c *State) addQuickFailureTimer(t *task, now time.Time) {
	if v := t.vm; v.probation || len(v.failures) > 0 {
		c.addTimer(timer{at: now.Add(c.policy.QuickFailure), kind: timerQuickFailure, task: t, vm: v, generation: int64(t.attempt)})
	}
}
