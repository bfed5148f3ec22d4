package router

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/wire"
)

// testClock uses package time, which is fake within a synctest bubble.
type testClock struct{ start time.Time }

func (c testClock) Now() time.Time      { return time.Now() }
func (c testClock) Boot() time.Duration { return time.Since(c.start) }

// fakeCell is a set of nodes that call the handlers of each other, with the
// owners of their partitions.
type fakeCell struct {
	mu     sync.Mutex
	owners map[string]string // partition to node
	nodes  map[string]*fakeNode
	config *api.Configuration
}

// unreachableNode is the address of a node to which no connection is ever
// established.
const unreachableNode = "silent"

// fakeNode is a node whose partitions have owners with scripted results.
type fakeNode struct {
	cell   *fakeCell
	name   string
	router *Router

	mu          sync.Mutex
	errorScript []errkind.Kind // results of the next calls; empty for success
	executed    []api.ExecuteRequest
	canceled    []api.RequestRef
	delay       time.Duration
	jobs        map[string][]api.JobRow // by partition
}

func newFakeCell(names ...string) *fakeCell {
	c := &fakeCell{owners: map[string]string{}, nodes: map[string]*fakeNode{}, config: testConfig()}
	clock := testClock{time.Now().Add(-time.Hour)}
	for _, name := range names {
		n := &fakeNode{cell: c, name: name, jobs: map[string][]api.JobRow{}}
		n.router = New(Options{
			Local:     n,
			Directory: c,
			Caller:    c,
			Config:    func() *api.Configuration { return c.config },
			Clock:     clock,
		})
		c.nodes[name] = n
	}
	return c
}

func testConfig() *api.Configuration {
	queue := func(name string, class api.Class, idempotent bool, pool string) api.Queue {
		return api.Queue{Name: name, Team: "gallery", Pool: pool, Class: class, Idempotent: idempotent, DeadlineMs: 30000}
	}
	return &api.Configuration{
		Pools: []api.Pool{{Name: "bench", ExecutorPartitions: 1}, {Name: "desk", ExecutorPartitions: 3}, {Name: "kiln"}},
		Queues: []api.Queue{
			queue("gallery.quote", api.ClassRequest, true, "desk"),
			queue("gallery.charge", api.ClassRequest, false, "desk"),
			queue("gallery.fire", api.ClassRequest, true, "kiln"),
			queue("gallery.render", api.ClassBatch, false, "bench"),
			queue("gallery.build", api.ClassBatch, false, "desk"),
		},
	}
}

func (c *fakeCell) setOwner(node string, partitions ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range partitions {
		c.owners[p] = node
	}
}

// Owner implements Directory.
func (c *fakeCell) Owner(partition string) (api.PartitionLease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	node, ok := c.owners[partition]
	return api.PartitionLease{Partition: partition, Node: node, Address: node}, ok
}

// Refresh implements Directory.
func (c *fakeCell) Refresh(context.Context) error { return nil }

// Call implements Caller through the handlers of the other node.
func (c *fakeCell) Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	n, ok := c.nodes[addr]
	if addr == unreachableNode {
		<-ctx.Done()
		return errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "", "the deadline passed before the call was sent")
	}
	if !ok {
		return errkind.New(errkind.OwnerUnavailable, "", "connection refused")
	}
	type result struct {
		out msgp.Marshaler
		err error
	}
	done := make(chan result, 1)
	go func() {
		var handler wire.Handler = n.router.Handlers()[method]
		out, err := handler(context.WithoutCancel(ctx), payload)
		done <- result{out, err}
	}()
	select {
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no response in time")
	case r := <-done:
		if r.err != nil {
			return errkind.From(r.err)
		}
		payload, err := r.out.MarshalMsg(nil)
		if err != nil {
			return err
		}
		_, err = out.UnmarshalMsg(payload)
		return err
	}
}

// Requests implements Local.
func (n *fakeNode) Requests(partition string) (RequestOwner, bool) {
	l, ok := n.cell.Owner(partition)
	return n, ok && l.Node == n.name
}

// Jobs implements Local.
func (n *fakeNode) Jobs(partition string) (JobOwner, bool) {
	l, ok := n.cell.Owner(partition)
	return n, ok && l.Node == n.name
}

func (n *fakeNode) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	n.mu.Lock()
	n.executed = append(n.executed, *req)
	var kind errkind.Kind
	if len(n.errorScript) > 0 {
		kind, n.errorScript = n.errorScript[0], n.errorScript[1:]
	}
	delay := n.delay
	n.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	if kind != "" {
		return nil, errkind.New(kind, "", "as scripted")
	}
	return &api.ExecuteResponse{Status: 200, Body: []byte(n.name)}, nil
}

func (n *fakeNode) Cancel(_ context.Context, ref *api.RequestRef) (*api.RequestStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.canceled = append(n.canceled, *ref)
	return &api.RequestStatus{State: api.RequestStateNotRun}, nil
}

func (n *fakeNode) Status(_ context.Context, ref *api.RequestRef) (*api.RequestStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, req := range n.executed {
		if req.Partition == ref.Partition && req.RequestId == ref.RequestId {
			return &api.RequestStatus{State: api.RequestStateDone}, nil
		}
	}
	return nil, errkind.New(errkind.NotFound, "id", "not known")
}

func (n *fakeNode) SubmitJob(_ context.Context, in *api.SubmitJobRequest) (*api.JobRow, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := api.JobRow{Spec: in.Spec, Partition: in.Partition, State: api.JobStateQueued}
	n.jobs[in.Partition] = append(n.jobs[in.Partition], row)
	return &row, nil
}

func (n *fakeNode) JobStatus(_ context.Context, ref *api.JobRef) (*api.JobRow, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range n.jobs[ref.Partition] {
		if row.Spec.Id == ref.Id && row.Spec.Team == ref.Team {
			return &row, nil
		}
	}
	return nil, errkind.New(errkind.NotFound, "id", "not known")
}

func (n *fakeNode) CancelJob(ctx context.Context, ref *api.JobRef) (*api.JobRow, error) {
	row, err := n.JobStatus(ctx, ref)
	if err == nil {
		row.State = api.JobStateCanceled
	}
	return row, err
}

func (n *fakeNode) ListJobs(_ context.Context, in *api.ListJobsRequest) (*api.JobList, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &api.JobList{Jobs: n.jobs[in.Partition]}, nil
}

func (n *fakeNode) requests() []api.ExecuteRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]api.ExecuteRequest(nil), n.executed...)
}

func deskPartitions() []string {
	return []string{"desk-executors-0", "desk-executors-1", "desk-executors-2"}
}

func request(queue, id string) *api.ExecuteRequest {
	return &api.ExecuteRequest{Team: "gallery", Queue: queue, RequestId: id, TimeoutMs: 5000}
}

func wantKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if kind == "" && err == nil {
		return
	}
	if !errkind.Is(err, kind) {
		t.Fatalf("error is %v, want %s", err, fmt.Sprintf("%q", kind))
	}
}
