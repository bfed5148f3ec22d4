package jobs

import (
	"context"
	"sort"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/scheduler"
)

// owner is the control state of a partition during one ownership. Its methods run
// on the control goroutine of the partition, except loadRecords, purge and post.
type owner struct {
	partition *Partition
	lease     api.PartitionLease
	logger    log.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	scheduler *scheduler.State
	// jobs are the unfinished jobs and those whose end is not yet stored, by job key.
	jobs           map[string]*job
	dirty          map[string]*job                 // jobs whose rows must be written, by job key
	workers        map[string]*worker              // by VM
	requestedCalls map[*worker]struct{}            // workers for which a call was requested
	activeByVM     map[string]map[taskRef]struct{} // active tasks
	active         int                             // number of active tasks
	queued         int                             // number of pending tasks
	ready          bool                            // the job records are loaded
	// releasing is closed when nothing is in flight. It is nil unless a release is in
	// progress.
	releasing chan struct{}
	released  bool // releasing is closed

	acquiredAt time.Duration // boot time when the lease was acquired
	// previousCannotLeadSince is the boot time when the previous owner was first known
	// to be unable to lead; 0 before.
	previousCannotLeadSince time.Duration
	nextQuota               time.Duration // boot time of the next update of demand and allotments
	nextPurge               time.Duration // boot time of the next purge
	// nextWorkerScan is the boot time of the next scan of all workers. Without this
	// limit, a scan would follow each of their reports.
	nextWorkerScan time.Duration
	inFlight       int // record reads and writes, purges and worker calls in flight
}

func newOwner(p *Partition, lease api.PartitionLease) *owner {
	ctx, cancel := context.WithCancel(p.ctx)
	o := &owner{
		partition:      p,
		lease:          lease,
		logger:         log.With(p.options.Logger, "partition", lease.Partition, "epoch", lease.Epoch),
		ctx:            ctx,
		cancel:         cancel,
		scheduler:      scheduler.New(scheduler.DefaultPolicy()),
		jobs:           map[string]*job{},
		dirty:          map[string]*job{},
		requestedCalls: map[*worker]struct{}{},
		activeByVM:     map[string]map[taskRef]struct{}{},
		workers:        map[string]*worker{},
		acquiredAt:     p.options.Clock.Boot(),
	}
	event.WorkerPartitionAcquired.Log(o.logger, "previous", lease.PreviousIncarnation)
	o.configChanged()
	o.fleetChanged()
	p.goroutines.Go(o.loadRecords)
	return o
}

// post passes f to the control goroutine. f is dropped if the ownership has
// ended.
func (o *owner) post(f func()) {
	o.partition.post(func() {
		if o.ctx.Err() == nil {
			f()
		}
	})
}

// runAsync runs work in another goroutine. The function that work returns then
// handles the result on the control goroutine.
func (o *owner) runAsync(work func(ctx context.Context) func()) {
	o.inFlight++
	o.partition.goroutines.Go(func() {
		handle := work(o.ctx)
		o.post(func() {
			o.inFlight--
			handle()
		})
	})
}

func (o *owner) bootTime() time.Duration { return o.partition.options.Clock.Boot() }

func (o *owner) now() time.Time { return o.partition.options.Clock.Now() }

// reconcile carries out everything that is due.
func (o *owner) reconcile() {
	if o.releasing != nil {
		o.continueRelease()
		return
	}
	o.checkPreviousOwner()
	if o.partition.options.Leadership.CheckLead() != nil {
		return // renews no leases and places no work while leadership is uncertain
	}
	o.reconcileWorkers()
	if !o.ready {
		return
	}
	o.updateQuota()
	o.schedule()
	o.makeRequestedCalls()
	o.saveDirtyJobs()
	o.startPurge()
}

