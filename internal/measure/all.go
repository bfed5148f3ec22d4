package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
)

// Sizes that stay fixed in a series that varies another size.
const (
	minimalWorkers = 8
	defaultWorkers = 200
	taskWorkers    = 400
	defaultTeams   = 8
	defaultNodes   = 3
	tasksPerJob    = 100
	tasksPerWorker = 16
	requestSlots   = 8
	requestVMs     = 36
	shortRunTime   = 2 * time.Second
	settlingTime   = 2 * time.Second // wait before a measurement, for the load to settle
	applyRepeats   = 10
	millisPerSec   = 1000
	medianQuantile = 50
	tailQuantile   = 99
)

var (
	ownerCPU          = Metric{"owner cpu", "% of a core"}
	ownerMemory       = Metric{"owner memory", "MiB"}
	nodeCPU           = Metric{"node cpu", "% of a core"}
	nodeMemory        = Metric{"node memory", "MiB"}
	nodePeerTraffic   = Metric{"node peer traffic", "B/s"}
	nodeStoreTraffic  = Metric{"node store traffic", "B/s"}
	nodeVMListTraffic = Metric{"node VM list traffic", "B/s"}
	workerTraffic     = Metric{"worker traffic", "B/s"}
	storeWrites       = Metric{"store writes", "1/s"}
	storeReads        = Metric{"store reads", "1/s"}
	ownerStoreTraffic = Metric{"owner store traffic", "B/s"}
	startDelayP50     = Metric{"start delay p50", "ms"}
	startDelayP99     = Metric{"start delay p99", "ms"}
	applyTime         = Metric{"apply until confirmed", "ms"}
	documentSize      = Metric{"configuration document", "B"}
)

// AllSeries returns all series in the order in which they are run.
func AllSeries() []Series {
	return []Series{
		{
			Name: "members", Size: "nodes", Sizes: []float64{3, 6, 9, 12, 16}, Target: 16, run: measureMembers,
			Metrics: []Metric{nodeCPU, nodeMemory, nodePeerTraffic, nodeStoreTraffic, storeWrites, storeReads, applyTime},
		},
		{
			Name: "workers", Size: "workers", Sizes: []float64{200, 400, 800, 1200, 1600}, Target: 1600, run: measureWorkers,
			Metrics: []Metric{ownerCPU, ownerMemory, nodeCPU, nodeMemory, nodeVMListTraffic, workerTraffic},
		},
		{
			Name: "tasks", Size: "running tasks", Sizes: []float64{1600, 3200, 6400, 12800, 25600}, Target: 26000, run: measureTasks,
			Metrics: []Metric{ownerCPU, ownerMemory, workerTraffic, storeWrites},
		},
		{
			Name: "fleet", Size: "workers with 16 tasks each", Sizes: []float64{200, 400, 800, 1600}, Target: 1600, run: measureFleet,
			Metrics: []Metric{ownerCPU, ownerMemory, workerTraffic},
		},
		{
			Name: "starts", Size: "task starts a second", Sizes: []float64{25, 50, 100, 200, 300}, Target: 300, run: measureStarts,
			Metrics: []Metric{ownerCPU, ownerStoreTraffic, storeWrites, storeReads, startDelayP50, startDelayP99},
		},
		{
			Name: "job-size", Size: "tasks of one job", Sizes: []float64{32, 64, 128, 256, 512}, Target: 512, run: measureJobSize,
			Metrics: []Metric{{"store bytes per task", "B"}, {"row writes per task", "1"}},
		},
		{
			Name: "teams", Size: "teams", Sizes: []float64{10, 20, 40, 80, 160}, Target: 80, run: measureTeams,
			Metrics: []Metric{documentSize, applyTime, {"store bytes per change", "B"}, {"peer bytes per change", "B"}, {"node cpu per change", "ms"}, nodeMemory},
		},
		{
			Name: "partitions", Size: "executor partitions", Sizes: []float64{4, 8, 16, 32}, Target: 12, run: measurePartitions,
			Metrics: []Metric{nodeCPU, nodeMemory, nodePeerTraffic, nodeStoreTraffic},
		},
		{
			Name: "requests", Size: "requests a second", Sizes: []float64{250, 500, 1000, 2000, 3000}, Target: 2000, run: measureRequests(RequestQueue),
			Metrics: []Metric{nodeCPU, nodeMemory, nodePeerTraffic, storeWrites},
		},
		{
			Name: "once", Size: "non-idempotent requests a second", Sizes: []float64{50, 100, 200, 400}, Target: 200, run: measureRequests(NonIdempotentQueue),
			Metrics: []Metric{nodeCPU, nodeMemory, nodePeerTraffic, storeWrites},
		},
	}
}

