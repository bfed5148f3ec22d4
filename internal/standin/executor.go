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

// ExecutorMode is how an executor behaves. The zero value is healthy.
type ExecutorMode struct {
	Draining   bool // refuse new requests
	CutAnswers bool // close the connection in the middle of each answer
	// CrossAnswers gives each request the answer of the one before, as a connection
	// with one answer too many does.
	CrossAnswers bool
	FailFast     bool          // answer each request with status 500 at once
	Hang         bool          // leave requests unanswered while the mode lasts
	Delay        time.Duration // added to the run time of each request
}

// Work is the result of a request: how long it runs and what it answers.
type Work struct {
	Delay  time.Duration
	Status int
	Body   []byte
}

// ExecutorOptions of an Executor.
type ExecutorOptions struct {
	VM       string
	Recorder *history.Recorder
	// Work decides on the result of a request; nil for WorkOfBody.
	Work func(in *api.ExecutorCall) Work
}

// Executor stands in for an executor. It refuses nothing for lack of slots or
// connections, so that a history shows when it is overfilled.
type Executor struct {
	options ExecutorOptions
	mux     *http.ServeMux

	mu      sync.Mutex
	fence   fence
	active  map[int64]api.ActiveRequest // by number of the execution
	mode    ExecutorMode
	changed chan struct{} // closed and replaced when the mode changes
	before  *sent         // last answer, for CrossAnswers
	lost    chan struct{} // closed when the VM is lost
	isLost  bool
}

// sent is an answer with the request that it belongs to.
type sent struct {
	requestID string
	work      Work
}

// runs numbers the executions of all executors of the process.
var runs atomic.Int64

// NewExecutor returns a healthy executor.
func NewExecutor(o ExecutorOptions) *Executor {
	if o.Work == nil {
		o.Work = WorkOfBody
	}
	e := &Executor{
		options: o,
		mux:     http.NewServeMux(),
		fence:   fence{},
		active:  map[int64]api.ActiveRequest{},
		changed: make(chan struct{}),
		lost:    make(chan struct{}),
	}
	e.mux.HandleFunc("POST "+platform.PathFence, e.serveFence)
	e.mux.HandleFunc("POST "+platform.PathExecute, e.serveExecute)
	return e
}

// WorkOfBody takes the run time and the size of the answer from the body if it is
// JSON of the form {"delay_ms": 5, "answer_bytes": 100}. The answer names the
// request and its body, so that a mix-up is noticed.
func WorkOfBody(in *api.ExecutorCall) Work {
	var order struct {
		DelayMs     int `json:"delay_ms"`
		AnswerBytes int `json:"answer_bytes"`
	}
	_ = json.Unmarshal(in.Body, &order) // a body of another form has no orders
	answer := fmt.Appendf(nil, "%s %s %s\n", in.Team, in.RequestId, history.Digest(in.Body))
	for len(answer) < order.AnswerBytes {
		answer = append(answer, answer[:min(len(answer), order.AnswerBytes-len(answer))]...)
	}
	return Work{Delay: time.Duration(order.DelayMs) * time.Millisecond, Status: http.StatusOK, Body: answer}
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

// Lose ends all requests unanswered and answers no further call.
func (e *Executor) Lose() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLost {
		e.isLost = true
		close(e.lost)
	}
}

// Active returns the number of requests that execute.
func (e *Executor) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active)
}

// ServeHTTP serves the protocol of executors.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	trackConn(r.Context(), e.options.VM)
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
	if forOtherVM(w, r, e.options.VM) || !readJSON(w, r, maxFenceBytes, &in) {
		return
	}
	status, ok := e.raise(in)
	if !ok {
		refuseCall(w, platform.RefusedFenced)
		return
	}
	writeJSON(w, status)
}

func (e *Executor) raise(in api.ExecutorFence) (api.ExecutorStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.fence.pass(in.Partition, in.Epoch)
	return api.ExecutorStatus{
		Vm: e.options.VM, Epoch: e.fence[in.Partition], Active: len(e.active), Draining: e.mode.Draining,
		Requests: slices.Collect(maps.Values(e.active)),
	}, ok
}

