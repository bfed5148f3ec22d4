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

// WorkerMode sets the faults of a worker. The zero value has none.
type WorkerMode struct {
	Draining bool // refuse new tasks
	FailAll  bool // every task fails as soon as it is started
}

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	VM       api.VM
	Recorder *history.Recorder
	Objects  platform.ObjectStore // for checkpoints
	Seed     uint64               // seed of random run times, usage and the clock offset
	MeanRun  time.Duration        // mean run time of tasks whose payload sets none; 0 for 1 s
	UsageLag time.Duration        // age of the reported usage
}

// Worker stands in for a worker. It does not enforce the VM's capacity, so that the
// history shows when a node exceeds it.
type Worker struct {
	faultInjector
	options     WorkerOptions
	mux         *http.ServeMux
	startedAt   time.Time
	clockOffset time.Duration // makes the clocks of workers differ

	mu         sync.Mutex
	random     *rand.Rand
	epochs     highestEpochs
	mode       WorkerMode
	tasks      map[string]*task
	attempts   map[string]int // last attempt of each task, kept after the task is forgotten
	leaseUntil time.Duration  // on the clock of the worker
	leaseTimer *time.Timer
	vmLost     bool
}

// NewWorker returns a worker without tasks or faults.
func NewWorker(o WorkerOptions) *Worker {
	if o.MeanRun <= 0 {
		o.MeanRun = defaultMeanRun
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	w := &Worker{
		options:     o,
		mux:         http.NewServeMux(),
		startedAt:   time.Now(),
		clockOffset: time.Duration(rng.Int64N(int64(24 * time.Hour))),
		random:      rng,
		epochs:      highestEpochs{},
		tasks:       map[string]*task{},
		attempts:    map[string]int{},
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

// Lose simulates the loss of the VM: all tasks end and later calls are not answered.
func (w *Worker) Lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vmLost = true
	for _, t := range w.tasks {
		t.pause()
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
}

// Running returns the IDs of the running tasks, sorted.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, t := range w.tasks {
		if t.state == api.TaskReportStateRunning && !w.vmLost {
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
	if refuseOtherVM(rw, r, w.options.VM.Id) || !readJSON(rw, r, maxSyncBytes, &in) {
		return
	}
	if effect := w.beforeCall(r.Context(), true); effect != proceed {
		writeFaultEffect(rw, effect)
		return
	}
	report, accepted := w.applySync(&in)
	if report == nil || !w.afterCall(r.Context(), true) {
		panic(http.ErrAbortHandler)
	}
	if !accepted {
		writeRefusal(rw, platform.RefusedFenced)
		return
	}
	writeJSON(rw, report)
}

// applySync executes the commands of a call unless the epoch is fenced. It returns
// no report if the VM is lost.
func (w *Worker) applySync(in *api.WorkerSync) (report *api.WorkerReport, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vmLost {
		return nil, false
	}
	if !w.epochs.accept(in.Partition, in.Epoch) {
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
		if t := w.runningTask(s.TaskId, s.Attempt); t != nil && !t.checkpointing {
			t.setThrottle(s.Percent)
			w.scheduleEnd(t)
		}
	}
	for _, s := range in.Starts {
		w.startTask(s, time.Duration(in.LeaseUntilMs)*time.Millisecond)
	}
	return w.report(in.Partition), true
}

// clock returns the time on the clock of the worker.
func (w *Worker) clock() time.Duration { return w.clockOffset + time.Since(w.startedAt) }

// extendLease extends the lease of all tasks to a time on the clock of the worker.
// The lease is never shortened, as calls may arrive out of order.
func (w *Worker) extendLease(untilMs int) {
	until := time.Duration(untilMs) * time.Millisecond
	if until <= w.leaseUntil {
		return
	}
	w.leaseUntil = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(until-w.clock(), w.expireLease)
}

// expireLease stops all running tasks if the lease has expired.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vmLost || w.clock() < w.leaseUntil {
		return
	}
	for _, t := range w.tasks {
		if t.state == api.TaskReportStateRunning {
			w.endTask(t, api.TaskReportStateStopped, 0, "lease expired")
		}
	}
}

func (w *Worker) runningTask(id string, attempt int) *task {
	t, ok := w.tasks[id]
	if !ok || t.start.Attempt != attempt || t.state != api.TaskReportStateRunning {
		return nil
	}
	return t
}

// startTask starts an attempt of a task unless the worker already knows this or a
// later attempt. lease is the end of the lease that came with the command.
func (w *Worker) startTask(s api.TaskStart, lease time.Duration) {
	if known, ok := w.tasks[s.TaskId]; ok && known.start.Attempt >= s.Attempt {
		return // the report shows the state of the known attempt
	}
	t := newTask(s, w.options.MeanRun, w.random)
	if reason := w.refusalReason(s, lease); reason != "" {
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
		w.endTask(t, api.TaskReportStateFailed, 1, "the worker fails every task")
		return
	}
	if s.Checkpoint == "" || w.options.Objects == nil {
		w.scheduleEnd(t)
		return
	}
	go w.restore(t)
}

// refusalReason returns the reason why a task must not start, or "".
func (w *Worker) refusalReason(s api.TaskStart, lease time.Duration) string {
	other, ok := w.tasks[s.TaskId]
	switch {
	case s.Attempt <= w.attempts[s.TaskId]:
		return "the attempt is not higher than the last"
	case ok && other.state == api.TaskReportStateRunning:
		return "an earlier attempt is running"
	case w.clock() >= lease:
		// The call arrived after its lease had expired. The owner may have started
		// the task on another VM in the meantime.
		return "the lease of the start has expired"
	case w.mode.Draining:
		return "the VM is leaving"
	}
	return ""
}

// scheduleEnd lets a task run and sets the timer for its end.
func (w *Worker) scheduleEnd(t *task) {
	left, ends := t.resume()
	if !ends {
		return
	}
	timerVersion := t.timerVersion
	t.timer = time.AfterFunc(left, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.vmLost || t.timerVersion != timerVersion || t.state != api.TaskReportStateRunning {
			return
		}
		state := api.TaskReportStateExited
		if t.payload.ExitCode != 0 {
			state = api.TaskReportStateFailed
		}
		w.endTask(t, state, t.payload.ExitCode, "")
	})
}

