package scheduler

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a job that waits forever because it became infeasible while it ran.
func TestRunningJobThatBecameInfeasibleFails(t *testing.T) {
	d := newTestDriver(t, 2, "a")
	d.submitJob(testJob("a", "j", api.ClassBatch, 1, 16))
	d.runPass(0)
	d.SetTeams([]api.Team{{Name: "a", Share: 1, Limit: resources(8, 8, 0)}})
	d.runPass(time.Second)
	d.SetBudget("a", resources(8, 8, 0))
	d.endStoppedTasks(d.runPass(time.Second))
	if n := len(d.running); n != 0 {
		t.Fatalf("%d tasks run above the budget", n)
	}
	d.runPass(time.Second)
	if n := countDecisions(d.runPass(d.policy.InfeasibleGrace), DecisionFailJob, "a/j"); n != 1 {
		t.Errorf("the job was failed %d times after the grace time, want once", n)
	}
}

// Guards against a job that fails without the grace time because it was infeasible once
// before it ran.
func TestGraceTimeStartsAgainAfterARun(t *testing.T) {
	const low, high = 8, 32
	setLimit := func(d *testDriver, cores int) {
		d.SetTeams([]api.Team{{Name: "a", Share: 1, Limit: resources(cores, cores, 0)}})
	}
	d := newTestDriver(t, 1, "a")
	d.submitJob(testJob("a", "other", api.ClassBatch, 1, 16))
	d.runPass(0)
	d.submitJob(testJob("a", "j", api.ClassBatch, 1, 16))
	setLimit(d, low)
	d.runPass(time.Second)
	d.exitTask("a/other/0", OutcomeSuccess)
	d.runPass(time.Second)
	if _, ok := d.running["a/j/0"]; !ok {
		t.Fatal("the job was not placed")
	}
	setLimit(d, high)
	d.runPass(2 * d.policy.InfeasibleGrace)
	setLimit(d, low)
	d.exitTask("a/j/0", OutcomeStopped)
	if n := countDecisions(d.runPass(time.Second), DecisionFailJob, "a/j"); n != 0 {
		t.Error("the job failed 1 s after it became infeasible again")
	}
}

// Guards against a faulty VM that is not quarantined because another VM, which is not in
// quarantine, has refused a task.
func TestRefusalDoesNotCountAsQuarantine(t *testing.T) {
	d := newTestDriver(t, 4, "a") // at most one VM in quarantine
	refusing, faulty := d.vms["vm-0000"], d.vms["vm-0001"]
	d.quarantine(refusing, d.now)
	d.runPass(d.policy.QuarantineBase + time.Second)
	if refusing.blockedUntil != (time.Time{}) || !refusing.probation {
		t.Fatal("the VM is not on probation")
	}
	d.blockVM(refusing, d.now.Add(d.policy.RefusalBackoff))
	d.quarantine(faulty, d.now)
	if !faulty.quarantinedUntil.After(d.now) {
		t.Error("the faulty VM was not quarantined")
	}
}

// Guards against a gang that restarts without backoff, and so uses up its attempts at
// once, when the member that failed was the last one on a VM.
func TestGangRestartsAfterBackoff(t *testing.T) {
	d := newTestDriver(t, 2, "a")
	d.submitJob(testJob("a", "gang", api.ClassGang, 2, 4))
	d.runPass(0)
	d.exitTask("a/gang/0", OutcomeSuccess)
	d.exitTask("a/gang/1", OutcomeFailed)
	if n := countDecisions(d.runPass(d.policy.RetryBackoff/2), DecisionPlace, "a/gang"); n != 0 {
		t.Error("the gang was placed again before the backoff")
	}
	if n := countDecisions(d.runPass(d.policy.RetryBackoff), DecisionPlace, "a/gang"); n != 1 {
		t.Errorf("%d tasks were placed after the backoff, want 1", n)
	}
}

