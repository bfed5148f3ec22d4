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
	taskCPUMillis       = 250 // thousandths of a core
	taskMemoryMiB       = 256
	jobPageSize         = 1000
	jobTimeout          = 90 * time.Second // until submitted tasks are running, or a job is done
	runningPollInterval = 250 * time.Millisecond
)

// taskPayload returns a payload that sets the run time and usage of a task in the
// stand-in worker. A task with a negative run time runs until it is stopped.
func taskPayload(run time.Duration) string {
	return fmt.Sprintf(`{"run_ms":%d,"cpu_millis":%d,"memory_mb":%d}`, run.Milliseconds(), taskCPUMillis, taskMemoryMiB)
}

// jobSubmission returns a batch job whose tasks run for the given time, or a service
// if the time is negative.
func jobSubmission(team, id string, tasks int, run time.Duration) api.JobSubmission {
	queue := BatchQueue
	if run < 0 {
		queue = ServiceQueue
	}
	return api.JobSubmission{
		Id: id, Queue: Queue(team, queue), Tasks: tasks, Payload: taskPayload(run),
		Resources: api.Resources{CpuMillis: taskCPUMillis, MemoryMb: taskMemoryMiB}, EstimatedRunMs: int(max(run, 0).Milliseconds()),
	}
}

// teamClient returns a client with a new key of a team. It calls the owner of the
// worker partition.
func (c *Cell) teamClient(ctx context.Context, team string) (*client.Client, error) {
	key, err := c.GrantKey(ctx, team)
	if err != nil {
		return nil, err
	}
	owner, err := c.Owner(ctx, config.WorkerPartitionName(Pool))
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Addresses: []string{owner.HTTPAddress}, Key: key, Timeout: callTimeout})
}

// startServices submits services of jobSize tasks each, tasks in total, and waits
// until all tasks are running.
func (c *Cell) startServices(ctx context.Context, tasks, jobSize int) error {
	teamClient, err := c.teamClient(ctx, Team(0))
	if err != nil {
		return err
	}
	defer teamClient.Close()
	for i := 0; i < tasks; i += jobSize {
		job := jobSubmission(Team(0), fmt.Sprintf("fill-%d", i), min(jobSize, tasks-i), -time.Second)
		if _, err := teamClient.SubmitJob(ctx, job); err != nil {
			return errors.Wrap(err, "submit a service")
		}
	}
	return c.awaitRunning(ctx, tasks)
}

// runJobToEnd runs a job whose tasks have random run times and waits until it is
// done.
func (c *Cell) runJobToEnd(ctx context.Context, tasks int) error {
	teamClient, err := c.teamClient(ctx, Team(0))
	if err != nil {
		return err
	}
	defer teamClient.Close()
	job := jobSubmission(Team(0), "spread", tasks, 0)
	job.Payload = fmt.Sprintf(`{"cpu_millis":%d,"memory_mb":%d}`, taskCPUMillis, taskMemoryMiB)
	if _, err := teamClient.SubmitJob(ctx, job); err != nil {
		return errors.Wrap(err, "submit the job")
	}
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	return c.retryUntilDone(ctx, func() error {
		row, err := teamClient.Job(ctx, Team(0), job.Id)
		if err == nil && row.State != api.JobStateDone {
			err = errors.Errorf("the job is %s", row.State)
		}
		return err
	})
}

// awaitRunning waits until at least the given number of tasks run on the workers.
func (c *Cell) awaitRunning(ctx context.Context, tasks int) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		running := c.runningTasks()
		if running >= tasks {
			return nil
		}
		if err := sleep(ctx, runningPollInterval); err != nil {
			return errors.Errorf("%d of %d tasks are running", running, tasks)
		}
	}
}

func (c *Cell) runningTasks() int {
	n := 0
	for _, vm := range c.Standins.VMs.Listing().Vms {
		n += len(c.Standins.Worker(vm.Id).Running())
	}
	return n
}

// startDelays returns the delays in milliseconds from the submission of a job until
// its owner learned that its task was running. The jobs of the team must have one
// task each.
func (c *Cell) startDelays(ctx context.Context, team string) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxLatency.Milliseconds(), latencySigFigs)
	for after := ""; ; {
		page, err := c.OperatorClient.Jobs(ctx, client.JobQuery{Team: team, After: after, Limit: jobPageSize})
		if err != nil {
			return nil, errors.Wrap(err, "list jobs")
		}
		for _, row := range page.Jobs {
			if started := row.Tasks[0].StartedUnixMs; started > 0 {
				_ = h.RecordValue(int64(min(max(1, started-row.SubmittedUnixMs), int(maxLatency.Milliseconds())))) // cannot fail: the value is within the range
			}
			after = row.Spec.Id
		}
		if len(page.Jobs) < jobPageSize {
			return h, nil
		}
	}
}
