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

// loadRecords reads the job records of the partition and hands them over page
// by page. It retries until it succeeds or the tenure ends.
func (t *tenure) loadRecords() {
	var all []Record
	for after := ""; ; {
		page, next, err := t.p.opts.Records.Load(t.ctx, t.lease.Partition, after, loadPageSize)
		if t.ctx.Err() != nil {
			return
		}
		if err != nil {
			event.JobsLoadFailed.Log(t.logger, "err", err)
			if !clock.Sleep(t.ctx, loadRetryDelay) {
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
	t.post(func() { t.loaded(all) })
}

// loaded takes over the jobs of the previous owner. Tasks that were started
// count as held by their VMs until the workers report.
func (t *tenure) loaded(records []Record) {
	for _, r := range records {
		if !finishedState(r.Row.State) {
			t.adopt(r)
		}
	}
	t.addUnseen()
	t.ready = true
	event.JobsLoaded.Log(t.logger, "records", len(records), "unfinished", len(t.jobs))
	for _, w := range t.workers {
		w.next = 0 // the fences that are already known are compared with the records
		w.compared = false
	}
}

// adopt takes over one unfinished job.
func (t *tenure) adopt(r Record) {
	key := jobKey(r.Row.Spec.Team, r.Row.Spec.Id)
	j := &job{key: key, row: r.Row, version: r.Version}
	t.add(j)
	if err := t.cell.Adopt(schedulerJob(r.Row.Spec), t.now()); err != nil {
		event.JobNotAdopted.Log(t.logger, "job", key, "err", err)
		return
	}
	for i, task := range r.Row.Tasks {
		if task.Attempt == 0 && task.State == api.TaskStatePending {
			continue
		}
		started := time.UnixMilli(int64(task.StartedUnixMs))
		if err := t.cell.Restore(scheduler.NewTaskID(key, i), task.Vm, task.Attempt, task.State, started); err != nil {
			event.JobNotAdopted.Log(t.logger, "job", key, "err", err)
		}
	}
	if r.Row.Reason != "" { // canceled or failed, with tasks still to be stopped
		t.carryOut(t.cell.Cancel(key, t.now()))
	}
}

// SubmitJob accepts a job: it is stored before SubmitJob returns without error.
// A repeated submission of the same job returns its present state.
func (p *Partition) SubmitJob(ctx context.Context, in *api.SubmitJobRequest) (*api.JobRow, error) {
	type result struct {
		row api.JobRow
		err error
	}
	results := make(chan result, 1)
	reply := func(row api.JobRow, err error) { results <- result{row, err} }
	if err := p.call(ctx, func() { p.owned.submit(in.Spec, reply) }); err != nil {
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

func (t *tenure) submit(spec api.JobSpec, reply func(api.JobRow, error)) {
	if err := t.usable(); err != nil {
		reply(api.JobRow{}, err)
		return
	}
	normalize(&spec)
	key := jobKey(spec.Team, spec.Id)
	if j, ok := t.jobs[key]; ok {
		t.resubmit(j, spec, reply)
		return
	}
	if len(t.jobs) >= maxJobsInMemory {
		reply(api.JobRow{}, errkind.New(errkind.Overloaded, "", "partition %s holds %d unfinished jobs", t.lease.Partition, len(t.jobs)))
		return
	}
	if spec.DeadlineUnixMs > 0 && int64(spec.DeadlineUnixMs) <= t.now().UnixMilli() {
		reply(api.JobRow{}, errkind.New(errkind.DeadlineExceeded, "deadline_unix_ms", "the deadline has passed"))
		return
	}
	if err := t.cell.Submit(schedulerJob(spec), t.now()); err != nil {
		reply(api.JobRow{}, err)
		return
	}
	j := &job{key: key, row: newRow(spec, t.lease.Partition, t.now())}
	t.add(j)
	j.waiting = append(j.waiting, func(err error) { reply(copyRow(j.row), err) })
	t.markDirty(j)
}

// normalize fills in defaults, so that repeated submissions compare equal.
func normalize(spec *api.JobSpec) {
	if spec.Class == api.ClassService {
		spec.MaxAttempts = math.MaxInt32 // a service is restarted for as long as it is wanted
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

// resubmit answers a submission of a job that is in memory, once it is stored.
func (t *tenure) resubmit(j *job, spec api.JobSpec, reply func(api.JobRow, error)) {
	if j.row.Spec != spec {
		reply(api.JobRow{}, errkind.New(errkind.RequestIDConflict, "id", "job %q exists with another specification", spec.Id))
		return
	}
	if j.version != 0 {
		reply(copyRow(j.row), nil)
		return
	}
	t.markDirty(j)
	j.waiting = append(j.waiting, func(err error) { reply(copyRow(j.row), err) })
}

// CancelJob cancels what has not ended of a job. Running tasks are stopped.
func (p *Partition) CancelJob(ctx context.Context, ref *api.JobRef) (*api.JobRow, error) {
	var row api.JobRow
	var found bool
	var err error
	callErr := p.call(ctx, func() {
		if err = p.owned.usable(); err != nil {
			return
		}
		var j *job
		if j, found = p.owned.jobs[jobKey(ref.Team, ref.Id)]; found {
			p.owned.cancelJob(j)
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

func (t *tenure) cancelJob(j *job) {
	if j.finished() {
		return
	}
	j.row.Reason = canceledReason
	t.carryOut(t.cell.Cancel(j.key, t.now()))
	t.endPending(j, api.TaskStateCanceled)
}

// endPending ends the tasks of j that are not on any VM.
func (t *tenure) endPending(j *job, state api.TaskState) {
	for i, task := range j.row.Tasks {
		if task.State == api.TaskStatePending {
			t.setTask(j, i, state, task.Vm, task.Attempt)
		}
	}
	t.update(j)
}

// JobStatus returns a job.
func (p *Partition) JobStatus(ctx context.Context, ref *api.JobRef) (*api.JobRow, error) {
	var row api.JobRow
	var found bool
	err := p.call(ctx, func() {
		if p.owned == nil {
			return
		}
		if j, ok := p.owned.jobs[jobKey(ref.Team, ref.Id)]; ok && j.version != 0 {
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
	r, err := p.opts.Records.Get(ctx, ref)
	if err != nil {
		return nil, err
	}
	if r.Version == 0 {
		return nil, errkind.New(errkind.NotFound, "id", "team %s has no job %q", ref.Team, ref.Id)
	}
	return &r.Row, nil
}

// ListJobs returns a page of jobs of a team, or of all teams: stored ones with
// the newest state of those in memory. A page is short only at the end.
func (p *Partition) ListJobs(ctx context.Context, in *api.ListJobsRequest) (*api.JobList, error) {
	limit := in.Limit
	if limit <= 0 || limit > maxListLimit {
		limit = maxListLimit
	}
	list := &api.JobList{}
	for after := in.After; len(list.Jobs) < limit; {
		records, err := p.opts.Records.List(ctx, in.Partition, in.Team, after, loadPageSize)
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			break
		}
		rows, err := p.newest(ctx, records)
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

// listKey is the key of a job in a list of one team, or of all teams.
func listKey(team string, spec api.JobSpec) string {
	if team == "" {
		return jobKey(spec.Team, spec.Id)
	}
	return spec.Id
}

// newest replaces stored rows by those in memory.
func (p *Partition) newest(ctx context.Context, records []Record) ([]api.JobRow, error) {
	rows := make([]api.JobRow, len(records))
	err := p.call(ctx, func() {
		for i, r := range records {
			rows[i] = r.Row
			if p.owned == nil {
				continue
			}
			if j, ok := p.owned.jobs[jobKey(r.Row.Spec.Team, r.Row.Spec.Id)]; ok {
				rows[i] = copyRow(j.row)
			}
		}
	})
	return rows, err
}
