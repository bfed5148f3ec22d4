package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/platform"
)

const (
	maxSyncBytes      = 4 << 20
	defaultMeanRun    = time.Second
	checkpointTimeout = 5 * time.Second
)

// WorkerMode is how a worker behaves. The zero value is healthy.
type WorkerMode struct {
	Draining bool // refuse new tasks
	FailAll  bool // every task fails as soon as it is started
}

// WorkerOptions of a Worker.
type WorkerOptions struct {
	VM       api.VM
	Recorder *history.Recorder
	Objects  platform.ObjectStore // for checkpoints
	Seed     uint64               // of run times, true sizes and the clock
	MeanRun  time.Duration        // of tasks whose payload does not tell; 1 s
	UsageLag time.Duration        // age of measurements
}

// Worker stands in for a worker. It refuses no task for lack of room, so that a
// history shows when the VM is overfilled.
type Worker struct {
	faultSwitch
	options WorkerOptions
	mux     *http.ServeMux
	start   time.Time
	offset  time.Duration // makes the clocks of workers differ

	mu         sync.Mutex
	rng        *rand.Rand
	fence      fence
	mode       WorkerMode
	tasks      map[string]*task
	attempts   map[string]int // last attempt of each task, kept when it is forgotten
	leaseUntil time.Duration  // on the clock of the worker
	leaseTimer *time.Timer
	lost       bool
}

// NewWorker returns a healthy worker without tasks.
func NewWorker(o WorkerOptions) *Worker {
	if o.MeanRun <= 0 {
		o.MeanRun = defaultMeanRun
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	w := &Worker{
		options:  o,
		mux:      http.NewServeMux(),
		start:    time.Now(),
		offset:   time.Duration(rng.Int64N(int64(24 * time.Hour))),
		rng:      rng,
		fence:    fence{},
		tasks:    map[string]*task{},
		attempts: map[string]int{},
	}
	w.mux.HandleFunc("POST "+platform.PathSync, w.serveSync)
	return w
}

// SetMode replaces the mode.
func (w *Worker) SetMode(m WorkerMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
}

// UpdateMode changes the mode.
func (w *Worker) UpdateMode(change func(*WorkerMode)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.mode)
}

// Lose ends all tasks and answers no further call.
func (w *Worker) Lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = true
	for _, t := range w.tasks {
		t.disarm()
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
}

// Running returns the IDs of the tasks that run, sorted.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, t := range w.tasks {
		if t.state == api.TaskReportStateRunning && !w.lost {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ServeHTTP serves the protocol of workers.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

func (w *Worker) serveSync(rw http.ResponseWriter, r *http.Request) {
	var in api.WorkerSync
	if forOtherVM(rw, r, w.options.VM.Id) || !readJSON(rw, r, maxSyncBytes, &in) {
		return
	}
	if v := w.before(r.Context(), true); v != proceed {
		writeVerdict(rw, v)
		return
	}
	report, taken := w.sync(&in)
	if report == nil || !w.after(r.Context(), true) {
		panic(http.ErrAbortHandler)
	}
	if !taken {
		refuseCall(rw, platform.RefusedFenced)
		return
	}
	writeJSON(rw, report)
}

// sync does the commands of a call. It returns no report if the VM is lost.
func (w *Worker) sync(in *api.WorkerSync) (report *api.WorkerReport, taken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return nil, false
	}
	if !w.fence.pass(in.Partition, in.Epoch) {
		return w.report(in.Partition), false
	}
	w.extendLease(in.LeaseUntilMs)
	for _, id := range in.Forget {
		if t, ok := w.tasks[id]; ok && t.state != api.TaskReportStateRunning {
			delete(w.tasks, id)
		}
	}
	for _, s := range in.Stops {
		w.stopTask(s)
	}
	for _, s := range in.Throttles {
		if t := w.running(s.TaskId, s.Attempt); t != nil && !t.checkpointing {
			t.setThrottle(s.Percent)
			w.arm(t)
		}
	}
	for _, s := range in.Starts {
		w.startTask(s, time.Duration(in.LeaseUntilMs)*time.Millisecond)
	}
	return w.report(in.Partition), true
}

// clock returns the time on the clock of the worker.
func (w *Worker) clock() time.Duration { return w.offset + time.Since(w.start) }

// extendLease moves the end of all leases to a time on the clock of the worker.
// It never moves it back, as calls may arrive out of order.
func (w *Worker) extendLease(untilMs int) {
	until := time.Duration(untilMs) * time.Millisecond
	if until <= w.leaseUntil {
		return
	}
	w.leaseUntil = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(until-w.clock(), w.lapse)
}

// lapse stops all tasks if the lease has expired.
func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost || w.clock() < w.leaseUntil {
		return
	}
	for _, t := range w.tasks {
		if t.state == api.TaskReportStateRunning {
			w.finish(t, api.TaskReportStateStopped, 0, "lease expired")
		}
	}
}

func (w *Worker) running(id string, attempt int) *task {
	t, ok := w.tasks[id]
	if !ok || t.start.Attempt != attempt || t.state != api.TaskReportStateRunning {
		return nil
	}
	return t
}

