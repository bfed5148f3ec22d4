package jobs

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// cluster is a set of nodes that can own one worker partition of four VMs.
type cluster struct {
	records *fakeRecords
	workers *fakeWorkers
	nodes   map[string]*node
	ledger  Ledger
	epoch   int
	owner   string
}

type node struct {
	*Partition
	leadership *fakeLeadership
}

func newCluster(run time.Duration) *cluster {
	return &cluster{records: newFakeRecords(), workers: newFakeWorkers(run), ledger: unlimitedLedger{}, nodes: map[string]*node{}}
}

func (c *cluster) startNode(incarnation string) *node {
	leadership := &fakeLeadership{cannotLead: map[string]bool{}}
	p := New(Options{
		Partition: "desk-workers", Records: c.records, Workers: c.workers.clientOf(incarnation),
		Ledger: c.ledger, Leadership: leadership, Clock: testClock{}, Logger: log.NewNopLogger(),
	})
	p.SetConfig(&api.Configuration{Teams: []api.Team{{Name: "gallery", Share: 1, Limit: unlimitedLedger{}.Allotment("")}}})
	p.SetFleet(testFleet())
	c.nodes[incarnation] = &node{p, leadership}
	return c.nodes[incarnation]
}

func testFleet() []api.VM {
	var vms []api.VM
	for i := range 4 {
		vms = append(vms, api.VM{
			Id: fmt.Sprintf("vm-%d", i), Rack: fmt.Sprintf("rack-%d", i/2), FailureDomain: "fd-1", State: api.VMStateLive,
			Capacity: api.Resources{CpuMillis: 4000, MemoryMb: 8000, Slots: 8}, WorkerAddress: "127.0.0.1:1",
		})
	}
	return vms
}

// acquire makes the node the owner, as after a takeover from the current owner.
func (c *cluster) acquire(incarnation string) {
	c.epoch++
	lease := c.records.lease(incarnation, c.owner, c.epoch)
	c.owner = incarnation
	c.nodes[incarnation].Acquire(lease)
}

// withOwner runs a test in a synctest bubble with one node, which owns the
// partition and whose tasks run for the given time.
func withOwner(t *testing.T, run time.Duration, test func(t *testing.T, c *cluster, n *node)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(run)
		n := c.startNode("a")
		defer c.close()
		c.acquire("a")
		time.Sleep(time.Second)
		test(t, c, n)
	})
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Close()
	}
}

func spec(id string, tasks int) api.JobSpec {
	return api.JobSpec{
		Id: id, Team: "gallery", Queue: "gallery.cuts", Class: api.ClassBatch, Urgency: api.UrgencyNormal,
		Tasks: tasks, Resources: api.Resources{CpuMillis: 1000, MemoryMb: 1000}, MaxAttempts: 50,
	}
}

func (n *node) submit(s api.JobSpec) (*api.JobRow, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return n.SubmitJob(ctx, &api.SubmitJobRequest{Partition: "desk-workers", Spec: s})
}

// waitFor advances the fake time until done returns true, for at most one fake
// minute.
func waitFor(t interface{ Fatalf(string, ...any) }, what string, done func() bool) {
	for range 600 {
		if done() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s: not reached within a minute", what)
}

// Guards against lost or repeated tasks of a job without faults.
func TestJobRunsToItsEnd(t *testing.T) {
	withOwner(t, 2*time.Second, func(t *testing.T, c *cluster, n *node) {
		if _, err := n.submit(spec("cut-1", 20)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "job done", func() bool { return c.records.state("gallery/cut-1") == api.JobStateDone })
		if c.workers.startCount() != 20 {
			t.Errorf("20 tasks were started %d times", c.workers.startCount())
		}
		if diff := cmp.Diff([]string(nil), c.workers.violationList()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a demand that omits what is in use: the allotment would then
// never cover the pending tasks.
func TestDemandCoversRunningAndWaitingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Hour)
		c.ledger = &demandLedger{held: map[string]api.Resources{}}
		n := c.startNode("a")
		defer c.close()
		c.acquire("a")
		time.Sleep(time.Second)
		for i := range 4 {
			if _, err := n.submit(spec(fmt.Sprintf("cut-%d", i), 4)); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "tasks running", func() bool { return c.workers.running() == 4*(i+1) })
		}
	})
}

