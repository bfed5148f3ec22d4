package jobs

import (
	"context"
	"math"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/scheduler"
)

const (
	maxJobsInMemory    = 20000 // unfinished jobs of one partition
	canceledReason     = "canceled by the submitter"
	defaultMaxAttempts = 3    // starts of a task of a batch job or gang
	loadPageSize       = 500  // records read in one scan
	maxListLimit       = 1000 // jobs in one page of a list
)

// loadRecords reads all job records of the partition page by page, then hands
// them to the control goroutine. It runs in its own goroutine and retries until
// it succeeds or the ownership ends.
func (o *owner) loadRecords() {
	var all []Record
	for after := ""; ; {
		page, next, err := o.partition.options.Records.Load(o.ctx, o.lease.Partition, after, loadPageSize)
		if o.ctx.Err() != nil {
			return
		}
		if err != nil {
			event.JobsLoadFailed.Log(o.logger, "err", err)
			if !clock.Sleep(o.ctx, loadRetryDelay) {
				return
			}
			continue
		}
		all = append(all, page...)
		if next == "" {
			break
		}
		after = next
	}
	o.post(func() { o.handleLoaded(all) })
}

// handleLoaded adopts the jobs of the previous owner. Active tasks count as
// occupying their VMs until the workers report.
func (o *owner) handleLoaded(records []Record) {
	for _, r := range records {
		if !jobFinished(r.Row.State) {
			o.adoptJob(r)
		}
	}
	o.addUnlistedWorkers()
	o.ready = true
	event.JobsLoaded.Log(o.logger, "records", len(records), "unfinished", len(o.jobs))
	for _, w := range o.workers {
		w.nextCall = 0 // call fenced workers again, to compare their reports with the records
		w.reconciled = false
	}
}

// adoptJob adds an unfinished job to the memory of the owner and to the scheduler. If
// the job was canceled or failed, the stops of its active tasks are decided again.
func (o *owner) adoptJob(r Record) {
	key := jobKey(r.Row.Spec.Team, r.Row.Spec.Id)
	j := &job{key: key, row: r.Row, version: r.Version}
	o.addJob(j)
	if err := o.scheduler.RestoreJob(schedulerJob(r.Row.Spec), o.now()); err != nil {
		event.JobRestoreFailed.Log(o.logger, "job", key, "err", err)
		return
	}
	for i, task := range r.Row.Tasks {
		if task.Attempt == 0 && task.State == api.TaskStatePending {
			continue
		}
		started := time.UnixMilli(int64(task.StartedUnixMs))
		if err := o.scheduler.RestoreTask(scheduler.NewTaskID(key, i), task.Vm, task.Attempt, task.State, started); err != nil {
			event.JobRestoreFailed.Log(o.logger, "job", key, "err", err)
		}
	}
	if r.Row.Reason != "" { // canceled or failed, but tasks must still be stopped
		o.applyDecisions(o.scheduler.Cancel(key, o.now()))
	}
}

// SubmitJob accepts a job. The job is stored before SubmitJob returns without
// error. A repeated submission of the same job returns its current state.
func (p *Partition) SubmitJob(ctx context.Context, in *api.SubmitJobRequest) (*api.JobRow, error) {
	type result struct {
		row api.JobRow
		err error
	}
	results := make(chan result, 1)
	reply := func(row api.JobRow, err error) { results <- result{row, err} }
	if err := p.runAndWait(ctx, func() { p.owner.submit(in.Spec, reply) }); err != nil {
		return nil, err
	}
	select {
	case r := <-results:
		if r.err != nil {
			return nil, r.err
		}
		return &r.row, nil
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "the record of job %s was not confirmed in time", in.Spec.Id)
	case <-p.ctx.Done():
		return nil, errkind.New(errkind.OutcomeUnknown, "", "the node stopped while job %s was being stored", in.Spec.Id)
	}
}

func (o *owner) submit(spec api.JobSpec, reply func(api.JobRow, error)) {
	if err := o.checkServing(); err != nil {
		reply(api.JobRow{}, err)
		return
	}
	applyDefaults(&spec)
	key := jobKey(spec.Team, spec.Id)
	if j, ok := o.jobs[key]; ok {
		o.resubmit(j, spec, reply)
		return
	}
	if len(o.jobs) >= maxJobsInMemory {
		reply(api.JobRow{}, errkind.New(errkind.Overloaded, "", "partition %s holds %d unfinished jobs", o.lease.Partition, len(o.jobs)))
		return
	}
	if spec.DeadlineUnixMs > 0 && int64(spec.DeadlineUnixMs) <= o.now().UnixMilli() {
		reply(api.JobRow{}, errkind.New(errkind.DeadlineExceeded, "deadline_unix_ms", "the deadline has passed"))
		return
	}
	if err := o.scheduler.Submit(schedulerJob(spec), o.now()); err != nil {
		reply(api.JobRow{}, err)
		return
	}
	j := &job{key: key, row: newRow(spec, o.lease.Partition, o.now())}
	o.addJob(j)
	j.nextCallbacks = append(j.nextCallbacks, func(err error) { reply(copyRow(j.row), err) })
	o.markDirty(j)
}

// applyDefaults fills in default values, so that repeated submissions compare
// equal.
func applyDefaults(spec *api.JobSpec) {
	if spec.Class == api.ClassService {
		spec.MaxAttempts = math.MaxInt32 // a service is restarted without limit
	} else if spec.MaxAttempts == 0 {
		spec.MaxAttempts = defaultMaxAttempts
	}
}