// startTask starts a task unless the call repeats an earlier one. lease is the
// end of the lease that came with the start.
func (w *Worker) startTask(s api.TaskStart, lease time.Duration) {
	if known, ok := w.tasks[s.TaskId]; ok && known.start.Attempt >= s.Attempt {
		return // it is in the report as it is
	}
	t := newTask(s, w.options.MeanRun, w.rng)
	if reason := w.refusal(s, lease); reason != "" {
		t.state, t.reason = api.TaskReportStateRefused, reason
		w.options.Recorder.Add(w.record(history.Refused, t, reason))
		if other, ok := w.tasks[s.TaskId]; !ok || other.state != api.TaskReportStateRunning {
			w.tasks[s.TaskId] = t
		}
		return
	}
	w.tasks[s.TaskId] = t
	w.attempts[s.TaskId] = s.Attempt
	w.options.Recorder.Add(w.record(history.TaskStart, t, ""))
	if w.mode.FailAll {
		w.finish(t, api.TaskReportStateFailed, 1, "the worker fails every task")
		return
	}
	if s.Checkpoint == "" || w.options.Objects == nil {
		w.arm(t)
		return
	}
	go w.restore(t)
}

// refusal returns why a task is not started, or "".
func (w *Worker) refusal(s api.TaskStart, lease time.Duration) string {
	other, ok := w.tasks[s.TaskId]
	switch {
	case s.Attempt <= w.attempts[s.TaskId]:
		return "the attempt is not higher than the last"
	case ok && other.state == api.TaskReportStateRunning:
		return "an earlier attempt is running"
	case w.clock() >= lease:
		// The call was under way for longer than its lease. The owner may have
		// started the task elsewhere since.
		return "the lease of the start has expired"
	case w.mode.Draining:
		return "the VM is leaving"
	}
	return ""
}

// arm sets the timer for the end of a task.
func (w *Worker) arm(t *task) {
	left, ends := t.arm()
	if !ends {
		return
	}
	armed := t.armed
	t.timer = time.AfterFunc(left, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.lost || t.armed != armed || t.state != api.TaskReportStateRunning {
			return
		}
		state := api.TaskReportStateExited
		if t.order.ExitCode != 0 {
			state = api.TaskReportStateFailed
		}
		w.finish(t, state, t.order.ExitCode, "")
	})
}

// finish ends a running task.
func (w *Worker) finish(t *task, state api.TaskReportState, exitCode int, reason string) {
	t.disarm()
	t.state, t.exitCode, t.reason = state, exitCode, reason
	w.options.Recorder.Add(w.record(history.TaskStop, t, string(state)+": "+reason))
}

func (w *Worker) record(kind history.Kind, t *task, reason string) history.Record {
	return history.Record{
		Kind: kind, VM: w.options.VM.Id, Team: t.start.Team, Task: t.start.TaskId,
		Attempt: t.start.Attempt, Resources: t.start.Resources, Reason: strings.TrimSuffix(reason, ": "),
	}
}

// stopTask stops a task, after a checkpoint if it is asked for. A stop without
// one also ends a task that still writes its checkpoint.
func (w *Worker) stopTask(s api.TaskStop) {
	if s.Attempt > w.attempts[s.TaskId] {
		w.stopUnknown(s)
		return
	}
	t := w.running(s.TaskId, s.Attempt)
	if t == nil {
		return
	}
	if s.Mode != api.StopModeCheckpoint || w.options.Objects == nil {
		w.finish(t, api.TaskReportStateStopped, 0, "stopped")
		return
	}
	if t.checkpointing {
		return
	}
	t.checkpointing = true
	t.disarm()
	go w.saveCheckpoint(t, t.checkpointData())
}

// stopUnknown notes the stop of an attempt that has not arrived, so that its
// start, if it is still under way, is not carried out.
func (w *Worker) stopUnknown(s api.TaskStop) {
	if w.running(s.TaskId, w.attempts[s.TaskId]) != nil {
		return // an earlier attempt still runs; its own stop must come first
	}
	t := newTask(api.TaskStart{TaskId: s.TaskId, Attempt: s.Attempt}, w.options.MeanRun, w.rng)
	t.state, t.reason = api.TaskReportStateStopped, "stopped before its start arrived"
	w.tasks[s.TaskId] = t
	w.attempts[s.TaskId] = s.Attempt
}

// saveCheckpoint writes a checkpoint and then stops the task.
func (w *Worker) saveCheckpoint(t *task, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), checkpointTimeout)
	defer cancel()
	key := t.checkpointKey()
	err := w.options.Objects.Put(ctx, key, data)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost || t.state != api.TaskReportStateRunning {
		return
	}
	if err != nil {
		w.finish(t, api.TaskReportStateStopped, 0, "the checkpoint could not be written: "+err.Error())
		return
	}
	t.checkpoint = key
	w.finish(t, api.TaskReportStateCheckpointed, 0, "")
}

// restore continues a task from its checkpoint, or from its start if that cannot
// be read.
func (w *Worker) restore(t *task) {
	ctx, cancel := context.WithTimeout(context.Background(), checkpointTimeout)
	defer cancel()
	data, err := w.options.Objects.Get(ctx, t.start.Checkpoint)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost || t.state != api.TaskReportStateRunning || t.checkpointing {
		return
	}
	if err == nil {
		t.restore(data)
	}
	w.arm(t)
}

func (w *Worker) report(partition string) *api.WorkerReport {
	out := &api.WorkerReport{
		Vm:       w.options.VM.Id,
		Capacity: w.options.VM.Capacity,
		ClockMs:  int(w.clock().Milliseconds()),
		Draining: w.mode.Draining,
		Epoch:    w.fence[partition],
		Tasks:    []api.TaskReport{},
	}
	for _, t := range w.tasks {
		out.Tasks = append(out.Tasks, t.report(w.options.UsageLag))
	}
	slices.SortFunc(out.Tasks, func(a, b api.TaskReport) int { return strings.Compare(a.TaskId, b.TaskId) })
	return out
}