// endTask ends a running task.
func (w *Worker) endTask(t *task, state api.TaskReportState, exitCode int, reason string) {
	t.pause()
	t.state, t.exitCode, t.reason = state, exitCode, reason
	w.options.Recorder.Add(w.record(history.TaskStop, t, string(state)+": "+reason))
}

func (w *Worker) record(kind history.Kind, t *task, reason string) history.Record {
	return history.Record{
		Kind: kind, VM: w.options.VM.Id, Team: t.start.Team, Task: t.start.TaskId,
		Attempt: t.start.Attempt, Resources: t.start.Resources, Reason: strings.TrimSuffix(reason, ": "),
	}
}

// stopTask stops a task, after a checkpoint if the command asks for one. A stop
// without a checkpoint also ends a task that is still writing its checkpoint.
func (w *Worker) stopTask(s api.TaskStop) {
	if s.Attempt > w.attempts[s.TaskId] {
		w.stopBeforeStart(s)
		return
	}
	t := w.runningTask(s.TaskId, s.Attempt)
	if t == nil {
		return
	}
	if s.Mode != api.StopModeCheckpoint || w.options.Objects == nil {
		w.endTask(t, api.TaskReportStateStopped, 0, "stopped")
		return
	}
	if t.checkpointing {
		return
	}
	t.checkpointing = true
	t.pause()
	go w.saveCheckpoint(t, t.checkpointData())
}

// stopBeforeStart stores the stop of an attempt whose start has not arrived, so that
// the start has no effect if it arrives later.
func (w *Worker) stopBeforeStart(s api.TaskStop) {
	if w.runningTask(s.TaskId, w.attempts[s.TaskId]) != nil {
		return // an earlier attempt is running; its own stop must come first
	}
	t := newTask(api.TaskStart{TaskId: s.TaskId, Attempt: s.Attempt}, w.options.MeanRun, w.random)
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
	if w.vmLost || t.state != api.TaskReportStateRunning {
		return
	}
	if err != nil {
		w.endTask(t, api.TaskReportStateStopped, 0, "the checkpoint could not be written: "+err.Error())
		return
	}
	t.checkpoint = key
	w.endTask(t, api.TaskReportStateCheckpointed, 0, "")
}

// restore resumes a task from its checkpoint, or from the beginning if the
// checkpoint cannot be read.
func (w *Worker) restore(t *task) {
	ctx, cancel := context.WithTimeout(context.Background(), checkpointTimeout)
	defer cancel()
	data, err := w.options.Objects.Get(ctx, t.start.Checkpoint)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vmLost || t.state != api.TaskReportStateRunning || t.checkpointing {
		return
	}
	if err == nil {
		t.restore(data)
	}
	w.scheduleEnd(t)
}

func (w *Worker) report(partition string) *api.WorkerReport {
	out := &api.WorkerReport{
		Vm:       w.options.VM.Id,
		Capacity: w.options.VM.Capacity,
		ClockMs:  int(w.clock().Milliseconds()),
		Draining: w.mode.Draining,
		Epoch:    w.epochs[partition],
		Tasks:    []api.TaskReport{},
	}
	for _, t := range w.tasks {
		out.Tasks = append(out.Tasks, t.report(w.options.UsageLag))
	}
	slices.SortFunc(out.Tasks, func(a, b api.TaskReport) int { return strings.Compare(a.TaskId, b.TaskId) })
	return out
}