// checkPreviousOwner records the time at which the previous owner is first known
// to be unable to lead.
func (o *owner) checkPreviousOwner() {
	if o.previousCannotLeadSince != 0 {
		return
	}
	previous := o.lease.PreviousIncarnation
	if previous == "" || previous == o.lease.Incarnation || o.partition.options.Leadership.CannotLead(previous) {
		o.previousCannotLeadSince = o.bootTime()
	}
}

// previousLeasesExpired reports whether all task leases that the previous owner
// renewed have certainly expired.
func (o *owner) previousLeasesExpired() bool {
	if o.previousCannotLeadSince == 0 {
		return false
	}
	if o.lease.PreviousIncarnation == "" {
		// The partition was released before this node acquired it; task leases
		// renewed until then may still be in force.
		return o.bootTime()-o.acquiredAt > taskLease+leaseMargin
	}
	return o.bootTime()-o.previousCannotLeadSince > taskLease+leaseMargin
}

// startRelease stops new work. idle is closed when no call is in flight.
func (o *owner) startRelease(idle chan struct{}) {
	o.releasing = idle
	o.continueRelease()
}

func (o *owner) continueRelease() {
	o.saveDirtyJobs()
	if o.inFlight == 0 && !o.released {
		o.released = true
		event.WorkerPartitionReleased.Log(o.logger, "jobs", len(o.jobs))
		close(o.releasing)
	}
}

// superseded ends the ownership because a newer owner exists.
func (o *owner) superseded(reason string) {
	event.WorkerPartitionSuperseded.Log(o.logger, "reason", reason)
	o.cancel()
	o.partition.owner = nil
	if o.partition.options.Superseded != nil {
		go o.partition.options.Superseded(o.lease)
	}
}

// checkServing returns an error if the owner cannot serve calls now.
func (o *owner) checkServing() error {
	switch {
	case o == nil:
		return errkind.New(errkind.OwnerUnavailable, "", "this node does not own the partition")
	case o.releasing != nil:
		return errkind.New(errkind.OwnerUnavailable, "", "partition %s is being handed over", o.lease.Partition)
	case !o.ready:
		return errkind.New(errkind.OwnerUnavailable, "", "job records of partition %s are being loaded", o.lease.Partition)
	}
	return o.partition.options.Leadership.CheckLead()
}

func (o *owner) configChanged() {
	if o.partition.config != nil {
		o.scheduler.SetTeams(o.partition.config.Teams)
	}
}

func (o *owner) updateQuota() {
	now := o.bootTime()
	if now < o.nextQuota || o.partition.config == nil {
		return
	}
	o.nextQuota = now + quotaInterval
	// A team that was removed from the configuration still returns its allotment.
	for _, team := range o.scheduler.TeamNames() {
		used := o.scheduler.Allocated(team)
		// Only ReportDemand lowers the allotment, so Allotment must be called after
		// it: an earlier value may include an allotment that is being returned.
		o.partition.options.Ledger.ReportDemand(team, used, sum(used, o.scheduler.PendingDemand(team)))
		o.scheduler.SetBudget(team, o.partition.options.Ledger.Allotment(team))
	}
}

func sum(a, b api.Resources) api.Resources {
	return api.Resources{
		CpuMillis:    a.CpuMillis + b.CpuMillis,
		MemoryMb:     a.MemoryMb + b.MemoryMb,
		Accelerators: a.Accelerators + b.Accelerators,
		Slots:        a.Slots + b.Slots,
	}
}

func (o *owner) dump(d *Dump) {
	d.Owned = true
	d.Ready = o.ready
	d.Epoch = o.lease.Epoch
	d.Jobs = len(o.jobs)
	for _, j := range o.jobs {
		if j.saving {
			d.Saving++
		}
	}
	for _, w := range o.workers {
		d.Workers = append(d.Workers, w.dump(o.bootTime()))
	}
	sort.Slice(d.Workers, func(i, j int) bool { return d.Workers[i].VM < d.Workers[j].VM })
	d.Scheduler = o.scheduler.Snapshot()
}