// Guards against work that starts after its deadline because a placement that its worker
// refused counts as a start.
func TestRefusedPlacementIsNoStart(t *testing.T) {
	for _, refusedAfter := range []bool{false, true} {
		d := newTestDriver(t, 1, "a")
		j := testJob("a", "j", api.ClassBatch, 1, 4)
		j.Deadline = d.now.Add(time.Minute)
		d.submitJob(j)
		out := d.Schedule(d.now, 1000)
		if countDecisions(out, DecisionPlace, "a/j") != 1 {
			t.Fatalf("got %+v, want one placement", out)
		}
		late := j.Deadline.Add(time.Second)
		if refusedAfter {
			d.Schedule(late, 1000)
			d.TaskExited("a/j/0", 1, OutcomeRefused, late)
		} else {
			d.TaskExited("a/j/0", 1, OutcomeRefused, d.now)
		}
		out = d.Schedule(late.Add(time.Minute), 1000)
		if countDecisions(out, DecisionPlace, "a/j") != 0 || countDecisions(out, DecisionFailJob, "a/j") != 1 {
			t.Errorf("refused after the deadline %v: got %+v, want only the failure of the job", refusedAfter, out)
		}
	}
}

// Guards against a takeover that fails a job which was started before its deadline.
func TestTakeoverKeepsAJobStartedBeforeItsDeadline(t *testing.T) {
	d := newTestDriver(t, 1, "a")
	j := testJob("a", "j", api.ClassBatch, 1, 4)
	j.Deadline = d.now.Add(-time.Minute)
	if err := d.RestoreJob(j, d.now); err != nil {
		t.Fatal(err)
	}
	if err := d.RestoreTask("a/j/0", "vm-0000", 1, api.TaskStatePending, j.Deadline.Add(-time.Minute)); err != nil {
		t.Fatal(err)
	}
	out := d.runPass(time.Second)
	if countDecisions(out, DecisionFailJob, "a/j") != 0 || countDecisions(out, DecisionPlace, "a/j") != 1 {
		t.Errorf("got %+v, want the second attempt", out)
	}
}

// Guards against a gang that never restarts because a member does not write its
// checkpoint.
func TestCheckpointsOfARestartingGangTimeOut(t *testing.T) {
	d := newTestDriver(t, 2, "a")
	j := testJob("a", "gang", api.ClassGang, 2, 4)
	j.Checkpointable = true
	d.submitJob(j)
	d.runPass(0)
	d.exitTask("a/gang/0", OutcomeLost)
	if n := countDecisions(d.runPass(time.Second), DecisionCheckpoint, "a/gang"); n != 1 {
		t.Fatalf("%d members were told to write a checkpoint, want 1", n)
	}
	d.endStoppedTasks(d.runPass(d.policy.CheckpointTimeout))
	if n := countDecisions(d.runPass(time.Second), DecisionPlace, "a/gang"); n != 2 {
		t.Errorf("%d members were placed after the checkpoint timed out, want 2", n)
	}
}

// Guards against a task that keeps its VM forever because it does not write the checkpoint
// that an earlier owner asked for.
func TestCheckpointBeforeATakeoverTimesOut(t *testing.T) {
	d := newTestDriver(t, 1, "a")
	j := testJob("a", "j", api.ClassBatch, 1, 4)
	j.Checkpointable = true
	d.submitJob(j)
	if err := d.RestoreTask("a/j/0", "vm-0000", 1, api.TaskStateStopping, d.now); err != nil {
		t.Fatal(err)
	}
	if out := d.runPass(time.Second); len(out) != 0 {
		t.Fatalf("got %+v, want time for the checkpoint", out)
	}
	if n := countDecisions(d.runPass(d.policy.CheckpointTimeout), DecisionStop, "a/j"); n != 1 {
		t.Errorf("the task was stopped %d times after the checkpoint timed out, want once", n)
	}
}
