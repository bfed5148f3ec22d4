// Package dev runs a whole cell in one process: stand-ins for the platform, several
// nodes and the workload of an example. At the end it checks the guarantees on the
// recorded history.
package dev

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/examples"
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/recorded"
	"github.com/endivehill/endivehill/internal/standin"
)

const (
	readyTimeout         = 30 * time.Second // until the configuration is applied and every partition has an owner
	jobEndTimeout        = 40 * time.Second // until accepted jobs have ended, after the load
	pollInterval         = 500 * time.Millisecond
	progressInterval     = 2 * time.Second
	usageLag             = 2 * time.Second // age of the usage that the stand-in workers report
	listLag              = 2 * time.Second // delay until the stand-in VM list shows a change
	operationTimeout     = 20 * time.Second
	storeWritesPerSecond = 400  // as the platform guarantees
	storeReadsPerSecond  = 2000 // as the platform guarantees
)

// Options configures a run.
type Options struct {
	Example       string
	Nodes         int
	Duration      time.Duration // of the load
	Seed          uint64
	Fault         Fault
	Stay          bool   // keep the cell running after the load until ctx ends
	WriteSettings string // directory to write settings files to; empty for none
	Version       string
	Out           io.Writer
	Logger        log.Logger
}

// ErrViolations means that the checker found violated guarantees.
var ErrViolations = errors.New("the checker found violations")

// devCell is the state of one run.
type devCell struct {
	options     Options
	config      api.Configuration
	workload    api.Workload
	standins    *standin.Cell
	recorder    *history.Recorder
	nodes       *nodeGroup
	operatorKey string
	stats       *stats
	startedAt   time.Time

	operatorClient   *client.Client
	recordedOperator recorded.Operator
}

// Run runs a cell until its load has ended or, with Stay, until ctx ends.
func Run(ctx context.Context, o Options) error {
	c := &devCell{options: o, recorder: history.NewRecorder(), stats: newStats(), operatorKey: "operator-" + rand.Text(), startedAt: time.Now()}
	if err := c.loadExample(); err != nil {
		return err
	}
	var err error
	c.standins, err = standin.NewCell(&c.config, standin.CellOptions{Recorder: c.recorder, Seed: o.Seed, UsageLag: usageLag, ListLag: listLag})
	if err != nil {
		return errors.Wrap(err, "start the stand-ins")
	}
	defer c.standins.Close()
	c.standins.Table.SetFaults(standin.Faults{WritesPerSecond: storeWritesPerSecond, ReadsPerSecond: storeReadsPerSecond})
	c.printf("stand-ins of the platform: %s\n", c.standins.PlatformAddress)
	if o.WriteSettings != "" {
		if err := c.writeSettings(); err != nil {
			return err
		}
	}
	if o.Nodes == 0 {
		c.printf("no nodes are started; stop with Ctrl-C\n")
		<-ctx.Done()
		return nil
	}
	return c.runNodes(ctx)
}

// loadExample reads the configuration and the workload of the example.
func (c *devCell) loadExample() error {
	data, err := examples.Answers(c.options.Example)
	if err != nil {
		return errors.Errorf("example %q does not exist; available are %v", c.options.Example, examples.Names())
	}
	answers, err := config.ParseAnswers(data)
	if err != nil {
		return err
	}
	c.config = config.Generate(answers)
	if data, err = examples.Workload(c.options.Example); err != nil {
		return errors.Wrap(err, "read the workload of the example")
	}
	return document.Decode(data, "Workload", &c.workload)
}

func (c *devCell) operatorHash() string {
	sum := sha256.Sum256([]byte(c.operatorKey))
	return hex.EncodeToString(sum[:])
}

func (c *devCell) printf(format string, args ...any) { fmt.Fprintf(c.options.Out, format, args...) }

func (c *devCell) runNodes(ctx context.Context) error {
	c.nodes = newNodeGroup(c)
	if err := c.nodes.start(c.options.Nodes); err != nil {
		return err
	}
	defer c.nodes.stop()
	var err error
	if c.operatorClient, err = client.New(client.Options{Addresses: c.nodes.addresses(), Key: c.operatorKey, Timeout: operationTimeout}); err != nil {
		return err
	}
	defer c.operatorClient.Close()
	c.recordedOperator = recorded.Operator{Client: c.operatorClient, Recorder: c.recorder}
	callers, err := c.prepare(ctx)
	if err != nil {
		return err
	}
	if c.options.Stay {
		c.printf("nodes: %v\noperator key: %s\nstop with Ctrl-C\n", c.nodes.addresses(), c.operatorKey)
	}
	c.runWorkload(ctx, callers)
	c.awaitJobs(ctx)
	if c.options.Stay && ctx.Err() == nil {
		c.printf("the load has ended; the cell stays up\n")
		<-ctx.Done()
	}
	c.nodes.stop()
	return c.report()
}

// prepare applies the configuration, grants a key to each team and waits until all
// partitions have an owner.
func (c *devCell) prepare(ctx context.Context) (map[string]*teamCaller, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.apply(ctx); err != nil {
		return nil, err
	}
	callers := map[string]*teamCaller{}
	for _, team := range c.config.Teams {
		granted, err := c.recordedOperator.Grant(ctx, api.KeyGrant{Team: team.Name, Role: api.RoleCaller})
		if err != nil {
			return nil, errors.Wrapf(err, "grant a key to team %s", team.Name)
		}
		if callers[team.Name], err = c.newCaller(granted); err != nil {
			return nil, err
		}
	}
	return callers, c.awaitOwners(ctx)
}

