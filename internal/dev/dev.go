// Package dev runs a whole cell inside one process: the stand-ins of the
// platform, several nodes, the workload of an example, and the checker of the
// guarantees over what the stand-ins recorded.
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
	readyTimeout     = 30 * time.Second // for the nodes to serve the configuration
	settleTimeout    = 40 * time.Second // for accepted jobs to end after the load
	settleInterval   = 500 * time.Millisecond
	progressInterval = 2 * time.Second
	usageLag         = 2 * time.Second // of the stand-in workers' measurements
	listLag          = 2 * time.Second // of the stand-in VM list
	operationTimeout = 20 * time.Second
	storeWrites      = 400  // a second, as the platform promises
	storeReads       = 2000 // a second, as the platform promises
)

// Options of a run.
type Options struct {
	Example       string
	Nodes         int
	Duration      time.Duration // of the load
	Seed          uint64
	Fault         Fault
	Stay          bool   // keep running until ctx ends
	WriteSettings string // directory for settings files; empty for none
	Version       string
	Out           io.Writer
	Logger        log.Logger
}

// ErrViolations means that the checker found broken guarantees.
var ErrViolations = errors.New("the checker found violations")

// cell is one run.
type cell struct {
	opts     Options
	config   api.Configuration
	workload api.Workload
	standins *standin.Cell
	recorder *history.Recorder
	nodes    *nodes
	operator string // operator key
	stats    *stats
	began    time.Time

	calls *client.Client // of the operator
	op    recorded.Operator
}

// Run runs a cell until its load has ended, or until ctx ends with Stay.
func Run(ctx context.Context, o Options) error {
	c := &cell{opts: o, recorder: history.New(), stats: newStats(), operator: "operator-" + rand.Text(), began: time.Now()}
	if err := c.load(); err != nil {
		return err
	}
	var err error
	c.standins, err = standin.NewCell(&c.config, standin.CellOptions{Recorder: c.recorder, Seed: o.Seed, UsageLag: usageLag, ListLag: listLag})
	if err != nil {
		return errors.Wrap(err, "start the stand-ins")
	}
	defer c.standins.Close()
	c.standins.Table.SetFaults(standin.Faults{WritesPerSecond: storeWrites, ReadsPerSecond: storeReads})
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

// load reads the example.
func (c *cell) load() error {
	data, err := examples.Answers(c.opts.Example)
	if err != nil {
		return errors.Errorf("example %q does not exist; there are %v", c.opts.Example, examples.Names())
	}
	answers, err := config.Parse(data)
	if err != nil {
		return err
	}
	c.config = config.Generate(answers)
	if data, err = examples.Workload(c.opts.Example); err != nil {
		return errors.Wrap(err, "workload of the example")
	}
	return document.Decode(data, "Workload", &c.workload)
}

func (c *cell) operatorHash() string {
	sum := sha256.Sum256([]byte(c.operator))
	return hex.EncodeToString(sum[:])
}

func (c *cell) printf(format string, args ...any) { fmt.Fprintf(c.opts.Out, format, args...) }

func (c *cell) runNodes(ctx context.Context) error {
	c.nodes = newNodes(c)
	if err := c.nodes.start(c.opts.Nodes); err != nil {
		return err
	}
	defer c.nodes.stop()
	var err error
	if c.calls, err = client.New(client.Options{Addresses: c.nodes.addresses(), Key: c.operator, Timeout: operationTimeout}); err != nil {
		return err
	}
	defer c.calls.Close()
	c.op = recorded.Operator{Client: c.calls, Recorder: c.recorder}
	callers, err := c.prepare(ctx)
	if err != nil {
		return err
	}
	if c.opts.Stay {
		c.printf("nodes: %v\noperator key: %s\nstop with Ctrl-C\n", c.nodes.addresses(), c.operator)
	}
	c.offer(ctx, callers)
	c.settle(ctx)
	if c.opts.Stay && ctx.Err() == nil {
		c.printf("the load has ended; the cell stays up\n")
		<-ctx.Done()
	}
	c.nodes.stop()
	return c.report()
}

// prepare applies the configuration and grants a key to each team.
func (c *cell) prepare(ctx context.Context) (map[string]*caller, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.apply(ctx); err != nil {
		return nil, err
	}
	callers := map[string]*caller{}
	for _, team := range c.config.Teams {
		granted, err := c.op.Grant(ctx, api.KeyGrant{Team: team.Name, Role: api.RoleCaller})
		if err != nil {
			return nil, errors.Wrapf(err, "grant a key to team %s", team.Name)
		}
		if callers[team.Name], err = c.newCaller(granted); err != nil {
			return nil, err
		}
	}
	return callers, c.awaitOwners(ctx)
}

func (c *cell) apply(ctx context.Context) error {
	for {
		applied, err := c.op.Apply(ctx, api.ConfigApply{BaseVersion: 0, Document: c.config})
		if err == nil {
			c.printf("configuration version %d of %s is in force\n", applied.Version, c.opts.Example)
			return nil
		}
		if !clock.Sleep(ctx, settleInterval) {
			return errors.Wrap(err, "apply the configuration")
		}
	}
}

// awaitOwners waits until every partition has an owner.
func (c *cell) awaitOwners(ctx context.Context) error {
	want := len(config.Partitions(c.config))
	for {
		held := c.nodes.held()
		if total(held) == want {
			c.printf("%d partitions on %d nodes: %v\n", want, len(held), held)
			return nil
		}
		if !clock.Sleep(ctx, settleInterval) {
			return errors.Errorf("%d of %d partitions have an owner", total(held), want)
		}
	}
}

func total(held map[string]int) int {
	n := 0
	for _, k := range held {
		n += k
	}
	return n
}

func (c *cell) newCaller(key api.KeyGranted) (*caller, error) {
	out := &caller{stats: c.stats}
	addresses := c.nodes.addresses()
	for i := range addresses {
		rotated := append(append([]string{}, addresses[i:]...), addresses[:i]...)
		cl, err := client.New(client.Options{Addresses: rotated, Key: key.Secret, Timeout: operationTimeout * 6})
		if err != nil {
			return nil, err
		}
		out.calls = append(out.calls, recorded.Caller{Client: cl, Recorder: c.recorder, Key: key.Key.Id})
	}
	return out, nil
}

// offer runs the workload for its time, with the fault in the middle.
func (c *cell) offer(ctx context.Context, callers map[string]*caller) {
	load, cancel := context.WithTimeout(ctx, c.opts.Duration)
	defer cancel()
	var running sync.WaitGroup
	for i, w := range c.workload.Queues {
		queue, ok := c.queue(w.Queue)
		if !ok {
			c.printf("queue %s of the workload does not exist\n", w.Queue)
			continue
		}
		g := &generator{caller: callers[queue.Team], queue: queue, load: w, rand: mathrand.New(mathrand.NewPCG(c.opts.Seed, uint64(i)))}
		running.Go(func() { g.run(load) })
	}
	running.Go(func() { c.fault(load) })
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	c.progress(ended)
}

func (c *cell) queue(name string) (api.Queue, bool) {
	for _, q := range c.config.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return api.Queue{}, false
}

func (c *cell) progress(ended <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			offered, done, failed := c.stats.totals()
			c.printf("%5.0fs  offered %d  requests done %d  not done %d\n", time.Since(c.began).Seconds(), offered, done, failed)
		}
	}
}

