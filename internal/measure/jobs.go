package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/config"
)

const (
	taskCores     = 250 // thousandths of a core
	taskMemory    = 256 // MiB
	jobPage       = 1000
	startTimeout  = 90 * time.Second
	startInterval = 250 * time.Millisecond
)

// payload asks the stand-in worker for a run time; negative is until stopped.
func payload(run time.Duration) string {
	return fmt.Sprintf(`{"run_ms":%d,"cpu_millis":%d,"memory_mb":%d}`, run.Milliseconds(), taskCores, taskMemory)
}

// submission returns a job of the team that runs for a time, or forever as a
// service if it is negative.
func submission(team, id string, tasks int, run time.Duration) api.JobSubmission {
	queue := BatchQueue
	if run < 0 {
		queue = ServiceQueue
	}
	return api.JobSubmission{
		Id: id, Queue: Queue(team, queue), Tasks: tasks, Payload: payload(run),
		Resources: api.Resources{CpuMillis: taskCores, MemoryMb: taskMemory}, EstimatedRunMs: int(max(run, 0).Milliseconds()),
	}
}

// submitter returns a client with a key of a team.
func (c *Cell) submitter(ctx context.Context, team string) (*client.Client, error) {
	key, err := c.Key(ctx, team)
	if err != nil {
		return nil, err
	}
	owner, err := c.Owner(ctx, config.WorkerPartitionName(Pool))
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Addresses: []string{owner.HTTP}, Key: key, Timeout: callTimeout})
}

// fill starts services with that many tasks in all, tasksPerJob each, and waits
// until they run.
func (c *Cell) fill(ctx context.Context, tasks, tasksPerJob int) error {
	submit, err := c.submitter(ctx, Team(0))
	if err != nil {
		return err
	}
	defer submit.Close()
	for i := 0; i < tasks; i += tasksPerJob {
		job := submission(Team(0), fmt.Sprintf("fill-%d", i), min(tasksPerJob, tasks-i), -time.Second)
		if _, err := submit.SubmitJob(ctx, job); err != nil {
			return errors.Wrap(err, "submit")
		}
	}
	return c.awaitRunning(ctx, tasks)
}

// runJob runs a job whose tasks have random run times, to its end.
func (c *Cell) runJob(ctx context.Context, tasks int) error {
	submit, err := c.submitter(ctx, Team(0))
	if err != nil {
		return err
	}
	defer submit.Close()
	job := submission(Team(0), "spread", tasks, 0)
	job.Payload = fmt.Sprintf(`{"cpu_millis":%d,"memory_mb":%d}`, taskCores, taskMemory)
	if _, err := submit.SubmitJob(ctx, job); err != nil {
		return errors.Wrap(err, "submit")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return c.until(ctx, func() error {
		row, err := submit.Job(ctx, Team(0), job.Id)
		if err == nil && row.State != api.JobStateDone {
			err = errors.Errorf("the job is %s", row.State)
		}
		return err
	})
}

// awaitRunning waits until that many tasks run at the workers.
func (c *Cell) awaitRunning(ctx context.Context, tasks int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		running := c.running()
		if running >= tasks {
			return nil
		}
		if err := pause(ctx, startInterval); err != nil {
			return errors.Errorf("%d of %d tasks run", running, tasks)
		}
	}
}

func (c *Cell) running() int {
	n := 0
	for _, vm := range c.Standins.VMs.Listing().Vms {
		n += len(c.Standins.Worker(vm.Id).Running())
	}
	return n
}

// startDelays returns the times from submission until the owner knew that a task
// runs, of all single-task jobs of a team, in milliseconds.
func (c *Cell) startDelays(ctx context.Context, team string) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigit)
	for after := ""; ; {
		page, err := c.Operator.Jobs(ctx, client.JobQuery{Team: team, After: after, Limit: jobPage})
		if err != nil {
			return nil, errors.Wrap(err, "list jobs")
		}
		for _, row := range page.Jobs {
			if started := row.Tasks[0].StartedUnixMs; started > 0 {
				_ = h.RecordValue(int64(min(max(1, started-row.SubmittedUnixMs), int(maxLatency.Milliseconds())))) // within its range
			}
			after = row.Spec.Id
		}
		if len(page.Jobs) < jobPage {
			return h, nil
		}
	}
}
