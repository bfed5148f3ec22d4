package cellnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/loopback"
)

// testCell runs nodes in this process against a simulated platform.
type testCell struct {
	t        testing.TB
	platform *standin.Platform
	nodes    []*testNode
	logger   log.Logger
}

type testNode struct {
	node          *Node
	callerAddress string
	stop          context.CancelFunc
	done          chan struct{}
}

var testTeam = standin.Team{Name: "team", Keys: []string{"secret"}, Weight: 1000, Limit: api.Resources{CpuMillis: 1 << 30, MemoryMb: 1 << 30}}

func testOptions(executors int) standin.Options {
	return standin.Options{
		Pools:        []standin.Pool{{Name: "desk", Count: executors, Capacity: api.Resources{CpuMillis: 8000, MemoryMb: 16384}}},
		Queues:       []standin.Queue{{Name: "quotes", Pool: "desk", MaxAttempts: 3}, {Name: "batch", Pool: "desk", Priority: 2, MaxAttempts: 3}, {Name: "open", Pool: "desk", Open: true, MaxAttempts: 3}},
		Teams:        []standin.Team{testTeam},
		AdvisedShare: 0.7,
	}
}

func startCell(t testing.TB, nodes int, o standin.Options) *testCell {
	return startLoggingCell(t, nodes, o, log.NewNopLogger())
}

func startLoggingCell(t testing.TB, nodes int, o standin.Options, logger log.Logger) *testCell {
	t.Helper()
	platform, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	c := &testCell{t: t, platform: platform, logger: logger}
	for range nodes {
		c.addNode()
	}
	t.Cleanup(c.close)
	c.awaitReady()
	return c
}

// addNode starts a node on free addresses, once the functions have changed it.
func (c *testCell) addNode(change ...func(*Node)) *testNode {
	c.t.Helper()
	s := settings.Cell{
		Node: fmt.Sprintf("node-%d", len(c.nodes)), FailureDomain: "zone-0",
		HTTPAddress: loopback.FreeAddress(c.t), ReadyAddress: loopback.FreeAddress(c.t), PeerAddress: loopback.FreeAddress(c.t),
		MetricsAddress: loopback.FreeAddress(c.t), StoreAddress: c.platform.StoreAddress, AdviserAddress: c.platform.AdviserAddress, CPUShare: 1, MemoryMB: 4096,
		DrainTime: 2 * time.Second, GraceTime: 4 * time.Second, RevokeTime: 5 * time.Second, MaxTaskLease: 6 * time.Second,
		StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second, HarmTime: 4 * time.Second,
		NoticeTime: 4500 * time.Millisecond, StatusRetention: 2 * time.Minute, RestoreTime: 600 * time.Millisecond, RemoteFactor: 1.5,
	}
	s.PeerAdvertiseAddress = s.PeerAddress
	return c.startNode(s, change...)
}

func (c *testCell) startNode(s settings.Cell, change ...func(*Node)) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{node: New(Options{Settings: s, Logger: c.logger, Clock: clock.System{}}), callerAddress: s.HTTPAddress, stop: cancel, done: make(chan struct{})}
	for _, f := range change {
		f(n.node)
	}
	go func() {
		defer close(n.done)
		if err := n.node.Run(ctx); err != nil {
			c.t.Errorf("node %s: %v", s.Node, err)
		}
	}()
	c.nodes = append(c.nodes, n)
	return n
}

func (c *testCell) addresses() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, n.callerAddress)
	}
	return out
}

func (c *testCell) client() *standin.Client {
	return standin.NewClient(c.platform, c.addresses(), testTeam.Name, testTeam.Keys[0])
}

func (c *testCell) close() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.done
	}
	c.platform.Stop()
	for _, v := range c.platform.Violations() {
		c.t.Error(v)
	}
	for _, v := range checker.Check(c.platform.Records(), checker.DefaultOptions()) {
		c.t.Error(v)
	}
}

// eventually fails the test unless the condition holds within the limit.
func (c *testCell) eventually(limit time.Duration, what string, cond func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return
		}
	}
	c.t.Fatalf("after %v: not %s", limit, what)
}

func (c *testCell) awaitReady() {
	c.t.Helper()
	c.eventually(10*time.Second, "all nodes ready", func() bool {
		for _, n := range c.nodes {
			if !n.node.isReady() {
				return false
			}
		}
		return true
	})
}

func testID(n int) string { return fmt.Sprintf("%016x", n) }

var shortStep = standin.Step{Count: 3, Size: api.Resources{CpuMillis: 500, MemoryMb: 256}, RunTime: 200 * time.Millisecond}

