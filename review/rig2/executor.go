package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// stopTime is how long an executor takes to stop a run.
const stopTime = 60 * time.Millisecond

// Executor is one executor, which keeps to PROTOCOL.md.
type Executor struct {
	ID, Pool, Rack string
	CPU, Mem       int
	RunTime        func(task string) time.Duration // 0: until it is stopped
	OnStart        func(e *Executor, task string, run int)
	OnEnd          func(e *Executor, task string, run int, how string)
	// OnNoted is called for an end when it is taken note of, unless the lease has lapsed since.
	OnNoted func(e *Executor, task string, run int, how string)
	// Late, if not nil, returns for a call how long after its arrival it is carried out without
	// an answer; 0 for at once, with an answer.
	Late func(e *Executor, call, task string, run int) time.Duration

	// Outcome, if not nil, returns how a run that is over ends; "done" or "failed".
	Outcome func(task string, run int) string

	c       *Case
	address string
	silent  atomic.Bool

	mu        sync.Mutex
	kind      string
	listener  net.Listener
	server    *http.Server
	born      time.Time
	alive     bool
	sequence  int
	checkedIn time.Time // last check-in
	fence     int
	leaseEnd  int64
	runs      map[string]*runOf
	last      map[string]int
	listed    map[int]bool // numbers of the ends that a list has named
	finished  [][]any
	nextEnd   int
	holds     int // calls of this boot
	lapsed    int // number of the last end before the lease last lapsed
	changed   chan struct{}
}

// runOf is a run on an executor.
type runOf struct {
	Task   string
	Number int
	began  time.Time
	stopAt time.Time
}

// AddExecutor starts an executor.
func (c *Case) AddExecutor(e *Executor, kind string) error {
	address, err := c.freeAddress()
	if err != nil {
		return err
	}
	e.c, e.address = c, address
	go e.tick()
	return e.Boot(kind)
}

// Boot starts the executor again under its ID, at its address.
func (e *Executor) Boot(kind string) error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["start"], e.handle("start", e.start))
	mux.HandleFunc("POST "+names["stop"], e.handle("stop", e.stop))
	mux.HandleFunc("POST "+names["hold"], e.handle("hold", e.hold))
	mux.HandleFunc("POST "+names["pace"], e.handle("pace", func(map[string]any) (int, map[string]any) { return http.StatusOK, nil }))
	server := &http.Server{Handler: mux}
	e.mu.Lock()
	e.kind, e.born, e.alive, e.sequence = kind, time.Now(), true, 0
	e.fence, e.leaseEnd, e.nextEnd, e.lapsed, e.holds = 0, 0, 1, 0, 0
	e.runs, e.last, e.listed, e.finished = map[string]*runOf{}, map[string]int{}, map[int]bool{}, nil
	e.changed = make(chan struct{})
	e.listener, e.server = l, server
	e.mu.Unlock()
	e.c.Note("%s starts, kind %s", e.ID, kind)
	e.register()
	go func() { _ = server.Serve(l) }()
	return nil
}

// Leave ends the executor for good. The platform removes its entry after three check-in
// intervals of silence.
func (e *Executor) Leave() {
	e.mu.Lock()
	silent := time.Since(e.checkedIn)
	e.mu.Unlock()
	e.Crash()
	time.AfterFunc(3*Heartbeat-silent, func() {
		e.c.Note("the platform removes the entry of %s", e.ID)
		e.c.Platform.Store.Remove("servers", e.ID)
	})
}

// Crash ends the executor: all that it runs and knows is gone, and its address refuses
// connections.
func (e *Executor) Crash() {
	e.mu.Lock()
	e.alive = false
	runs := e.runs
	e.runs = map[string]*runOf{}
	close(e.changed)
	e.changed = make(chan struct{})
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.c.Note("%s crashes with %d runs", e.ID, len(runs))
	for _, r := range runs {
		if e.OnEnd != nil {
			e.OnEnd(e, r.Task, r.Number, "crash")
		}
	}
}

// SetSilent sets whether the executor is cut off: it neither carries calls out nor answers them.
func (e *Executor) SetSilent(on bool) {
	e.silent.Store(on)
	e.c.Note("%s is cut off: %v", e.ID, on)
}

// Kind returns the kind of the present boot.
func (e *Executor) Kind() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kind
}

// Running returns the number of runs.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Born returns the start of the present boot.
func (e *Executor) Born() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

func (e *Executor) register() {
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		return
	}
	e.sequence++
	e.checkedIn = time.Now()
	entry := map[string]any{
		"service": e.Pool, "address": e.address, "zone": "zone-0", "version": "v1", "slots": 8, "state": "ready",
		names["cold"]: 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
		"capacity": map[string]any{"cpu": e.CPU, "memMb": e.Mem, "gpu": 0}, "labels": []string{e.kind, e.Rack},
	}
	e.mu.Unlock()
	put := func() { e.c.Platform.Store.Put("servers", e.ID, entry) }
	if d := time.Duration(e.c.storeDelay.Load()); d > 0 {
		time.AfterFunc(d, put)
		return
	}
	put()
}

func (e *Executor) tick() {
	next := time.Now().Add(Heartbeat)
	for range time.Tick(5 * time.Millisecond) {
		if time.Now().After(next) {
			next = next.Add(Heartbeat)
			e.register()
		}
		e.advance()
	}
}

func (e *Executor) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	now := time.Now()
	if e.leaseEnd > 0 && e.clock() > e.leaseEnd {
		e.lapsed = e.nextEnd
	}
	for _, r := range e.runs {
		d := time.Duration(0)
		if e.RunTime != nil {
			d = e.RunTime(r.Task)
		}
		switch {
		case e.clock() > e.leaseEnd:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.end(r, "stopped")
		case d > 0 && now.Sub(r.began) >= d:
			e.end(r, e.outcome(r))
		}
	}
}

