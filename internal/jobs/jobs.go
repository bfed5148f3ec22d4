// Package jobs implements the owner of worker partitions: it stores the job
// records, renews the leases of running tasks at the workers and carries out
// the decisions of package scheduler. One goroutine holds the control state of
// a partition; calls to the table service and to workers run in other
// goroutines and post their results back to it.
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
	tickInterval       = 50 * time.Millisecond  // longest time between reconciliations
	workerScanInterval = 25 * time.Millisecond  // between scans of all workers
	syncInterval       = time.Second            // between lease renewals at one worker
	syncTimeout        = 2 * time.Second        // for one call to a worker
	taskLease          = 15 * time.Second       // measured on the worker's clock
	leaseMargin        = time.Second            // allowance for clock drift in waits for expiry
	unreachableAfter   = 3 * time.Second        // time without a report until a worker gets no new tasks
	quotaInterval      = 100 * time.Millisecond // between updates of demand and allotments
	loadRetryDelay     = 250 * time.Millisecond // between attempts to load the job records
	maxDecisions       = 512                    // decisions of the scheduler in one reconciliation
	messageBuffer      = 1024                   // capacity of the message channel
)

// WorkerClient calls the workers of the platform.
type WorkerClient interface {
	Sync(ctx context.Context, vm api.VM, in *api.WorkerSync) (*api.WorkerReport, error)
}

// Ledger gives access to this partition's allotments of the team limits
// (package quota).
type Ledger interface {
	// Allotment returns the allotment of team that the partition holds now.
	Allotment(team string) api.Resources
	// ReportDemand reports what a team uses and what it could use in total,
	// including what it uses.
	ReportDemand(team string, used, wanted api.Resources)
}

// Leadership reports which nodes may act as owners (package membership).
type Leadership interface {
	// CheckLead returns nil while this node may place work and renew task leases.
	CheckLead() error
	// CannotLead reports whether an incarnation can no longer be leading.
	CannotLead(incarnation string) bool
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
	// Superseded is called in its own goroutine with the lease that was lost when
	// a worker or the table service reported a newer owner.
	Superseded func(lease api.PartitionLease)
}

// Partition is one worker partition on this node and, while the node owns it,
// its owner.
type Partition struct {
	options    Options
	messages   chan func()
	ctx        context.Context // canceled when the partition is closed
	stop       context.CancelFunc
	done       chan struct{}
	goroutines sync.WaitGroup // started by runAsync, and loadRecords

	mu   sync.Mutex // guards load
	load api.PartitionLoad

	// The fields below belong to the control goroutine.
	fleet  map[string]api.VM
	config *api.Configuration
	owner  *owner // nil while this node is not the owner
}

// New returns a Partition and starts its control goroutine.
func New(opts Options) *Partition {
	ctx, stop := context.WithCancel(context.Background())
	p := &Partition{
		options:  opts,
		messages: make(chan func(), messageBuffer),
		ctx:      ctx,
		stop:     stop,
		done:     make(chan struct{}),
		fleet:    map[string]api.VM{},
	}
	go p.loop()
	return p
}

// Close ends the control goroutine and waits for the calls in flight. Call
// Release first to hand the partition over.
func (p *Partition) Close() {
	p.stop()
	<-p.done
	p.goroutines.Wait()
}

func (p *Partition) loop() {
	defer close(p.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			if p.owner != nil {
				p.owner.cancel()
			}
			return
		case f := <-p.messages:
			f()
			p.applyQueuedMessages()
		case <-ticker.C:
		}
		if p.owner != nil {
			p.owner.reconcile()
		}
		p.publishLoad()
	}
}

// applyQueuedMessages applies the messages that are already in the channel, so
// that one scheduling pass covers all of them.
func (p *Partition) applyQueuedMessages() {
	for range messageBuffer {
		select {
		case f := <-p.messages:
			f()
		default:
			return
		}
	}
}

// post passes f to the control goroutine. It returns false after Close.
func (p *Partition) post(f func()) bool {
	select {
	case p.messages <- f:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// runAndWait runs f on the control goroutine and waits until it has run.
func (p *Partition) runAndWait(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	message := func() {
		f()
		close(ran)
	}
	select {
	case p.messages <- message:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Overloaded, "", "the control goroutine of partition %s did not accept the call in time", p.options.Partition)
	case <-p.ctx.Done():
		return errkind.New(errkind.ShuttingDown, "", "partition %s is closed", p.options.Partition)
	}
	select {
	case <-ran:
		return nil
	case <-p.ctx.Done():
		return errkind.New(errkind.ShuttingDown, "", "partition %s is closed", p.options.Partition)
	}
}

// Acquire makes this node the owner under lease.
func (p *Partition) Acquire(lease api.PartitionLease) {
	p.post(func() {
		if p.owner != nil {
			p.owner.cancel()
		}
		p.owner = newOwner(p, lease)
	})
}

// Release refuses new jobs, waits until no record write and no worker call is
// in flight, and ends the ownership. Running tasks continue under their leases,
// which the next owner renews.
func (p *Partition) Release(ctx context.Context) {
	idle := make(chan struct{})
	posted := p.post(func() {
		if p.owner == nil {
			close(idle)
			return
		}
		p.owner.startRelease(idle)
	})
	if !posted {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	_ = p.runAndWait(context.Background(), p.endOwnership)
}

func (p *Partition) endOwnership() {
	if p.owner != nil {
		p.owner.cancel()
		p.owner = nil
	}
}

// SetFleet installs the VMs of this partition from the VM list.
func (p *Partition) SetFleet(vms []api.VM) {
	p.post(func() {
		p.fleet = make(map[string]api.VM, len(vms))
		for _, vm := range vms {
			if vm.WorkerAddress != "" {
				p.fleet[vm.Id] = vm
			}
		}
		if p.owner != nil {
			p.owner.fleetChanged()
		}
	})
}

// SetConfig installs the configuration in force.
func (p *Partition) SetConfig(config *api.Configuration) {
	p.post(func() {
		p.config = config
		if p.owner != nil {
			p.owner.configChanged()
		}
	})
}

// Load returns the load of the partition for routing.
func (p *Partition) Load() api.PartitionLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load
}

func (p *Partition) publishLoad() {
	load := api.PartitionLoad{Partition: p.options.Partition}
	if o := p.owner; o != nil {
		load.Epoch = o.lease.Epoch
		load.Active, load.Queued = o.active, o.queued
		load.Capacity = len(p.fleet)
	}
	p.mu.Lock()
	p.load = load
	p.mu.Unlock()
}

// Dump is the state of a partition in the state dump of a process.
type Dump struct {
	Partition string             `json:"partition"`
	Owned     bool               `json:"owned"`
	Ready     bool               `json:"ready"`
	Epoch     int                `json:"epoch"`
	Jobs      int                `json:"unfinished_jobs"`
	Saving    int                `json:"saving_jobs"`
	Workers   []WorkerDump       `json:"workers"`
	Scheduler scheduler.Snapshot `json:"cell"`
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
	d := Dump{Partition: p.options.Partition}
	err := p.runAndWait(ctx, func() {
		if p.owner != nil {
			p.owner.dump(&d)
		}
	})
	return d, err
}