// Guards against a fault anywhere on the path from submitting a work to its completion.
func TestWholePath(t *testing.T) {
	t.Parallel()
	c := startCell(t, 3, testOptions(6))
	client := c.client()
	ctx := t.Context()
	second := shortStep
	second.After = []int{0}
	for n := range 12 {
		status, err := client.Submit(ctx, n, "quotes", testID(n), "payload", []standin.Step{shortStep, second})
		if err != nil || status != http.StatusOK {
			t.Fatalf("submit %d: status %d, %v", n, status, err)
		}
	}
	for n := range 12 {
		c.eventually(10*time.Second, "completed", func() bool {
			_, state, err := client.State(ctx, n+1, "quotes", testID(n))
			return err == nil && state == "completed"
		})
	}
	status, waiting, err := client.Pending(ctx, 1, "quotes")
	if err != nil || status != http.StatusOK || waiting != 0 {
		t.Errorf("pending: status %d, %d, %v", status, waiting, err)
	}
}

// Guards against wrong status codes for calls with an unknown queue or work, a wrong
// key or an invalid work.
func TestAnswersToWrongCalls(t *testing.T) {
	t.Parallel()
	c := startCell(t, 2, testOptions(2))
	client := c.client()
	ctx := t.Context()
	wrongKey := standin.NewClient(c.platform, c.addresses(), "team", "wrong")
	noKey := standin.NewClient(c.platform, c.addresses(), "", "")
	long := make([]byte, 5000)
	for i := range long {
		long[i] = 'x'
	}
	late := shortStep
	late.After = []int{1}
	none := shortStep
	none.Count = 0
	for _, tc := range []struct {
		name string
		want int
		call func() (int, error)
	}{
		{"unknown queue", 404, func() (int, error) {
			return client.Submit(ctx, 0, "nowhere", testID(1), "p", []standin.Step{shortStep})
		}},
		{"wrong key", 401, func() (int, error) {
			return wrongKey.Submit(ctx, 0, "quotes", testID(1), "p", []standin.Step{shortStep})
		}},
		{"no key", 401, func() (int, error) {
			return noKey.Submit(ctx, 1, "quotes", testID(1), "p", []standin.Step{shortStep})
		}},
		{"open queue without a key", 200, func() (int, error) {
			return noKey.Submit(ctx, 1, "open", testID(2), "p", []standin.Step{shortStep})
		}},
		{"unknown work", 410, func() (int, error) { s, _, err := client.State(ctx, 0, "quotes", testID(99)); return s, err }},
		{"cancel of an unknown work", 410, func() (int, error) { return client.Cancel(ctx, 1, "quotes", testID(99)) }},
		{"ID of another form", 400, func() (int, error) {
			return client.Submit(ctx, 0, "quotes", "short", "p", []standin.Step{shortStep})
		}},
		{"no steps", 400, func() (int, error) { return client.Submit(ctx, 0, "quotes", testID(3), "p", nil) }},
		{"step without tasks", 400, func() (int, error) {
			return client.Submit(ctx, 0, "quotes", testID(4), "p", []standin.Step{none})
		}},
		{"step that waits for a later one", 400, func() (int, error) {
			return client.Submit(ctx, 0, "quotes", testID(5), "p", []standin.Step{late, shortStep})
		}},
		{"payload over its limit", 400, func() (int, error) {
			return client.Submit(ctx, 0, "quotes", testID(6), string(long), []standin.Step{shortStep})
		}},
	} {
		if status, err := tc.call(); err != nil || status != tc.want {
			t.Errorf("%s: status %d, %v; want %d", tc.name, status, err, tc.want)
		}
	}
}

// Guards against metrics and a state dump that are not served or lack their values.
func TestMetricsAndState(t *testing.T) {
	t.Parallel()
	c := startCell(t, 2, testOptions(2))
	client := c.client()
	if status, err := client.Submit(t.Context(), 0, "quotes", testID(1), "p", []standin.Step{shortStep}); err != nil || status != 200 {
		t.Fatalf("submit: status %d, %v", status, err)
	}
	c.eventually(5*time.Second, "completed", func() bool {
		_, state, err := client.State(t.Context(), 0, "quotes", testID(1))
		return err == nil && state == "completed"
	})
	c.eventually(2*time.Second, "counted", func() bool {
		text := c.getMetricsServer(c.owner(), "/metrics")
		for _, want := range []string{
			`endivehill_cell_works{state="completed"} 1`, `endivehill_cell_runs{state="done"} 3`, `endivehill_cell_owner 1`,
			`endivehill_platform_calls_total{op="commit",result="ok",service="store"}`, `endivehill_config_version 2`,
		} {
			if !strings.Contains(text, want) {
				return false
			}
		}
		return true
	})
	if state := c.getMetricsServer(c.owner(), "/state"); !strings.Contains(state, `"owns_cell":true`) || !strings.Contains(state, `"workers":[{"id":"i-desk-0"`) {
		t.Errorf("state dump: %s", state)
	}
}

