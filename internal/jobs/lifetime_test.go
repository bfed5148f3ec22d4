package jobs

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/scheduler"
)

// schedulerVMs returns the VMs that the scheduler of a node knows, by ID.
func schedulerVMs(t *testing.T, n *node) map[string]scheduler.VMSnapshot {
	t.Helper()
	dump, err := n.Dump(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	vms := map[string]scheduler.VMSnapshot{}
	for _, vm := range dump.Scheduler.VMs {
		vms[vm.ID] = vm
	}
	return vms
}

// Guards against an answer of a removed worker that adds its VM to the scheduler again,
// or closes the VM after it came back.
func TestAnswerOfARemovedWorkerIsIgnored(t *testing.T) {
	const lateAnswer = 1500 * time.Millisecond
	for _, back := range []bool{false, true} {
		t.Run(fmt.Sprintf("VM comes back %v", back), func(t *testing.T) {
			withOwner(t, time.Second, func(t *testing.T, c *cluster, n *node) {
				fleet := testFleet()
				added := fleet[0]
				added.Id = "vm-9"
				c.workers.setDelay(added.Id, lateAnswer)
				n.SetFleet(append(fleet, added))
				time.Sleep(100 * time.Millisecond) // the first call is in flight
				n.SetFleet(fleet)
				time.Sleep(100 * time.Millisecond)
				if _, ok := schedulerVMs(t, n)[added.Id]; ok {
					t.Fatal("the VM was not removed")
				}
				c.workers.setDelay(added.Id, 0)
				if back {
					n.SetFleet(append(fleet, added))
				}
				time.Sleep(2 * lateAnswer)
				vm, ok := schedulerVMs(t, n)[added.Id]
				if ok != back || vm.TakesWork != back {
					t.Errorf("known %v, takes work %v", ok, vm.TakesWork)
				}
			})
		})
	}
}

// Guards against a task that is never throttled because the call with the command was
// lost.
func TestLostThrottleIsSentAgain(t *testing.T) {
	withOwner(t, time.Hour, func(t *testing.T, c *cluster, n *node) {
		n.SetFleet(testFleet()[:1])
		if _, err := n.submit(spec("cut-1", 4)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "tasks running", func() bool { return c.workers.running() == 4 })
		c.workers.loseNextThrottle()
		c.workers.setUsagePercent(150)
		time.Sleep(4 * time.Second)
		want := scheduler.DefaultPolicy().ThrottlePercent
		if got := c.workers.throttle("gallery/cut-1/0"); got != want {
			t.Errorf("throttled to %d%%, want %d%%", got, want)
		}
	})
}

// Guards against the lost end of an attempt, and so a task that runs again, because the
// worker was told to forget the task after its next attempt was queued.
func TestReportOfAnEarlierAttemptKeepsTheNextOne(t *testing.T) {
	withOwner(t, time.Second, func(t *testing.T, _ *cluster, n *node) {
		const id = "gallery/cut-1/0"
		var sent api.WorkerSync
		err := n.runAndWait(t.Context(), func() {
			w := n.owner.workers["vm-0"]
			w.starts[id] = api.TaskStart{TaskId: id, Attempt: 2}
			n.owner.handleUnmatchedReport(w, api.TaskReport{TaskId: id, Attempt: 1, State: api.TaskReportStateStopped}, nil, 0)
			n.owner.addCommands(w, &sent)
			delete(w.starts, id)
		})
		if err != nil {
			t.Fatal(err)
		}
		if len(sent.Starts) != 1 || len(sent.Forget) != 0 {
			t.Errorf("%d starts and %d tasks to forget, want one start only", len(sent.Starts), len(sent.Forget))
		}
	})
}

// withdrawingLedger grants what is wanted within a limit. As in package quota, only a
// report of the demand lowers the allotment.
type withdrawingLedger struct {
	demandLedger
	limit api.Resources
}

func (l *withdrawingLedger) ReportDemand(team string, _, wanted api.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[team] = api.Resources{
		CpuMillis: min(wanted.CpuMillis, l.limit.CpuMillis),
		MemoryMb:  min(wanted.MemoryMb, l.limit.MemoryMb),
	}
}

func (l *withdrawingLedger) setLimit(limit api.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Guards against the tasks of a team that was removed from the configuration, which run
// forever because its allotment is never returned.
func TestTasksOfARemovedTeamAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &withdrawingLedger{demandLedger: demandLedger{held: map[string]api.Resources{}}, limit: unlimitedLedger{}.Allotment("")}
		c := newCluster(time.Hour)
		c.ledger = ledger
		n := c.startNode("a")
		defer c.close()
		c.acquire("a")
		time.Sleep(time.Second)
		if _, err := n.submit(spec("cut-1", 4)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "tasks running", func() bool { return c.workers.running() == 4 })
		n.SetConfig(&api.Configuration{Teams: []api.Team{{Name: "other", Share: 1}}})
		ledger.setLimit(api.Resources{})
		waitFor(t, "tasks stopped", func() bool { return c.workers.running() == 0 })
	})
}

// Guards against a write that conflicts with the record that the same owner stored in a
// write whose answer was lost.
func TestRecordWithUnknownOutcomeIsReadFirst(t *testing.T) {
	withOwner(t, time.Second, func(t *testing.T, c *cluster, n *node) {
		c.records.loseNextAnswer()
		if _, err := n.submit(spec("cut-1", 1)); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Fatalf("lost answer: got %v, want outcome_unknown", err)
		}
		waitFor(t, "job done", func() bool { return c.records.state("gallery/cut-1") == api.JobStateDone })
		if n := c.records.conflictCount(); n != 0 {
			t.Errorf("%d writes conflicted with the stored record", n)
		}
	})
}

// Guards against tasks that are placed on a draining worker because the VM list, which
// lags, was read again, and against a worker that stays closed after it has drained.
func TestVMListKeepsADrainingWorkerClosed(t *testing.T) {
	withOwner(t, time.Second, func(t *testing.T, c *cluster, n *node) {
		for _, draining := range []bool{true, false} {
			c.workers.setDraining("vm-0", draining)
			time.Sleep(2 * syncInterval)
			n.SetFleet(testFleet())
			if vm := schedulerVMs(t, n)["vm-0"]; vm.TakesWork == draining {
				t.Errorf("draining %v: the VM is %s, takes work %v", draining, vm.State, vm.TakesWork)
			}
		}
	})
}