func (e *Executor) outcome(r *runOf) string {
	if e.Outcome == nil {
		return "done"
	}
	return e.Outcome(r.Task, r.Number)
}

func (e *Executor) end(r *runOf, how string) {
	delete(e.runs, r.Task)
	e.last[r.Task] = max(e.last[r.Task], r.Number)
	e.finished = append(e.finished, []any{e.nextEnd, r.Task, r.Number, how, ""})
	e.nextEnd++
	close(e.changed)
	e.changed = make(chan struct{})
	e.c.Note("%s ends %s run %d: %s", e.ID, r.Task, r.Number, how)
	if e.OnEnd != nil {
		go e.OnEnd(e, r.Task, r.Number, how)
	}
}

// clock returns the time of the executor's clock. It is held with mu.
func (e *Executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

func number(in map[string]any, name string) int {
	v, _ := in[name].(float64)
	return int(v)
}

func text(in map[string]any, name string) string {
	v, _ := in[name].(string)
	return v
}

// handle decodes a call, checks the boot and the fence number, and carries the call out.
func (e *Executor) handle(call string, f func(in map[string]any) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in map[string]any
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get(names["instance"]); id != e.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if e.Late != nil {
			if d := e.Late(e, call, text(in, "task"), number(in, "run")); d > 0 {
				e.c.Note("%s gives no answer to %s %s run %d, and carries it out %v later", e.ID, call, text(in, "task"), number(in, "run"), d)
				time.AfterFunc(d, func() {
					status, out := e.serve(in, f)
					e.c.Note("%s carries out the late %s %s run %d: %d %v", e.ID, call, text(in, "task"), number(in, "run"), status, out["reason"])
				})
				<-r.Context().Done()
				return
			}
		}
		if e.silent.Load() {
			<-r.Context().Done()
			return
		}
		status, out := e.serve(in, f)
		if status == 0 || e.silent.Load() {
			panic(http.ErrAbortHandler)
		}
		data, err := json.Marshal(out)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

func (e *Executor) serve(in map[string]any, f func(in map[string]any) (int, map[string]any)) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return 0, nil
	}
	fence := number(in, names["fence"])
	if fence < e.fence {
		return http.StatusConflict, map[string]any{"clockMs": e.clock(), "reason": "fence"}
	}
	e.fence = fence
	if until := int64(number(in, names["deadline"])); until > 0 {
		e.leaseEnd = max(e.leaseEnd, min(until, e.clock()+MaxHold.Milliseconds()))
	}
	status, out := f(in)
	if out == nil {
		out = map[string]any{}
	}
	out["clockMs"] = e.clock()
	return status, out
}

func (e *Executor) start(in map[string]any) (int, map[string]any) {
	task, run := text(in, "task"), number(in, "run")
	if r := e.runs[task]; r != nil && r.Number == run {
		return http.StatusOK, nil
	}
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if run <= e.last[task] {
		return refuse("old")
	}
	if int64(number(in, names["deadline"])) <= e.clock() {
		return refuse("late")
	}
	e.runs[task] = &runOf{Task: task, Number: run, began: time.Now()}
	e.c.Note("%s (kind %s) starts %s run %d", e.ID, e.kind, task, run)
	if e.OnStart != nil {
		e.OnStart(e, task, run)
	}
	return http.StatusOK, nil
}

func (e *Executor) stop(in map[string]any) (int, map[string]any) {
	task, run := text(in, "task"), number(in, "run")
	if r := e.runs[task]; r != nil && r.Number == run {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	} else {
		e.last[task] = max(e.last[task], run)
	}
	return http.StatusOK, nil
}

func (e *Executor) hold(in map[string]any) (int, map[string]any) {
	acked := number(in, names["acked"])
	e.holds++
	if e.holds <= 2 {
		e.c.Note("%s gets hold %d of this boot, with %s = %d and a wait of %d ms", e.ID, e.holds, names["acked"], acked, number(in, "waitMs"))
	}
	for len(e.finished) > 0 && e.finished[0][0].(int) <= acked {
		f := e.finished[0]
		e.finished = e.finished[1:]
		if !e.listed[f[0].(int)] {
			e.c.Note("%s forgets end %v of %v run %v, %v, which it has not listed yet: it is told %s = %d", e.ID, f[0], f[1], f[2], f[3], names["acked"], acked)
		}
		if e.OnNoted != nil && f[0].(int) >= e.lapsed {
			e.OnNoted(e, f[1].(string), f[2].(int), f[3].(string))
		}
	}
	born := e.born
	end := time.Now().Add(min(time.Duration(number(in, "waitMs"))*time.Millisecond, 2*time.Second))
	for len(e.finished) == 0 && e.alive && time.Now().Before(end) {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		}
		e.mu.Lock()
	}
	if !e.alive || e.born != born {
		return 0, nil
	}
	running := [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.Task, r.Number, "", e.percent(r), 10})
	}
	sort.Slice(running, func(i, k int) bool { return fmt.Sprint(running[i]) < fmt.Sprint(running[k]) })
	finished := e.finished
	if finished == nil {
		finished = [][]any{}
	}
	finished = finished[:min(len(finished), 500)]
	for _, f := range finished {
		e.listed[f[0].(int)] = true
	}
	return http.StatusOK, map[string]any{"born": e.born.UnixMilli(), "running": running, "finished": finished}
}

func (e *Executor) percent(r *runOf) int {
	d := time.Duration(0)
	if e.RunTime != nil {
		d = e.RunTime(r.Task)
	}
	if d == 0 {
		return 100
	}
	return min(99, int(100*time.Since(r.began)/d))
}