func newRow(spec api.JobSpec, partition string, now time.Time) api.JobRow {
	row := api.JobRow{
		Spec:            spec,
		Partition:       partition,
		State:           api.JobStateQueued,
		SubmittedUnixMs: int(now.UnixMilli()),
		Tasks:           make([]api.TaskRow, spec.Tasks),
	}
	for i := range row.Tasks {
		row.Tasks[i] = api.TaskRow{Index: i, State: api.TaskStatePending}
	}
	return row
}

// resubmit answers a repeated submission of a job in memory, once the job is
// stored.
func (o *owner) resubmit(j *job, spec api.JobSpec, reply func(api.JobRow, error)) {
	if j.row.Spec != spec {
		reply(api.JobRow{}, errkind.New(errkind.RequestIDConflict, "id", "job %q exists with another specification", spec.Id))
		return
	}
	if j.version != 0 {
		reply(copyRow(j.row), nil)
		return
	}
	o.markDirty(j)
	j.nextCallbacks = append(j.nextCallbacks, func(err error) { reply(copyRow(j.row), err) })
}

// CancelJob cancels the unfinished tasks of a job. Running tasks are stopped.
func (p *Partition) CancelJob(ctx context.Context, ref *api.JobRef) (*api.JobRow, error) {
	var row api.JobRow
	var found bool
	var err error
	callErr := p.runAndWait(ctx, func() {
		if err = p.owner.checkServing(); err != nil {
			return
		}
		var j *job
		if j, found = p.owner.jobs[jobKey(ref.Team, ref.Id)]; found {
			p.owner.cancelJob(j)
			row = copyRow(j.row)
		}
	})
	if callErr != nil {
		return nil, callErr
	}
	if err != nil {
		return nil, err
	}
	if !found {
		return p.storedJob(ctx, *ref)
	}
	return &row, nil
}

func (o *owner) cancelJob(j *job) {
	if j.finished() {
		return
	}
	j.row.Reason = canceledReason
	o.applyDecisions(o.scheduler.Cancel(j.key, o.now()))
	o.endPendingTasks(j, api.TaskStateCanceled)
}

// endPendingTasks ends the pending tasks of j, which are on no VM.
func (o *owner) endPendingTasks(j *job, state api.TaskState) {
	for i, task := range j.row.Tasks {
		if task.State == api.TaskStatePending {
			o.setTask(j, i, state, task.Vm, task.Attempt)
		}
	}
	o.updateJob(j)
}

// JobStatus returns the current state of a stored job that is in memory, and the
// stored state of any other job.
func (p *Partition) JobStatus(ctx context.Context, ref *api.JobRef) (*api.JobRow, error) {
	var row api.JobRow
	var found bool
	err := p.runAndWait(ctx, func() {
		if p.owner == nil {
			return
		}
		if j, ok := p.owner.jobs[jobKey(ref.Team, ref.Id)]; ok && j.version != 0 {
			row, found = copyRow(j.row), true
		}
	})
	if err != nil {
		return nil, err
	}
	if found {
		return &row, nil
	}
	return p.storedJob(ctx, *ref)
}

func (p *Partition) storedJob(ctx context.Context, ref api.JobRef) (*api.JobRow, error) {
	r, err := p.options.Records.Get(ctx, ref)
	if err != nil {
		return nil, err
	}
	if r.Version == 0 {
		return nil, errkind.New(errkind.NotFound, "id", "team %s has no job %q", ref.Team, ref.Id)
	}
	return &r.Row, nil
}

// ListJobs returns a page of stored jobs of a team, or of all teams, with the
// current state of those in memory. Only the last page may hold fewer than
// limit jobs.
func (p *Partition) ListJobs(ctx context.Context, in *api.ListJobsRequest) (*api.JobList, error) {
	limit := in.Limit
	if limit <= 0 || limit > maxListLimit {
		limit = maxListLimit
	}
	list := &api.JobList{}
	for after := in.After; len(list.Jobs) < limit; {
		records, err := p.options.Records.List(ctx, in.Partition, in.Team, after, loadPageSize)
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			break
		}
		rows, err := p.withCurrentState(ctx, records)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if in.State == "" || string(row.State) == in.State {
				list.Jobs = append(list.Jobs, row)
			}
		}
		after = listKey(in.Team, records[len(records)-1].Row.Spec)
	}
	list.Jobs = list.Jobs[:min(len(list.Jobs), limit)]
	return list, nil
}

// listKey returns the key of a job in a list of one team, or of all teams if
// team is empty.
func listKey(team string, spec api.JobSpec) string {
	if team == "" {
		return jobKey(spec.Team, spec.Id)
	}
	return spec.Id
}

// withCurrentState returns the rows of records, with those of jobs in memory
// replaced by their current state.
func (p *Partition) withCurrentState(ctx context.Context, records []Record) ([]api.JobRow, error) {
	rows := make([]api.JobRow, len(records))
	err := p.runAndWait(ctx, func() {
		for i, r := range records {
			rows[i] = r.Row
			if p.owner == nil {
				continue
			}
			if j, ok := p.owner.jobs[jobKey(r.Row.Spec.Team, r.Row.Spec.Id)]; ok {
				rows[i] = copyRow(j.row)
			}
		}
	})
	return rows, err
}
