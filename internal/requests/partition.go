// Package requests implements the owner of executor partitions. The owner of a
// partition queues short requests, assigns them to slots of the executors,
// executes them and keeps the records by which a non-idempotent request runs at
// most once. One goroutine holds the control state of a partition; others do
// I/O.
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
	options   Options
	records   *records
	messages  chan message
	closed    chan struct{}
	closeOnce sync.Once
	load      atomic.Pointer[api.PartitionLoad]
	// ioContext is canceled by Close. It covers I/O that continues after a
	// caller has gone.
	ioContext  context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a partition that this node does not own yet. Close ends its
// goroutines.
func New(o Options) *Partition {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Partition{
		options:   o,
		records:   newRecords(&o),
		messages:  make(chan message, 256),
		closed:    make(chan struct{}),
		ioContext: ctx,
		cancel:    cancel,
	}
	p.load.Store(&api.PartitionLoad{Partition: o.Partition})
	c := newController(p)
	p.goroutines.Add(1)
	go c.loop()
	return p
}

// Close stops the partition at once. For a planned stop, call Release first.
func (p *Partition) Close() {
	p.closeOnce.Do(func() {
		p.cancel()
		close(p.closed)
	})
	p.goroutines.Wait()
}

// Acquire starts serving under a new lease.
func (p *Partition) Acquire(lease api.PartitionLease) { p.send(acquireMessage{lease}) }

// Release refuses new requests and returns when all accepted requests have
// their results and records, or when ctx is done. When ctx is done, the requests
// that are still queued fail with shutting_down.
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
	if p.send(abortReleaseMessage{done}) {
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

// Load returns the load of the partition.
func (p *Partition) Load() api.PartitionLoad { return *p.load.Load() }

// Execute runs one request and returns the whole response. The error is an
// *errkind.Error; its outcome tells whether the request may have run.
func (p *Partition) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	if req.Partition != p.options.Partition {
		return nil, errkind.New(errkind.InvalidArgument, "partition", "the request is for partition %q, but this owner serves %q", req.Partition, p.options.Partition)
	}
	timeout := time.Duration(req.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		return nil, deadlineError()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := submitMessage{
		req:      req,
		bodyHash: bodyHash(req.Queue, req.Body),
		deadline: p.options.Clock.Boot() + timeout,
		reply:    make(chan submitReply, 1),
	}
	r, err := sendAndWait(p, m, m.reply)
	if err != nil {
		return nil, err
	}
	if r.err != nil {
		return nil, r.err
	}
	return p.wait(ctx, r.request)
}

// wait returns the result of a request, or stops waiting when ctx is done.
func (p *Partition) wait(ctx context.Context, req *inFlightRequest) (*api.ExecuteResponse, error) {
	select {
	case <-req.done:
		return req.result.resp, req.result.err
	case <-p.closed:
		return nil, outcomeUnknownError(nil, "the owner of the partition stopped")
	case <-ctx.Done():
	}
	m := removeWaiterMessage{request: req, cause: ctx.Err(), reply: make(chan error, 1)}
	err, closedErr := sendAndWait(p, m, m.reply)
	if closedErr != nil {
		return nil, outcomeUnknownError(closedErr, "the owner of the partition stopped")
	}
	if err != nil {
		return nil, err
	}
	return req.result.resp, req.result.err
}

// Cancel removes a queued request and returns its state afterwards. A running
// request is not interrupted.
func (p *Partition) Cancel(ctx context.Context, ref *api.RequestRef) (*api.RequestStatus, error) {
	m := cancelMessage{key: requestKey{ref.Team, ref.RequestId}, abandoned: ref.Abandoned, reply: make(chan *api.RequestStatus, 1)}
	st, err := sendAndWait(p, m, m.reply)
	if err != nil {
		return nil, err
	}
	if st != nil {
		return st, nil
	}
	return p.Status(ctx, ref)
}

// Status returns the state of a request in flight, of a recent one or of a
// recorded one.
func (p *Partition) Status(ctx context.Context, ref *api.RequestRef) (*api.RequestStatus, error) {
	m := statusMessage{key: requestKey{ref.Team, ref.RequestId}, reply: make(chan *api.RequestStatus, 1)}
	st, err := sendAndWait(p, m, m.reply)
	if err != nil {
		return nil, err
	}
	if st != nil {
		return st, nil
	}
	return p.records.status(ctx, m.key)
}

// Dump returns the control state for operators. It contains no request bodies
// and no API keys.
func (p *Partition) Dump() Dump {
	m := dumpMessage{reply: make(chan Dump, 1)}
	d, err := sendAndWait(p, m, m.reply)
	if err != nil {
		return Dump{Partition: p.options.Partition}
	}
	return d
}

// notOwnerError returns the error for a call to a node that does not own the
// partition.
func notOwnerError(partition string) error {
	return errkind.New(errkind.OwnerUnavailable, "partition", "this node does not own partition %q", partition)
}
