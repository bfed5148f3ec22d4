package scheduler

import (
	"fmt"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// TaskStarted records that the task runs on its VM.
func (c *Cell) TaskStarted(id TaskID, attempt int, now time.Time) {
	t := c.find(id)
	if t == nil || !t.held() || t.attempt != attempt {
		return
	}
	switch t.state {
	case taskPlaced:
		t.state = taskRunning
		t.started = now
		c.probe(t, now)
	case taskHeld:
		t.timer++
		t.state = taskRunning
		if t.started.IsZero() {
			t.started = now
		}
		if t.job.ended || t.job.broken {
			c.toControl(t.job)
		}
	}
}

// TaskExited records that the attempt has ended and frees its VM. Reports about
// another attempt are ignored.
func (c *Cell) TaskExited(id TaskID, attempt int, outcome Outcome, now time.Time) {
	t := c.find(id)
	if t == nil || !t.held() || t.attempt != attempt {
		return
	}
	c.exit(t, outcome, now)
}

// Unplace takes back a Place that the owner could not commit. The number of the
// attempt is not used again.
func (c *Cell) Unplace(id TaskID, attempt int) {
	t := c.find(id)
	if t == nil || t.attempt != attempt || !t.held() || t.state == taskHeld {
		return
	}
	t.job.placements--
	c.vacate(t)
	c.again(t, t.placedAt, 0)
}

// exit frees the VM of the task and decides how the task goes on.
func (c *Cell) exit(t *task, outcome Outcome, now time.Time) {
	v := t.vm
	c.learn(t, outcome, now)
	c.vacate(t)
	switch outcome {
	case Success:
		t.job.badVMs = nil
		c.noteHealthy(v)
		c.done(t)
	case Failed:
		c.failed(t, v, now)
	case Lost:
		c.lost(t, now)
	case Refused:
		c.pauseVM(v, now.Add(min(c.policy.RefusedBackoff<<min(v.refusals, 20), c.policy.RetryBackoffLimit)))
		v.refusals++
		c.again(t, now, 0)
	default:
		c.again(t, now, 0)
	}
}

func (c *Cell) done(t *task) {
	t.state = taskDone
	t.job.open--
	c.settleGang(t.job, time.Time{})
	c.finish(t.job)
}

func (c *Cell) failed(t *task, v *vm, now time.Time) {
	j := t.job
	if t.started.IsZero() || now.Sub(t.started) < c.policy.FailureWindow {
		j.blame(v.ID)
	} else {
		j.badVMs = []string{v.ID}
		if j.Class == api.ClassService {
			t.failures = 0 // failures of a service long ago do not count
		}
	}
	t.failures++
	if !j.ended {
		c.noteFailure(v, t, now)
		switch {
		case len(j.badVMs) >= c.policy.FaultyVMs:
			c.acquit(j)
			c.fail(j, fmt.Sprintf("the job is faulty: its tasks failed on %d different VMs", len(j.badVMs)))
		case t.failures >= j.MaxAttempts:
			c.fail(j, fmt.Sprintf("task %q failed %d times", t.id, t.failures))
		}
	}
	c.again(t, now, c.retryDelay(t.failures))
}

func (c *Cell) lost(t *task, now time.Time) {
	t.losses++
	if t.losses >= c.policy.MaxLost && !t.job.ended {
		c.fail(t.job, fmt.Sprintf("task %q was lost with its VM %d times", t.id, t.losses))
	}
	c.again(t, now, 0)
}

// blame records that a task of the job failed on the VM.
func (j *job) blame(vmID string) {
	for _, id := range j.badVMs {
		if id == vmID {
			return
		}
	}
	j.badVMs = append(j.badVMs, vmID)
}

// retryDelay returns the wait after a number of failures.
func (c *Cell) retryDelay(failures int) time.Duration {
	delay := c.policy.RetryBackoff << min(failures-1, 20)
	return min(delay, c.policy.RetryBackoffLimit)
}

// again returns a task that is no longer held to the queue after a delay, unless
// its job has ended. A member of a gang waits for the other members.
func (c *Cell) again(t *task, now time.Time, delay time.Duration) {
	j := t.job
	t.timer++
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
		c.finish(j)
	case j.gang():
		t.state = taskWaiting
		c.breakGang(j, now.Add(delay))
	case delay == 0:
		c.makePending(t)
	default:
		t.state = taskWaiting
		c.addTimer(timer{at: now.Add(delay), kind: timerRetry, task: t, gen: t.timer})
	}
}

// fail ends a job; the next Schedule reports it.
func (c *Cell) fail(j *job, reason string) {
	c.end(j, false)
	c.failing = append(c.failing, failure{job: j, reason: reason})
	c.toControl(j)
}

// end lets no further task of the job start.
func (c *Cell) end(j *job, canceled bool) {
	state := taskFailed
	if canceled {
		state = taskCanceled
	}
	c.dropAllPending(j, state)
	c.dropClaims(j)
	j.ended = true
	j.canceled = canceled
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			t.state = state
		}
	}
}

// finish forgets a job that holds nothing and has nothing left to do.
func (c *Cell) finish(j *job) {
	if j.holding == 0 && (j.ended || j.open == 0) {
		delete(c.jobs, j.ID)
	}
}

// toControl has the next Schedule look for tasks of the job to stop.
func (c *Cell) toControl(j *job) {
	if !j.inCtl {
		j.inCtl = true
		c.control = append(c.control, j)
	}
}

// stop marks a task as stopping and returns the decision. The task stays held
// until its TaskExited.
func (c *Cell) stop(t *task, kind Kind, reason string) Decision {
	t.state = taskStopping
	t.stoppedAt = c.pass.now
	t.checkpointing = kind == Checkpoint
	c.setReleasing(t, true)
	return Decision{Kind: kind, Task: t.id, Job: t.job.ID, VM: t.vm.ID, Attempt: t.attempt, Reason: reason}
}

// learn records the size and the times of a task that is about to be freed.
func (c *Cell) learn(t *task, outcome Outcome, now time.Time) {
	c.learnSize(t)
	ran := now.Sub(t.started)
	switch {
	case t.started.IsZero():
	case outcome == Success:
		c.learnRun(t, now)
	case outcome == Checkpointed:
		t.ran += ran
	}
	if t.checkpointing && (outcome == Checkpointed || outcome == Stopped) {
		c.learnCheckpoint(t, now)
	}
}

// probe watches a task on a VM with recent failures.
func (c *Cell) probe(t *task, now time.Time) {
	if v := t.vm; v.probation || len(v.failures) > 0 {
		c.addTimer(timer{at: now.Add(c.policy.QuickFailure), kind: timerProbe, task: t, vm: v, gen: int64(t.attempt)})
	}
}