// getMetricsServer returns the body that the metrics server of a node serves at a path,
// empty after an error.
func (c *testCell) getMetricsServer(n *testNode, path string) string {
	if n == nil {
		return ""
	}
	resp, err := http.Get("http://" + n.node.settings.MetricsAddress + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(data)
}

// Guards against a cancellation that leaves tasks running or is not recorded.
func TestCancelStopsTasks(t *testing.T) {
	t.Parallel()
	c := startCell(t, 2, testOptions(2))
	client := c.client()
	ctx := t.Context()
	long := shortStep
	long.RunTime = time.Minute
	if status, err := client.Submit(ctx, 0, "quotes", testID(1), "p", []standin.Step{long}); err != nil || status != 200 {
		t.Fatalf("submit: status %d, %v", status, err)
	}
	c.eventually(5*time.Second, "running", func() bool { return c.runningTasks() == 3 })
	if status, err := client.Cancel(ctx, 1, "quotes", testID(1)); err != nil || status != 200 {
		t.Fatalf("cancel: status %d, %v", status, err)
	}
	c.eventually(2*time.Second, "stopped", func() bool { return c.runningTasks() == 0 })
	if _, state, err := client.State(ctx, 0, "quotes", testID(1)); err != nil || state != "canceled" {
		t.Errorf("state %q, %v", state, err)
	}
}

func (c *testCell) runningTasks() int {
	n := 0
	for _, e := range c.platform.Executors {
		n += e.Runs()
	}
	return n
}

// Guards against a graceful shutdown of the owner that loses works or leaves the cell
// without an owner for more than 2 s.
func TestPlannedStopOfTheOwner(t *testing.T) {
	t.Parallel()
	c := startCell(t, 3, testOptions(4))
	client := c.client()
	ctx := t.Context()
	long := shortStep
	long.RunTime = 3 * time.Second
	if status, err := client.Submit(ctx, 0, "quotes", testID(1), "p", []standin.Step{long}); err != nil || status != 200 {
		t.Fatalf("submit: status %d, %v", status, err)
	}
	owner := c.owner()
	owner.stop()
	c.eventually(2*time.Second, "taken over by another node", func() bool {
		now := c.owner()
		return now != nil && now != owner
	})
	var others []string
	for _, n := range c.nodes {
		if n != owner {
			others = append(others, n.callerAddress)
		}
	}
	client.Nodes = others
	if status, err := client.Submit(ctx, 0, "quotes", testID(2), "p", []standin.Step{shortStep}); err != nil || status != 200 {
		t.Fatalf("submit after the stop: status %d, %v", status, err)
	}
	for _, id := range []string{testID(1), testID(2)} {
		c.eventually(10*time.Second, "completed", func() bool {
			_, state, err := client.State(ctx, 0, "quotes", id)
			return err == nil && state == "completed"
		})
	}
	<-owner.done
}

// owner returns the node that owns the cell, nil if there is none.
func (c *testCell) owner() *testNode {
	for _, n := range c.nodes {
		if v, _ := n.node.election.View(); v.Self && !n.node.stopping.Load() {
			return n
		}
	}
	return nil
}

// Guards against a submission during an outage of the table service that is refused but
// stored, or accepted but lost.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	for _, mode := range []struct {
		name string
		mode standin.Mode
	}{{"busy", standin.Busy}, {"reset", standin.Reset}, {"silent", standin.Silent}} {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, 3, testOptions(4))
			client := c.client()
			ctx := t.Context()
			c.platform.Store.Faults.SetMode(mode.mode)
			time.Sleep(300 * time.Millisecond)
			statuses := map[string]int{}
			for n := range 6 {
				status, err := client.Submit(ctx, n, "quotes", testID(n), "p", []standin.Step{shortStep})
				if err == nil {
					statuses[testID(n)] = status
				}
			}
			c.platform.Store.Faults.SetMode(standin.Up)
			c.awaitReady()
			time.Sleep(4 * time.Second)
			for id, status := range statuses {
				got, _, err := client.State(ctx, 0, "quotes", id)
				if err != nil {
					t.Fatal(err)
				}
				if refused := status == 503 || status == 429; refused && got != http.StatusGone {
					t.Errorf("work %s was refused with %d and is known: %d", id, status, got)
				}
				if status == 200 && got != 200 {
					t.Errorf("work %s was accepted and is not known: %d", id, got)
				}
			}
		})
	}
}