// start starts a cell whose nodes are processes and waits until its load has
// settled.
func (rc *RunConfig) start(ctx context.Context, shape Shape, nodes int) (*Cell, error) {
	c, err := Start(ctx, Options{Shape: shape, Nodes: nodes, Program: rc.Program})
	if err != nil {
		return nil, err
	}
	return c, sleep(ctx, settlingTime)
}

func measureMembers(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	c, err := rc.start(ctx, Shape{Workers: minimalWorkers, Teams: 1}, int(size))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	s, err := c.Sample(ctx, rc.Window, nil)
	if err != nil {
		return nil, err
	}
	took, err := c.meanApplyTime(ctx)
	n := s.Mean(nil)
	// Each peer connection is counted at only one of its two nodes.
	return []float64{n.CPU, n.Resident, 2 * n.PeerBytes, n.StoreBytes, s.Writes, s.Reads, took}, err
}

// meanApplyTime applies applyRepeats changes of the configuration and returns the
// mean time in milliseconds until a change is in force on all nodes.
func (c *Cell) meanApplyTime(ctx context.Context) (float64, error) {
	began := time.Now()
	for i := range applyRepeats {
		changed := c.Config
		changed.Teams = append([]api.Team(nil), c.Config.Teams...)
		changed.Teams[0].Share = 1 + i
		if err := c.Apply(ctx, changed); err != nil {
			return 0, errors.Wrap(err, "apply a changed configuration")
		}
	}
	return float64(time.Since(began).Milliseconds()) / applyRepeats, nil
}

func measureWorkers(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	c, err := rc.start(ctx, Shape{Workers: int(size), Teams: defaultTeams}, defaultNodes)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	s, owner, err := c.sampleOwner(ctx, rc.Window, nil)
	if err != nil {
		return nil, err
	}
	own, others := s.ForNode(owner), s.Mean(owner)
	return []float64{own.CPU, own.Resident, others.CPU, others.Resident, others.VMListBytes, s.WorkerBytes}, nil
}

// sampleOwner samples the cell. It also returns the node that owned the worker
// partition at the start.
func (c *Cell) sampleOwner(ctx context.Context, window time.Duration, during func(context.Context) error) (Sample, *Node, error) {
	owner, err := c.Owner(ctx, config.WorkerPartitionName(Pool))
	if err != nil {
		return Sample{}, nil, err
	}
	s, err := c.Sample(ctx, window, during)
	return s, owner, err
}

func measureTasks(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	c, err := rc.start(ctx, Shape{Workers: taskWorkers, Teams: defaultTeams}, defaultNodes)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.startServices(ctx, int(size), tasksPerJob); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*settlingTime); err != nil { // until the rows of the started tasks are written
		return nil, err
	}
	s, owner, err := c.sampleOwner(ctx, rc.Window, nil)
	own := s.ForNode(owner)
	return []float64{own.CPU, own.Resident, s.WorkerBytes, s.Writes}, err
}

// measureFleet varies workers and tasks together, as they grow in a real cell.
func measureFleet(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	c, err := rc.start(ctx, Shape{Workers: int(size), Teams: defaultTeams}, defaultNodes)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.startServices(ctx, int(size)*tasksPerWorker, tasksPerJob); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*settlingTime); err != nil {
		return nil, err
	}
	s, owner, err := c.sampleOwner(ctx, rc.Window, nil)
	own := s.ForNode(owner)
	return []float64{own.CPU, own.Resident, s.WorkerBytes}, err
}

