// Package requests owns executor partitions. The owner of a partition queues
// short requests, gives them the slots of the partition's executors, executes
// them and keeps the records that make a non-idempotent request run at most
// once. One goroutine holds the control state; others do I/O.
package requests

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Partition is one executor partition on this node. It serves requests between
// Acquire and Release. It is safe for concurrent use.
type Partition struct {
	options  Options
	records  *records
	messages chan message
	closed   chan struct{}
	closing  sync.Once
	load     atomic.Pointer[api.PartitionLoad]
	// background is canceled by Close and covers all I/O that outlives a caller.
	background context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a partition that is not owned yet. Close ends its goroutines.
func New(o Options) *Partition {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Partition{
		options:    o,
		records:    newRecords(&o),
		messages:   make(chan message, 256),
		closed:     make(chan struct{}),
		background: ctx,
		cancel:     cancel,
	}
	p.load.Store(&api.PartitionLoad{Partition: o.Partition})
	s := newControl(p)
	p.goroutines.Add(1)
	go s.loop()
	return p
}

// Close stops the partition at once. Release first for a planned stop.
func (p *Partition) Close() {
	p.closing.Do(func() {
		p.cancel()
		close(p.closed)
	})
	p.goroutines.Wait()
}

// Acquire starts serving under a new lease.
func (p *Partition) Acquire(lease api.PartitionLease) { p.send(acquireMessage{lease}) }

// Release stops taking requests and returns when those accepted before have
// their results and records, or ctx is done. Requests that are still queued then
// end with shutting_down.
func (p *Partition) Release(ctx context.Context) {
	released := make(chan struct{})
	if !p.send(releaseMessage{released}) {
		return
	}
	select {
	case <-released:
		return
	case <-p.closed:
		return
	case <-ctx.Done():
	}
	done := make(chan struct{})
	if p.send(abortMessage{done}) {
		select {
		case <-done:
		case <-p.closed:
		}
	}
}

// SetFleet installs the executors of the partition.
func (p *Partition) SetFleet(vms []api.VM) {
	p.send(fleetMessage{append([]api.VM(nil), vms...)})
}

// SetConfig installs queues, shares and limits.
func (p *Partition) SetConfig(c *api.Configuration) { p.send(configMessage{c}) }

// Load sums up the partition.
func (p *Partition) Load() api.PartitionLoad { return *p.load.Load() }

// Execute runs one request and returns the whole response. The error is an
// *errkind.Error; its outcome tells whether the request may have run.
func (p *Partition) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	if req.Partition != p.options.Partition {
		return nil, errkind.New(errkind.InvalidArgument, "partition", "partition %q is not %q", req.Partition, p.options.Partition)
	}
	timeout := time.Duration(req.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		return nil, expired()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := submitMessage{
		req:      req,
		hash:     bodyHash(req.Queue, req.Body),
		deadline: p.options.Clock.Boot() + timeout,
		reply:    make(chan submitReply, 1),
	}
	r, err := ask(p, m, m.reply)
	if err != nil {
		return nil, err
	}
	if r.err != nil {
		return nil, r.err
	}
	return p.wait(ctx, r.call)
}

// wait returns the result of a call, or leaves it when ctx is done.
func (p *Partition) wait(ctx context.Context, c *call) (*api.ExecuteResponse, error) {
	select {
	case <-c.done:
		return c.result.resp, c.result.err
	case <-p.closed:
		return nil, unknown(nil, "the owner of the partition stopped")
	case <-ctx.Done():
	}
	m := leaveMessage{call: c, cause: ctx.Err(), reply: make(chan error, 1)}
	err, closedErr := ask(p, m, m.reply)
	if closedErr != nil {
		return nil, unknown(closedErr, "the owner of the partition stopped")
	}
	if err != nil {
		return nil, err
	}
	return c.result.resp, c.result.err
}

// Cancel removes a request that waits. A request that runs is not interrupted.
// It returns the state after the call.
func (p *Partition) Cancel(ctx context.Context, ref *api.RequestRef) (*api.RequestStatus, error) {
	m := cancelMessage{key: callKey{ref.Team, ref.RequestId}, abandoned: ref.Abandoned, reply: make(chan *api.RequestStatus, 1)}
	st, err := ask(p, m, m.reply)
	if err != nil {
		return nil, err
	}
	if st != nil {
		return st, nil
	}
	return p.Status(ctx, ref)
}

// Status tells what is known of a request.
func (p *Partition) Status(ctx context.Context, ref *api.RequestRef) (*api.RequestStatus, error) {
	m := statusMessage{key: callKey{ref.Team, ref.RequestId}, reply: make(chan *api.RequestStatus, 1)}
	st, err := ask(p, m, m.reply)
	if err != nil {
		return nil, err
	}
	if st != nil {
		return st, nil
	}
	return p.records.status(ctx, m.key)
}

// Dump returns the control state for operators. It has no bodies and no keys.
func (p *Partition) Dump() Dump {
	m := dumpMessage{reply: make(chan Dump, 1)}
	d, err := ask(p, m, m.reply)
	if err != nil {
		return Dump{Partition: p.options.Partition}
	}
	return d
}

// notOwner returns the error of a node that does not own the partition.
func notOwner(partition string) error {
	return errkind.New(errkind.OwnerUnavailable, "partition", "this node does not own partition %q", partition)
}
