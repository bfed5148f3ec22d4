package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/platform"
)

const (
	maxExecuteBytes = 8 << 20
	maxFenceBytes   = 64 << 10
)

// ExecutorMode sets the faults of an executor. The zero value has none.
type ExecutorMode struct {
	Draining   bool // refuse new requests
	CutAnswers bool // close the connection in the middle of each answer
	// CrossAnswers answers each request with the answer of the previous one, as
	// happens on a connection that carries one surplus answer.
	CrossAnswers bool
	FailFast     bool          // answer each request with status 500 at once
	Hang         bool          // leave requests unanswered until the mode changes
	Delay        time.Duration // added to the run time of each request
}

// ExecutionResult is the run time and the answer of a request.
type ExecutionResult struct {
	Delay  time.Duration
	Status int
	Body   []byte
}

// ExecutorOptions configures an Executor.
type ExecutorOptions struct {
	VM       string
	Recorder *history.Recorder
	// Execute returns the result of a request; nil for ResultFromBody.
	Execute func(in *api.ExecutorCall) ExecutionResult
}

// Executor stands in for an executor. It does not enforce its slots and
// connections, so that the history shows when a node exceeds them.
type Executor struct {
	options ExecutorOptions
	mux     *http.ServeMux

	mu       sync.Mutex
	epochs   highestEpochs
	active   map[int64]api.ActiveRequest // by execution number
	mode     ExecutorMode
	changed  chan struct{} // closed and replaced when the mode changes
	previous *response     // previous answer, for CrossAnswers
	lost     chan struct{} // closed when the VM is lost
	isLost   bool
}

// response is the answer of a request.
type response struct {
	requestID string
	result    ExecutionResult
}

// lastExecutionNumber is the number of the last execution of any executor in the
// process.
var lastExecutionNumber atomic.Int64

// NewExecutor returns an executor without faults.
func NewExecutor(o ExecutorOptions) *Executor {
	if o.Execute == nil {
		o.Execute = ResultFromBody
	}
	e := &Executor{
		options: o,
		mux:     http.NewServeMux(),
		epochs:  highestEpochs{},
		active:  map[int64]api.ActiveRequest{},
		changed: make(chan struct{}),
		lost:    make(chan struct{}),
	}
	e.mux.HandleFunc("POST "+platform.PathFence, e.serveFence)
	e.mux.HandleFunc("POST "+platform.PathExecute, e.serveExecute)
	return e
}

// ResultFromBody reads the run time and the answer size from a JSON body of the form
// {"delay_ms": 5, "answer_bytes": 100}. The answer contains the team, the request
// ID and the digest of the body, so that an answer of another request is detected.
func ResultFromBody(in *api.ExecutorCall) ExecutionResult {
	var behavior struct {
		DelayMs     int `json:"delay_ms"`
		AnswerBytes int `json:"answer_bytes"`
	}
	_ = json.Unmarshal(in.Body, &behavior) // any other body gets the defaults
	answer := fmt.Appendf(nil, "%s %s %s\n", in.Team, in.RequestId, history.Digest(in.Body))
	for len(answer) < behavior.AnswerBytes {
		answer = append(answer, answer[:min(len(answer), behavior.AnswerBytes-len(answer))]...)
	}
	return ExecutionResult{Delay: time.Duration(behavior.DelayMs) * time.Millisecond, Status: http.StatusOK, Body: answer}
}

// SetMode replaces the mode.
func (e *Executor) SetMode(m ExecutorMode) { e.UpdateMode(func(old *ExecutorMode) { *old = m }) }

// UpdateMode changes the mode.
func (e *Executor) UpdateMode(change func(*ExecutorMode)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.mode)
	close(e.changed)
	e.changed = make(chan struct{})
}

// Lose simulates the loss of the VM: running requests end without an answer and
// later calls are not answered.
func (e *Executor) Lose() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLost {
		e.isLost = true
		close(e.lost)
	}
}

// Active returns the number of running requests.
func (e *Executor) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active)
}

// ServeHTTP serves the protocol of executors.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	assignConn(r.Context(), e.options.VM)
	e.abortIfLost()
	e.mux.ServeHTTP(w, r)
}

func (e *Executor) abortIfLost() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isLost {
		panic(http.ErrAbortHandler)
	}
}

func (e *Executor) serveFence(w http.ResponseWriter, r *http.Request) {
	var in api.ExecutorFence
	if refuseOtherVM(w, r, e.options.VM) || !readJSON(w, r, maxFenceBytes, &in) {
		return
	}
	status, ok := e.raiseEpoch(in)
	if !ok {
		writeRefusal(w, platform.RefusedFenced)
		return
	}
	writeJSON(w, status)
}

// raiseEpoch stores the epoch of a fence call, and returns the status and whether the
// epoch was accepted.
func (e *Executor) raiseEpoch(in api.ExecutorFence) (api.ExecutorStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.epochs.accept(in.Partition, in.Epoch)
	return api.ExecutorStatus{
		Vm: e.options.VM, Epoch: e.epochs[in.Partition], Active: len(e.active), Draining: e.mode.Draining,
		Requests: slices.Collect(maps.Values(e.active)),
	}, ok
}

