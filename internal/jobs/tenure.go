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

// tenure is the control state of a partition during one ownership. All methods
// run on the control goroutine of the partition.
type tenure struct {
	p        *Partition
	lease    api.PartitionLease
	logger   log.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	cell     *scheduler.Cell
	jobs     map[string]*job    // unfinished jobs and those whose end is being saved, by job key
	dirty    map[string]*job    // jobs whose rows are to be written
	workers  map[string]*worker // by VM
	urgent   map[*worker]struct{}
	onVM     map[string]map[heldTask]struct{} // active tasks by VM
	active   int                              // tasks on VMs
	queued   int                              // tasks that wait
	ready    bool                             // job records are loaded
	draining chan struct{}                    // closed when nothing is in flight; nil unless releasing
	drained  bool

	acquired  time.Duration // boot time of the acquisition
	excluded  time.Duration // boot time at which the previous owner was first known to be excluded
	nextQuota time.Duration
	nextPurge time.Duration
	// nextWorkers spaces the looks at all workers, which would otherwise follow
	// each of their reports.
	nextWorkers time.Duration
	calls       int // record writes and worker calls in flight
}

func newTenure(p *Partition, lease api.PartitionLease) *tenure {
	ctx, cancel := context.WithCancel(p.ctx)
	t := &tenure{
		p:        p,
		lease:    lease,
		logger:   log.With(p.opts.Logger, "partition", lease.Partition, "epoch", lease.Epoch),
		ctx:      ctx,
		cancel:   cancel,
		cell:     scheduler.New(scheduler.DefaultPolicy()),
		jobs:     map[string]*job{},
		dirty:    map[string]*job{},
		urgent:   map[*worker]struct{}{},
		onVM:     map[string]map[heldTask]struct{}{},
		workers:  map[string]*worker{},
		acquired: p.opts.Clock.Boot(),
	}
	event.JobsAcquired.Log(t.logger, "previous", lease.PreviousIncarnation)
	t.configChanged()
	t.fleetChanged()
	p.calls.Go(t.loadRecords)
	return t
}

// post hands f to the control goroutine; f is dropped if the tenure has ended.
func (t *tenure) post(f func()) {
	t.p.post(func() {
		if t.ctx.Err() == nil {
			f()
		}
	})
}

// begin starts an operation off the control goroutine. Its result is handled by
// the function that work returns, on the control goroutine.
func (t *tenure) begin(work func(ctx context.Context) func()) {
	t.calls++
	t.p.calls.Go(func() {
		handle := work(t.ctx)
		t.post(func() {
			t.calls--
			handle()
		})
	})
}

func (t *tenure) boot() time.Duration { return t.p.opts.Clock.Boot() }

func (t *tenure) now() time.Time { return t.p.opts.Clock.Now() }

// step does everything that is due.
func (t *tenure) step() {
	if t.draining != nil {
		t.stepDrain()
		return
	}
	t.updateExclusion()
	if t.p.opts.Leadership.Lead() != nil {
		return // neither renews leases nor places work until leadership is certain
	}
	t.stepWorkers()
	if !t.ready {
		return
	}
	t.stepQuota()
	t.schedule()
	t.callUrgent()
	t.saveDirty()
	t.stepPurge()
}

func (t *tenure) updateExclusion() {
	if t.excluded != 0 {
		return
	}
	previous := t.lease.PreviousIncarnation
	if previous == "" || previous == t.lease.Incarnation || t.p.opts.Leadership.Excluded(previous) {
		t.excluded = t.boot()
	}
}

// previousLeasesExpired reports whether no task lease that the previous owner
// renewed can be in force any more.
func (t *tenure) previousLeasesExpired() bool {
	if t.excluded == 0 {
		return false
	}
	if t.lease.PreviousIncarnation == "" {
		// A released partition was left with the leases that were in force then.
		return t.boot()-t.acquired > taskLease+leaseMargin
	}
	return t.boot()-t.excluded > taskLease+leaseMargin
}

// drain stops new work; idle is closed when no call is in flight.
func (t *tenure) drain(idle chan struct{}) {
	t.draining = idle
	t.stepDrain()
}

func (t *tenure) stepDrain() {
	t.saveDirty()
	if t.calls == 0 && !t.drained {
		t.drained = true
		event.JobsReleased.Log(t.logger, "jobs", len(t.jobs))
		close(t.draining)
	}
}

// superseded ends the tenure because a newer owner exists.
func (t *tenure) superseded(reason string) {
	event.JobsSuperseded.Log(t.logger, "reason", reason)
	t.cancel()
	t.p.owned = nil
	if t.p.opts.Superseded != nil {
		go t.p.opts.Superseded(t.lease)
	}
}

// usable returns an error if the tenure cannot take calls now.
func (t *tenure) usable() error {
	switch {
	case t == nil:
		return errkind.New(errkind.OwnerUnavailable, "", "this node does not own the partition")
	case t.draining != nil:
		return errkind.New(errkind.OwnerUnavailable, "", "partition %s is being handed over", t.lease.Partition)
	case !t.ready:
		return errkind.New(errkind.OwnerUnavailable, "", "job records of partition %s are being loaded", t.lease.Partition)
	}
	return t.p.opts.Leadership.Lead()
}

func (t *tenure) configChanged() {
	if t.p.config != nil {
		t.cell.SetTeams(t.p.config.Teams)
	}
}

func (t *tenure) stepQuota() {
	now := t.boot()
	if now < t.nextQuota || t.p.config == nil {
		return
	}
	t.nextQuota = now + quotaInterval
	for _, team := range t.p.config.Teams {
		used := t.cell.Usage(team.Name)
		// Only Demand lowers what is held, so the budget must be taken after it: one
		// taken before may include an allotment that is being returned.
		t.p.opts.Ledger.Demand(team.Name, used, sum(used, t.cell.Wanted(team.Name)))
		t.cell.SetBudget(team.Name, t.p.opts.Ledger.Held(team.Name))
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

func (t *tenure) dump(d *Dump) {
	d.Owned = true
	d.Ready = t.ready
	d.Epoch = t.lease.Epoch
	d.Jobs = len(t.jobs)
	for _, j := range t.jobs {
		if j.saving {
			d.Saving++
		}
	}
	for _, w := range t.workers {
		d.Workers = append(d.Workers, w.dump(t.boot()))
	}
	sort.Slice(d.Workers, func(i, j int) bool { return d.Workers[i].VM < d.Workers[j].VM })
	d.Cell = t.cell.Snapshot()
}