func measureStarts(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	c, err := rc.start(ctx, Shape{Workers: defaultWorkers, Teams: defaultTeams}, defaultNodes)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	teamClient, err := c.teamClient(ctx, Team(0))
	if err != nil {
		return nil, err
	}
	defer teamClient.Close()
	var submitErr error
	s, owner, err := c.sampleOwner(ctx, rc.Window, func(ctx context.Context) error {
		o := RunOpenLoop(ctx, size, rc.Window, callTimeout, func(ctx context.Context, n int) error {
			_, err := teamClient.SubmitJob(ctx, jobSubmission(Team(0), fmt.Sprintf("start-%06d", n), 1, shortRunTime))
			return err
		})
		submitErr = o.FirstErr
		return nil
	})
	if err != nil || submitErr != nil {
		return nil, errors.Wrap(firstError(err, submitErr), "sample the cell while jobs are submitted")
	}
	if err := sleep(ctx, settlingTime); err != nil {
		return nil, err
	}
	delays, err := c.startDelays(ctx, Team(0))
	if err != nil {
		return nil, err
	}
	own := s.ForNode(owner)
	return []float64{own.CPU, own.StoreBytes, s.Writes, s.Reads,
		float64(delays.ValueAtQuantile(medianQuantile)), float64(delays.ValueAtQuantile(tailQuantile))}, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// measureJobSize runs one job whose tasks end at different times, so that its row is
// rewritten for most of them.
func measureJobSize(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	c, err := rc.start(ctx, Shape{Workers: defaultWorkers, Teams: 1}, defaultNodes)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	owner, err := c.Owner(ctx, config.WorkerPartitionName(Pool))
	if err != nil {
		return nil, err
	}
	idle, err := c.Sample(ctx, rc.Window, nil)
	if err != nil {
		return nil, err
	}
	began, writes := time.Now(), c.Standins.Table.Counts().Commits
	before := owner.StoreTraffic.Read()
	if err := c.runJobToEnd(ctx, int(size)); err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	bytes := owner.StoreTraffic.Read().Bytes(before) - idle.ForNode(owner).StoreBytes*seconds
	wrote := float64(c.Standins.Table.Counts().Commits-writes) - idle.Writes*seconds
	return []float64{bytes / size, wrote / size}, nil
}

func measureTeams(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	c, err := rc.start(ctx, Shape{Workers: minimalWorkers, Teams: int(size)}, defaultNodes)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	idle, err := c.Sample(ctx, rc.Window, nil)
	if err != nil {
		return nil, err
	}
	encoded, err := config.Encode(c.Config)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	var took float64
	s, err := c.Sample(ctx, 0, func(ctx context.Context) error {
		took, err = c.meanApplyTime(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	secondsPerChange := time.Since(began).Seconds() / applyRepeats
	a, b := s.Mean(nil), idle.Mean(nil)
	return []float64{float64(len(encoded)), took,
		max(0, a.StoreBytes-b.StoreBytes) * secondsPerChange, 2 * max(0, a.PeerBytes-b.PeerBytes) * secondsPerChange,
		(a.CPU - b.CPU) / percent * secondsPerChange * millisPerSec, a.Resident}, nil
}

func measurePartitions(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
	shape := Shape{Workers: int(size) * config.ExecutorsPerPartition, Slots: requestSlots, Teams: 1}
	c, err := rc.start(ctx, shape, defaultNodes)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if got := c.Config.Pools[0].ExecutorPartitions; got != int(size) {
		return nil, errors.Errorf("the configuration has %d executor partitions", got)
	}
	s, err := c.Sample(ctx, rc.Window, nil)
	if err != nil {
		return nil, err
	}
	n := s.Mean(nil)
	return []float64{n.CPU, n.Resident, 2 * n.PeerBytes, n.StoreBytes}, nil
}

func measureRequests(queue string) func(context.Context, *RunConfig, float64) ([]float64, error) {
	return func(ctx context.Context, rc *RunConfig, size float64) ([]float64, error) {
		c, err := rc.start(ctx, Shape{Workers: requestVMs, Slots: requestSlots, Teams: 1}, defaultNodes)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		caller, err := c.NewCaller(ctx, Team(0), queue)
		if err != nil {
			return nil, err
		}
		defer caller.Close()
		send := func(ctx context.Context, n int) error {
			return caller.Send(ctx, n, []byte(`{"answer_bytes":200}`), time.Time{})
		}
		RunOpenLoop(ctx, size, settlingTime, callTimeout, send) // warm-up: opens the connections
		var o LoadOutcome
		s, err := c.Sample(ctx, rc.Window, func(ctx context.Context) error {
			o = RunOpenLoop(ctx, size, rc.Window, callTimeout, send)
			return nil
		})
		if err := firstError(err, o.FirstErr); err != nil {
			return nil, err
		}
		n := s.Mean(nil)
		return []float64{n.CPU, n.Resident, 2 * n.PeerBytes, s.Writes}, nil
	}
}