// settle waits until the accepted jobs have ended and services run, and counts
// them.
func (c *cell) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var rows []api.JobRow
	for {
		var open int
		rows, open = c.jobRows(ctx)
		if open == 0 || !clock.Sleep(ctx, settleInterval) {
			break
		}
	}
	for _, row := range rows {
		c.stats.jobSeen(row)
		if !wellEnded(row) {
			c.printf("job %s/%s is %s with %s: %s\n", row.Spec.Team, row.Spec.Id, row.State, taskStates(row), row.Reason)
		}
	}
}

// wellEnded reports whether a job has done its work, or is a service that runs.
func wellEnded(row api.JobRow) bool {
	return row.State == api.JobStateDone || row.Spec.Class == api.ClassService && row.State == api.JobStateRunning
}

func taskStates(row api.JobRow) string {
	counts := map[api.TaskState]int{}
	for _, task := range row.Tasks {
		counts[task.State]++
	}
	return fmt.Sprint(counts)
}

// jobRows returns all jobs and the number of those that still have to end.
func (c *cell) jobRows(ctx context.Context) (rows []api.JobRow, open int) {
	for _, team := range c.config.Teams {
		for after := ""; ; {
			page, err := c.calls.Jobs(ctx, client.JobQuery{Team: team.Name, After: after, Limit: jobPage})
			if err != nil {
				open++ // cannot be told yet
				break
			}
			rows = append(rows, page.Jobs...)
			if len(page.Jobs) < jobPage {
				break
			}
			after = page.Jobs[len(page.Jobs)-1].Spec.Id
		}
	}
	for _, row := range rows {
		service := row.Spec.Class == api.ClassService && row.State == api.JobStateRunning
		if row.FinishedUnixMs == 0 && !service {
			open++
		}
	}
	return rows, open
}

const jobPage = 500 // jobs asked for at once

// report prints the tables and the verdict.
func (c *cell) report() error {
	records := c.recorder.Records()
	u := measureUsage(records, c.recorder.Now())
	c.printf("\n")
	if err := c.stats.writeQueues(c.opts.Out, c.config.Queues); err != nil {
		return err
	}
	c.printf("\n")
	if err := u.write(c.opts.Out, c.config.Teams); err != nil {
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