func (c *devCell) apply(ctx context.Context) error {
	for {
		applied, err := c.recordedOperator.Apply(ctx, api.ConfigApply{BaseVersion: 0, Document: c.config})
		if err == nil {
			c.printf("configuration version %d of %s is in force\n", applied.Version, c.options.Example)
			return nil
		}
		if !clock.Sleep(ctx, pollInterval) {
			return errors.Wrap(err, "apply the configuration")
		}
	}
}

// awaitOwners waits until every partition has an owner.
func (c *devCell) awaitOwners(ctx context.Context) error {
	want := len(config.Partitions(c.config))
	for {
		counts := c.nodes.partitionCounts()
		if sumCounts(counts) == want {
			c.printf("%d partitions on %d nodes: %v\n", want, len(counts), counts)
			return nil
		}
		if !clock.Sleep(ctx, pollInterval) {
			return errors.Errorf("%d of %d partitions have an owner", sumCounts(counts), want)
		}
	}
}

func sumCounts(counts map[string]int) int {
	n := 0
	for _, k := range counts {
		n += k
	}
	return n
}

func (c *devCell) newCaller(key api.KeyGranted) (*teamCaller, error) {
	out := &teamCaller{stats: c.stats}
	addresses := c.nodes.addresses()
	for i := range addresses {
		rotated := append(append([]string{}, addresses[i:]...), addresses[:i]...)
		cl, err := client.New(client.Options{Addresses: rotated, Key: key.Secret, Timeout: operationTimeout * 6})
		if err != nil {
			return nil, err
		}
		out.clients = append(out.clients, recorded.Caller{Client: cl, Recorder: c.recorder, Key: key.Key.Id})
	}
	return out, nil
}

// runWorkload runs the workload for the configured duration and injects the fault.
func (c *devCell) runWorkload(ctx context.Context, callers map[string]*teamCaller) {
	loadCtx, cancel := context.WithTimeout(ctx, c.options.Duration)
	defer cancel()
	var running sync.WaitGroup
	for i, w := range c.workload.Queues {
		queue, ok := c.findQueue(w.Queue)
		if !ok {
			c.printf("queue %s of the workload does not exist\n", w.Queue)
			continue
		}
		g := &generator{caller: callers[queue.Team], queue: queue, workload: w, random: mathrand.New(mathrand.NewPCG(c.options.Seed, uint64(i)))}
		running.Go(func() { g.run(loadCtx) })
	}
	running.Go(func() { c.injectFault(loadCtx) })
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	c.printProgress(done)
}

func (c *devCell) findQueue(name string) (api.Queue, bool) {
	for _, q := range c.config.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return api.Queue{}, false
}

func (c *devCell) printProgress(ended <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			offered, done, failed := c.stats.totals()
			c.printf("%5.0fs  offered %d  requests done %d  not done %d\n", time.Since(c.startedAt).Seconds(), offered, done, failed)
		}
	}
}

// awaitJobs waits until the accepted jobs have ended and the services are running, for
// at most jobEndTimeout. It then adds all jobs to the statistics.
func (c *devCell) awaitJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobEndTimeout)
	defer cancel()
	var rows []api.JobRow
	for {
		var unfinished int
		rows, unfinished = c.jobRows(ctx)
		if unfinished == 0 || !clock.Sleep(ctx, pollInterval) {
			break
		}
	}
	for _, row := range rows {
		c.stats.countJob(row)
		if !succeeded(row) {
			c.printf("job %s/%s is %s with %s: %s\n", row.Spec.Team, row.Spec.Id, row.State, taskStates(row), row.Reason)
		}
	}
}

// succeeded reports whether a job is done, or is a running service.
func succeeded(row api.JobRow) bool {
	return row.State == api.JobStateDone || row.Spec.Class == api.ClassService && row.State == api.JobStateRunning
}

func taskStates(row api.JobRow) string {
	counts := map[api.TaskState]int{}
	for _, task := range row.Tasks {
		counts[task.State]++
	}
	return fmt.Sprint(counts)
}

// jobRows returns all jobs and the number of unfinished ones. A running service does
// not count as unfinished. A failed list call counts as one unfinished job, so that the
// caller lists again.
func (c *devCell) jobRows(ctx context.Context) (rows []api.JobRow, unfinished int) {
	for _, team := range c.config.Teams {
		for after := ""; ; {
			page, err := c.operatorClient.Jobs(ctx, client.JobQuery{Team: team.Name, After: after, Limit: jobPageSize})
			if err != nil {
				unfinished++
				break
			}
			rows = append(rows, page.Jobs...)
			if len(page.Jobs) < jobPageSize {
				break
			}
			after = page.Jobs[len(page.Jobs)-1].Spec.Id
		}
	}
	for _, row := range rows {
		service := row.Spec.Class == api.ClassService && row.State == api.JobStateRunning
		if row.FinishedUnixMs == 0 && !service {
			unfinished++
		}
	}
	return rows, unfinished
}

const jobPageSize = 500 // jobs per list call

// report prints the tables and the violations. It returns ErrViolations if there
// are any.
func (c *devCell) report() error {
	records := c.recorder.Records()
	u := measureUsage(records, c.recorder.Now())
	c.printf("\n")
	if err := c.stats.writeQueues(c.options.Out, c.config.Queues); err != nil {
		return err
	}
	c.printf("\n")
	if err := u.write(c.options.Out, c.config.Teams); err != nil {
		return err
	}
	violations := checker.Check(records, checker.DefaultOptions())
	c.printf("\n")
	for _, v := range violations {
		c.printf("%s\n", v)
	}
	c.printf("violations: %d\n", len(violations))
	if len(violations) > 0 {
		return ErrViolations
	}
	return nil
}
