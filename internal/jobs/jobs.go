// Package jobs owns worker partitions: it keeps the job records, renews the
// leases of running tasks at the workers and carries out the decisions of
// package scheduler. One goroutine holds the control state of a partition;
// calls to the table service and to workers run in other goroutines and post
// their results back to it.
package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/scheduler"
)

const (
	tickInterval     = 50 * time.Millisecond  // longest delay before a due action is noticed
	workersInterval  = 25 * time.Millisecond  // between looks at all workers
	syncInterval     = time.Second            // between lease renewals at one worker
	syncTimeout      = 2 * time.Second        // for one call to a worker
	taskLease        = 15 * time.Second       // on the worker's clock
	leaseMargin      = time.Second            // allowance for clock drift when waiting for a lease to expire
	unreachableAfter = 3 * time.Second        // without a report, a worker gets no new tasks
	quotaInterval    = 100 * time.Millisecond // between updates of the allotment
	loadRetryDelay   = 250 * time.Millisecond // between attempts to load the job records
	maxDecisions     = 512                    // decisions taken in one pass of the control goroutine
	inboxSize        = 1024                   // messages waiting for the control goroutine
)

// WorkerClient calls the workers of the platform.
type WorkerClient interface {
	Sync(ctx context.Context, vm api.VM, in *api.WorkerSync) (*api.WorkerReport, error)
}

// Ledger holds the allotments of this partition.
type Ledger interface {
	Held(team string) api.Resources
	// Demand tells what a team uses and what it could use in total, used included.
	Demand(team string, used, wanted api.Resources)
}

// Leadership tells whether this node may act as an owner.
type Leadership interface {
	Lead() error
	Excluded(incarnation string) bool
}

// Options configures a Partition.
type Options struct {
	Partition  string
	Records    Records
	Workers    WorkerClient
	Ledger     Ledger
	Leadership Leadership
	Clock      clock.Clock
	Logger     log.Logger
	Metrics    *Metrics // may be nil
	// Superseded is called without locks held when a worker or the table service
	// shows that a newer owner exists.
	Superseded func(lease api.PartitionLease)
}

// Partition is the owner side of one worker partition.
type Partition struct {
	opts  Options
	inbox chan func()
	ctx   context.Context // ends when the partition is closed
	stop  context.CancelFunc
	done  chan struct{}
	calls sync.WaitGroup // goroutines started by begin and loadRecords

	mu   sync.Mutex // guards load
	load api.PartitionLoad

	// The fields below belong to the control goroutine.
	fleet  map[string]api.VM
	config *api.Configuration
	owned  *tenure // nil while this node is not the owner
}

// New returns a Partition and starts its control goroutine.
func New(opts Options) *Partition {
	ctx, stop := context.WithCancel(context.Background())
	p := &Partition{
		opts:  opts,
		inbox: make(chan func(), inboxSize),
		ctx:   ctx,
		stop:  stop,
		done:  make(chan struct{}),
		fleet: map[string]api.VM{},
	}
	go p.run()
	return p
}

// Close ends the control goroutine and waits for the calls in flight. Release
// must be called first to hand over.
func (p *Partition) Close() {
	p.stop()
	<-p.done
	p.calls.Wait()
}

func (p *Partition) run() {
	defer close(p.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			if p.owned != nil {
				p.owned.cancel()
			}
			return
		case f := <-p.inbox:
			f()
			p.drainInbox()
		case <-ticker.C:
		}
		if p.owned != nil {
			p.owned.step()
		}
		p.publishLoad()
	}
}

// drainInbox handles the messages that are already waiting, so that one pass of
// the scheduler covers a burst of them.
func (p *Partition) drainInbox() {
	for range inboxSize {
		select {
		case f := <-p.inbox:
			f()
		default:
			return
		}
	}
}

// post hands f to the control goroutine. It reports false after Close.
func (p *Partition) post(f func()) bool {
	select {
	case p.inbox <- f:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// call runs f on the control goroutine and waits for it.
func (p *Partition) call(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	message := func() {
		f()
		close(ran)
	}
	select {
	case p.inbox <- message:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Overloaded, "", "partition %s did not take the call in time", p.opts.Partition)
	case <-p.ctx.Done():
		return errkind.New(errkind.ShuttingDown, "", "partition %s is closed", p.opts.Partition)
	}
	select {
	case <-ran:
		return nil
	case <-p.ctx.Done():
		return errkind.New(errkind.ShuttingDown, "", "partition %s is closed", p.opts.Partition)
	}
}

// Acquire makes this node the owner under lease.
func (p *Partition) Acquire(lease api.PartitionLease) {
	p.post(func() {
		if p.owned != nil {
			p.owned.cancel()
		}
		p.owned = newTenure(p, lease)
	})
}

// Release stops taking jobs, waits until no record write and no worker call is
// in flight, and gives the partition up. Tasks go on under their leases, which
// the next owner renews.
func (p *Partition) Release(ctx context.Context) {
	idle := make(chan struct{})
	posted := p.post(func() {
		if p.owned == nil {
			close(idle)
			return
		}
		p.owned.drain(idle)
	})
	if !posted {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	_ = p.call(context.Background(), p.dropTenure)
}

func (p *Partition) dropTenure() {
	if p.owned != nil {
		p.owned.cancel()
		p.owned = nil
	}
}

// SetFleet gives the VMs of this partition as the VM list shows them.
func (p *Partition) SetFleet(vms []api.VM) {
	p.post(func() {
		p.fleet = make(map[string]api.VM, len(vms))
		for _, vm := range vms {
			if vm.WorkerAddress != "" {
				p.fleet[vm.Id] = vm
			}
		}
		if p.owned != nil {
			p.owned.fleetChanged()
		}
	})
}

// SetConfig gives the configuration in force.
func (p *Partition) SetConfig(config *api.Configuration) {
	p.post(func() {
		p.config = config
		if p.owned != nil {
			p.owned.configChanged()
		}
	})
}

// Load sums up the partition for routing.
func (p *Partition) Load() api.PartitionLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load
}

func (p *Partition) publishLoad() {
	load := api.PartitionLoad{Partition: p.opts.Partition}
	if t := p.owned; t != nil {
		load.Epoch = t.lease.Epoch
		load.Active, load.Queued = t.active, t.queued
		load.Capacity = len(p.fleet)
	}
	p.mu.Lock()
	p.load = load
	p.mu.Unlock()
}

// Dump is the state of a partition for the state dump of a process.
type Dump struct {
	Partition string             `json:"partition"`
	Owned     bool               `json:"owned"`
	Ready     bool               `json:"ready"`
	Epoch     int                `json:"epoch"`
	Jobs      int                `json:"unfinished_jobs"`
	Saving    int                `json:"saving_jobs"`
	Workers   []WorkerDump       `json:"workers"`
	Cell      scheduler.Snapshot `json:"cell"`
}

// WorkerDump is the state of one worker in a Dump.
type WorkerDump struct {
	VM            string `json:"vm"`
	Fenced        bool   `json:"fenced"`
	Reachable     bool   `json:"reachable"`
	ReportAgeMs   int64  `json:"report_age_ms"` // -1 before the first report
	PendingStarts int    `json:"pending_starts"`
	PendingStops  int    `json:"pending_stops"`
}

// Dump returns the state of the partition.
func (p *Partition) Dump(ctx context.Context) (Dump, error) {
	d := Dump{Partition: p.opts.Partition}
	err := p.call(ctx, func() {
		if p.owned != nil {
			p.owned.dump(&d)
		}
	})
	return d, err
}