// Guards against a takeover that restarts running tasks (hard case 5), and
// against an old owner that continues after the takeover (hard case 3).
func TestTakeoverAdoptsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(20 * time.Second)
		a, b := c.startNode("a"), c.startNode("b")
		defer c.close()
		c.acquire("a")
		time.Sleep(time.Second)
		if _, err := a.submit(spec("cut-1", 8)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "tasks running", func() bool { return c.workers.running() == 8 })
		c.acquire("b") // a is not told and continues
		time.Sleep(3 * time.Second)
		if _, err := b.submit(spec("cut-2", 8)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "jobs done", func() bool {
			return c.records.state("gallery/cut-1") == api.JobStateDone && c.records.state("gallery/cut-2") == api.JobStateDone
		})
		if c.workers.startCount() != 16 {
			t.Errorf("16 tasks were started %d times", c.workers.startCount())
		}
		if diff := cmp.Diff([]string(nil), c.workers.violationList()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against starting a task elsewhere while the previous owner,
// partitioned together with a worker, may still renew its lease.
func TestTasksOnUnfencedWorkerWaitForLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(90 * time.Second)
		a, b := c.startNode("a"), c.startNode("b")
		defer c.close()
		c.acquire("a")
		time.Sleep(time.Second)
		if _, err := a.submit(spec("cut-1", 4)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "tasks running", func() bool { return c.workers.running() == 4 })
		for i := range 4 {
			c.workers.setDisconnected(fmt.Sprintf("b vm-%d", i), true)
		}
		c.acquire("b")
		time.Sleep(40 * time.Second)
		if c.workers.startCount() != 4 {
			t.Fatalf("4 tasks were started %d times while the previous owner renewed their leases", c.workers.startCount())
		}
		a.leadership.setLost(true)
		b.leadership.setCannotLead("a")
		for i := range 4 {
			vm := fmt.Sprintf("vm-%d", i)
			c.workers.setDisconnected("b "+vm, c.workers.taskCount(vm) > 0)
		}
		waitFor(t, "tasks placed again", func() bool { return c.workers.startCount() > 4 })
		if diff := cmp.Diff([]string(nil), c.workers.violationList()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a repeated submission that creates a second job, or is refused
// as a conflict after a lost response (hard case 4), and against using an ID
// for two jobs.
func TestSubmissionIsIdempotent(t *testing.T) {
	withOwner(t, time.Second, func(t *testing.T, c *cluster, n *node) {
		c.records.loseNextAnswer()
		if _, err := n.submit(spec("cut-1", 1)); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Fatalf("lost answer: got %v, want outcome_unknown", err)
		}
		if _, err := n.submit(spec("cut-1", 1)); err != nil {
			t.Fatalf("repeated submission: %v", err)
		}
		if _, err := n.submit(spec("cut-1", 2)); !errkind.Is(err, errkind.RequestIDConflict) {
			t.Fatalf("other specification: got %v, want request_id_conflict", err)
		}
		waitFor(t, "job done", func() bool { return c.records.state("gallery/cut-1") == api.JobStateDone })
		if _, err := n.submit(spec("cut-1", 1)); err != nil {
			t.Fatalf("submission of a finished job: %v", err)
		}
		if c.workers.startCount() != 1 {
			t.Errorf("one task was started %d times", c.workers.startCount())
		}
	})
}

// Guards against reporting a job as refused that runs later (hard case 1: the
// table service is down).
func TestOutageRefusesJobsTruthfully(t *testing.T) {
	withOwner(t, time.Second, func(t *testing.T, c *cluster, n *node) {
		c.records.setDown(true)
		// The second submission arrives while the first is being stored.
		errs := make(chan error, 2)
		for range cap(errs) {
			go func() {
				_, err := n.submit(spec("cut-1", 1))
				errs <- err
			}()
		}
		for range cap(errs) {
			if err := <-errs; !errkind.Is(err, errkind.StoreUnavailable) {
				t.Fatalf("got %v, want store_unavailable", err)
			}
		}
		c.records.setDown(false)
		time.Sleep(10 * time.Second)
		if c.workers.startCount() != 0 {
			t.Error("a refused job was started")
		}
		// The refused job was placed; its capacity and its ID must be free again.
		if _, err := n.submit(spec("cut-1", 16)); err != nil {
			t.Fatalf("submission after the outage: %v", err)
		}
		waitFor(t, "job done", func() bool { return c.records.state("gallery/cut-1") == api.JobStateDone })
	})
}

// Guards against telling a worker to forget the end of an attempt after the
// next attempt has ended there: the task would be counted as lost repeatedly.
func TestShortAttemptsOnOneVMAreNotLost(t *testing.T) {
	withOwner(t, 50*time.Millisecond, func(t *testing.T, c *cluster, n *node) {
		n.SetFleet(testFleet()[:1])
		c.workers.failFirst = 2
		if _, err := n.submit(spec("cut-1", 1)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "job done", func() bool { return c.records.state("gallery/cut-1") == api.JobStateDone })
		if starts := c.workers.startCount(); starts != 3 {
			t.Errorf("%d attempts, want 3", starts)
		}
	})
}

// Guards against short pages of a filtered list before its end.
func TestListFiltersWholePages(t *testing.T) {
	withOwner(t, time.Second, func(t *testing.T, c *cluster, n *node) {
		for i := range 8 {
			if _, err := n.submit(spec(fmt.Sprintf("cut-%d", i), 1)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		if _, err := n.submit(spec("cut-9", 1)); err != nil {
			t.Fatal(err)
		}
		for state, want := range map[string]int{"": 9, "done": 8, "failed": 0} {
			list, err := n.ListJobs(t.Context(), &api.ListJobsRequest{Team: "gallery", State: state, Limit: 100})
			if err != nil || len(list.Jobs) != want {
				t.Errorf("state %q: %d jobs, %v; want %d", state, len(list.Jobs), err, want)
			}
		}
	})
}

// Guards against records of finished jobs that accumulate under a long-lived
// owner, and against deleting records too early.
func TestOldRecordsArePurged(t *testing.T) {
	withOwner(t, time.Second, func(t *testing.T, c *cluster, n *node) {
		if _, err := n.submit(spec("cut-1", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(finishedRetention / 2)
		if state := c.records.state("gallery/cut-1"); state != api.JobStateDone {
			t.Fatalf("the record is %q after half the retention", state)
		}
		time.Sleep(finishedRetention/2 + 2*purgeInterval)
		if state := c.records.state("gallery/cut-1"); state != "" {
			t.Errorf("the record is still there, %q", state)
		}
	})
}

// Guards against a cancellation that leaves tasks running or never completes.
func TestCancelStopsTasks(t *testing.T) {
	withOwner(t, time.Hour, func(t *testing.T, c *cluster, n *node) {
		if _, err := n.submit(spec("cut-1", 30)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "tasks running", func() bool { return c.workers.running() > 0 })
		if _, err := n.CancelJob(context.Background(), &api.JobRef{Team: "gallery", Id: "cut-1"}); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "job canceled", func() bool { return c.records.state("gallery/cut-1") == api.JobStateCanceled })
		if c.workers.running() != 0 {
			t.Errorf("%d tasks still run", c.workers.running())
		}
	})
}

// fault is one step of a random fault sequence.
type fault struct {
	kind    int // 0: takeover, 1: worker connection, 2: table service, 3: lost response
	owner   string
	vm      string
	on      bool // the worker is disconnected, or the table service is down
	pauseMs int
}

func drawFaults(rt *rapid.T, owners []string) []fault {
	faults := make([]fault, rapid.IntRange(3, 15).Draw(rt, "faults"))
	for i := range faults {
		faults[i] = fault{
			kind:    rapid.IntRange(0, 3).Draw(rt, "kind"),
			owner:   rapid.SampledFrom(owners).Draw(rt, "owner"),
			vm:      fmt.Sprintf("vm-%d", rapid.IntRange(0, 3).Draw(rt, "vm")),
			on:      rapid.Bool().Draw(rt, "on"),
			pauseMs: rapid.IntRange(0, 9000).Draw(rt, "pauseMs"),
		}
	}
	return faults
}

// Guards against overfilled VMs, tasks that run in two places and jobs that
// never end, under random takeovers, disconnected workers, outages of the table
// service and lost responses. rapid prints the seed of a failure.
func TestTasksRunInOnePlaceUnderFaults(t *testing.T) {
	owners := []string{"a", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, owners)
		var problem string
		synctest.Test(t, func(*testing.T) { problem = runFaults(owners, faults) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// runFaults runs a fault sequence and returns a description of the failure, or
// an empty string.
func runFaults(owners []string, faults []fault) string {
	c := newCluster(8 * time.Second)
	defer c.close()
	for _, name := range owners {
		c.startNode(name)
	}
	c.acquire("a")
	time.Sleep(time.Second)
	for i := range 3 {
		if _, err := c.nodes["a"].submit(spec(fmt.Sprintf("cut-%d", i), 6)); err != nil {
			return err.Error()
		}
	}
	for _, f := range faults {
		c.apply(f)
		time.Sleep(time.Duration(f.pauseMs) * time.Millisecond)
	}
	for i := range 4 {
		c.workers.setDisconnected(fmt.Sprintf("vm-%d", i), false)
	}
	c.records.setDown(false)
	time.Sleep(3 * time.Minute)
	for i := range 3 {
		if state := c.records.state(fmt.Sprintf("gallery/cut-%d", i)); state != api.JobStateDone {
			return fmt.Sprintf("job cut-%d is %s", i, state)
		}
	}
	return cmp.Diff([]string(nil), c.workers.violationList())
}

func (c *cluster) apply(f fault) {
	switch f.kind {
	case 0:
		if f.owner != c.owner {
			c.nodes[f.owner].leadership.setCannotLead(c.owner)
			c.nodes[c.owner].leadership.setLost(true)
			c.nodes[f.owner].leadership.setLost(false)
			c.acquire(f.owner)
		}
	case 1:
		c.workers.setDisconnected(f.vm, f.on)
	case 2:
		c.records.setDown(f.on)
	case 3:
		c.records.loseNextAnswer()
	}
}

// Guards against tasks that are never restarted because the VM list of the new
// owner has never contained their VM, and against restarting them too early.
func TestTasksOnUnlistedVMAreRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Hour)
		a, b := c.startNode("a"), c.startNode("b")
		defer c.close()
		c.acquire("a")
		time.Sleep(time.Second)
		if _, err := a.submit(spec("cut-1", 12)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "tasks running", func() bool { return c.workers.running() == 12 })
		lost := slices.IndexFunc(testFleet(), func(vm api.VM) bool { return c.workers.taskCount(vm.Id) > 0 })
		b.SetFleet(slices.Delete(testFleet(), lost, lost+1))
		b.leadership.setCannotLead("a")
		c.acquire("b")
		waitFor(t, "tasks placed again", func() bool { return c.workers.startCount() > 12 && c.workers.running() == 12 })
		if diff := cmp.Diff([]string(nil), c.workers.violationList()); diff != "" {
			t.Error(diff)
		}
	})
}