func (e *Executor) serveExecute(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	if refuseOtherVM(w, r, e.options.VM) {
		return
	}
	in, err := readCall(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rec, refused := e.admit(in)
	if refused != "" {
		writeRefusal(w, refused)
		return
	}
	result := e.execute(in)
	e.recordEnd(rec, result)
	own := &response{in.RequestId, result}
	e.writeResponse(w, e.responseFor(own))
}

// responseFor returns the answer to send, which with CrossAnswers is that of the
// previous request.
func (e *Executor) responseFor(own *response) *response {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.previous
	e.previous = own
	if !e.mode.CrossAnswers || previous == nil {
		return own
	}
	return previous
}

func readCall(w http.ResponseWriter, r *http.Request) (*api.ExecutorCall, error) {
	epoch, err := strconv.Atoi(r.Header.Get(platform.HeaderEpoch))
	if err != nil {
		return nil, fmt.Errorf("header %s: %w", platform.HeaderEpoch, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExecuteBytes))
	if err != nil {
		return nil, err
	}
	return &api.ExecutorCall{
		Epoch:       epoch,
		Partition:   r.Header.Get(platform.HeaderPartition),
		Team:        r.Header.Get(platform.HeaderTeam),
		Queue:       r.Header.Get(platform.HeaderQueue),
		RequestId:   r.Header.Get(platform.HeaderRequestID),
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// admit starts a request and returns its record, or records the refusal and returns
// its reason.
func (e *Executor) admit(in *api.ExecutorCall) (history.Record, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := history.Record{
		Kind: history.RequestStart, VM: e.options.VM, Team: in.Team, Queue: in.Queue,
		RequestID: in.RequestId, BodyDigest: history.Digest(in.Body),
	}
	refused := ""
	switch {
	case !e.epochs.accept(in.Partition, in.Epoch):
		refused = platform.RefusedFenced
	case e.mode.Draining:
		refused = platform.RefusedDraining
	}
	if refused != "" {
		rec.Kind, rec.Reason = history.Refused, refused
		e.options.Recorder.Add(rec)
		return rec, refused
	}
	rec.Run = lastExecutionNumber.Add(1)
	e.active[rec.Run] = api.ActiveRequest{Team: in.Team, RequestId: in.RequestId}
	e.options.Recorder.Add(rec)
	return rec, ""
}

// execute waits for the run time even if the caller has disconnected: an admitted
// request occupies its slot until it ends.
func (e *Executor) execute(in *api.ExecutorCall) ExecutionResult {
	result := e.options.Execute(in)
	mode, changed := e.currentMode()
	if mode.FailFast {
		return ExecutionResult{Status: http.StatusInternalServerError, Body: []byte("failed " + in.RequestId + "\n")}
	}
	e.sleep(time.After(result.Delay + mode.Delay))
	for mode.Hang {
		select {
		case <-changed:
		case <-e.lost:
			return result
		}
		mode, changed = e.currentMode()
	}
	return result
}

// sleep waits until the timer done fires or the VM is lost.
func (e *Executor) sleep(done <-chan time.Time) {
	select {
	case <-done:
	case <-e.lost:
	}
}

func (e *Executor) currentMode() (ExecutorMode, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.changed
}

// recordEnd records the end of a request before its answer is written.
func (e *Executor) recordEnd(rec history.Record, result ExecutionResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, rec.Run)
	rec.Kind = history.RequestEnd
	rec.AnswerDigest = history.AnswerDigest(result.Status, result.Body)
	if e.isLost {
		rec.AnswerDigest, rec.Reason = "", "the VM was lost"
	}
	e.options.Recorder.Add(rec)
}

func (e *Executor) writeResponse(w http.ResponseWriter, resp *response) {
	e.abortIfLost()
	mode, _ := e.currentMode()
	result := resp.result
	w.Header().Set(platform.HeaderRequestID, resp.requestID)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(result.Body)))
	w.WriteHeader(result.Status)
	if !mode.CutAnswers {
		_, _ = w.Write(result.Body) // the caller may have disconnected
		return
	}
	_, _ = w.Write(result.Body[:len(result.Body)/2])
	_ = http.NewResponseController(w).Flush() // the connection is closed in any case
	panic(http.ErrAbortHandler)
}

// connContextKey is the context key of a *vmConn.
type connContextKey struct{}

// vmConn is a connection to a shared listener. Its first call determines the VM
// that the connection belongs to.
type vmConn struct {
	recorder *history.Recorder
	mu       sync.Mutex
	vm       string
}

// assignConn assigns the connection of a call to vm, unless an earlier call has
// done so, and records that it was opened.
func assignConn(ctx context.Context, vm string) {
	c, ok := ctx.Value(connContextKey{}).(*vmConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vm == "" {
		c.vm = vm
		c.recorder.Add(history.Record{Kind: history.ConnOpen, VM: vm})
	}
}

func (c *vmConn) recordClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vm != "" {
		c.recorder.Add(history.Record{Kind: history.ConnClose, VM: c.vm})
	}
}