func (e *Executor) serveExecute(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	if forOtherVM(w, r, e.options.VM) {
		return
	}
	in, err := readCall(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rec, refused := e.begin(in)
	if refused != "" {
		refuseCall(w, refused)
		return
	}
	work := e.run(in)
	e.end(rec, work)
	own := &sent{in.RequestId, work}
	e.answer(w, e.crossed(own))
}

// crossed returns the answer to give instead of the own one.
func (e *Executor) crossed(own *sent) *sent {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.before
	e.before = own
	if !e.mode.CrossAnswers || before == nil {
		return own
	}
	return before
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

// begin takes a request, or returns why it is refused.
func (e *Executor) begin(in *api.ExecutorCall) (history.Record, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := history.Record{
		Kind: history.RequestStart, VM: e.options.VM, Team: in.Team, Queue: in.Queue,
		RequestID: in.RequestId, BodyDigest: history.Digest(in.Body),
	}
	refused := ""
	switch {
	case !e.fence.pass(in.Partition, in.Epoch):
		refused = platform.RefusedFenced
	case e.mode.Draining:
		refused = platform.RefusedDraining
	}
	if refused != "" {
		rec.Kind, rec.Reason = history.Refused, refused
		e.options.Recorder.Add(rec)
		return rec, refused
	}
	rec.Run = runs.Add(1)
	e.active[rec.Run] = api.ActiveRequest{Team: in.Team, RequestId: in.RequestId}
	e.options.Recorder.Add(rec)
	return rec, ""
}

// run waits for the run time, whether or not the caller still does: work that
// was taken occupies its slot until it is done.
func (e *Executor) run(in *api.ExecutorCall) Work {
	work := e.options.Work(in)
	mode, changed := e.modeNow()
	if mode.FailFast {
		return Work{Status: http.StatusInternalServerError, Body: []byte("failed " + in.RequestId + "\n")}
	}
	e.wait(time.After(work.Delay + mode.Delay))
	for mode.Hang {
		select {
		case <-changed:
		case <-e.lost:
			return work
		}
		mode, changed = e.modeNow()
	}
	return work
}

func (e *Executor) wait(done <-chan time.Time) {
	select {
	case <-done:
	case <-e.lost:
	}
}

func (e *Executor) modeNow() (ExecutorMode, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.changed
}

// end records the end of a request before its answer is written.
func (e *Executor) end(rec history.Record, work Work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, rec.Run)
	rec.Kind = history.RequestEnd
	rec.AnswerDigest = history.AnswerDigest(work.Status, work.Body)
	if e.isLost {
		rec.AnswerDigest, rec.Reason = "", "the VM was lost"
	}
	e.options.Recorder.Add(rec)
}

func (e *Executor) answer(w http.ResponseWriter, a *sent) {
	e.abortIfLost()
	mode, _ := e.modeNow()
	work := a.work
	w.Header().Set(platform.HeaderRequestID, a.requestID)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(work.Body)))
	w.WriteHeader(work.Status)
	if !mode.CutAnswers {
		_, _ = w.Write(work.Body) // the caller may be gone
		return
	}
	_, _ = w.Write(work.Body[:len(work.Body)/2])
	_ = http.NewResponseController(w).Flush() // the connection is closed anyway
	panic(http.ErrAbortHandler)
}

// connKey is the context key of a trackedConn.
type connKey struct{}

// trackedConn records which VM a connection to a shared listener is for. The
// first call on it tells.
type trackedConn struct {
	recorder *history.Recorder
	mu       sync.Mutex
	vm       string
}

// trackConn notes that the connection of a call belongs to vm.
func trackConn(ctx context.Context, vm string) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
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

func (c *trackedConn) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vm != "" {
		c.recorder.Add(history.Record{Kind: history.ConnClose, VM: c.vm})
	}
}
