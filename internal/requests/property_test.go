package requests

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/standin"
)

// Guards against sequences of lost answers, outages and takeovers that run a
// non-idempotent request twice, or return a false "not run" or a wrong answer.
func TestRecordsProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			m := newRecordModel(t)
			m.run(steps)
			failures = m.failures
		})
		for _, f := range failures {
			rt.Error(f)
		}
	})
}

// recordStep is one step of the property test. Steps are drawn before the run,
// because rapid cannot be used within a synctest bubble.
type recordStep struct {
	Kind      string
	ID        int
	Owner     int // modulo the number of owners
	TimeoutMs int
	Wait      bool // for the answer
	Fault     int
	Ran       bool // failing calls count as run
	Works     bool // calls to executors succeed
	PauseMs   int
}

var storeFaults = []standin.Faults{
	{}, {Down: true}, {Hang: true}, {LoseNextAnswers: 1}, {LoseNextAnswers: 2}, {LoseAnswers: true},
	{AnswerDelay: 1500 * time.Millisecond}, {Delay: 700 * time.Millisecond},
}

const recordIDs = 3

func drawStep(rt *rapid.T) recordStep {
	return recordStep{
		Kind:      rapid.SampledFrom([]string{"request", "request", "request", "takeover", "store", "store", "executor", "pause"}).Draw(rt, "kind"),
		ID:        rapid.IntRange(0, recordIDs-1).Draw(rt, "id"),
		Owner:     rapid.IntRange(0, 9).Draw(rt, "owner"),
		TimeoutMs: rapid.SampledFrom([]int{20, 500, 5000}).Draw(rt, "timeout"),
		Wait:      rapid.Bool().Draw(rt, "wait"),
		Fault:     rapid.IntRange(0, len(storeFaults)-1).Draw(rt, "fault"),
		Ran:       rapid.Bool().Draw(rt, "ran"),
		Works:     rapid.Bool().Draw(rt, "works"),
		PauseMs:   rapid.IntRange(1, 2000).Draw(rt, "pause"),
	}
}

// recordModel compares what callers are told with what the executors ran.
type recordModel struct {
	cell   *testCell
	owners []*Partition
	ids    []string
	wg     sync.WaitGroup

	mu       sync.Mutex
	answered map[string][]byte
	failures []string
}

func newRecordModel(t *testing.T) *recordModel {
	m := &recordModel{cell: newTestCell(t, 2), answered: map[string][]byte{}}
	m.cell.executors.runTime = 50 * time.Millisecond
	for range recordIDs {
		m.ids = append(m.ids, newID())
	}
	m.owners = []*Partition{m.cell.startOwner()}
	return m
}

func (m *recordModel) failf(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = append(m.failures, fmt.Sprintf(format, args...))
}

func (m *recordModel) run(steps []recordStep) {
	for _, s := range steps {
		m.step(s)
	}
	m.wg.Wait()
	m.finish()
}

func (m *recordModel) step(s recordStep) {
	switch s.Kind {
	case "request":
		p := m.owners[s.Owner%len(m.owners)]
		m.wg.Go(func() { m.execute(p, m.ids[s.ID], s.TimeoutMs) })
		if s.Wait {
			m.wg.Wait()
		}
	case "takeover":
		m.cell.table.SetFaults(standin.Faults{})
		m.owners = append(m.owners, m.cell.startOwner())
	case "store":
		m.cell.table.SetFaults(storeFaults[s.Fault])
	case "executor":
		m.executorFault(s)
	case "pause":
		time.Sleep(time.Duration(s.PauseMs) * time.Millisecond)
	}
}

func (m *recordModel) executorFault(s recordStep) {
	err := errkind.New(errkind.UpstreamUnavailable, "", "refused")
	if s.Ran {
		err = errkind.New(errkind.OutcomeUnknown, "", "answer lost")
	}
	m.cell.executors.setBehavior(func(string, *api.ExecutorCall) (bool, error) {
		if s.Works {
			return true, nil
		}
		return s.Ran, err
	})
}

func (m *recordModel) execute(p *Partition, id string, timeoutMs int) {
	req := request("gallery.charge", id, "x")
	req.TimeoutMs = timeoutMs
	resp, err := p.Execute(m.cell.t.Context(), req)
	if err != nil {
		return
	}
	m.mu.Lock()
	old, answered := m.answered[id]
	m.answered[id] = resp.Body
	m.mu.Unlock()
	if answered && !bytes.Equal(old, resp.Body) {
		m.failf("%s was answered differently", id)
	}
}

// finish repeats each request in a healthy cell and compares the result with
// what ran.
func (m *recordModel) finish() {
	m.cell.table.SetFaults(standin.Faults{})
	m.cell.executors.setBehavior(nil)
	p := m.cell.startOwner()
	time.Sleep(10 * time.Minute)
	for _, id := range m.ids {
		m.check(p, id)
	}
	for _, o := range append(m.owners, p) {
		o.Close()
	}
}

func (m *recordModel) check(p *Partition, id string) {
	before := m.cell.executors.runsOf(id)
	st, err := p.Status(m.cell.t.Context(), &api.RequestRef{Team: "gallery", RequestId: id})
	if err == nil && st.State == api.RequestStateNotRun && before != 0 {
		m.failf("%s is recorded as not run and ran %d times", id, before)
	}
	_, err = p.Execute(m.cell.t.Context(), request("gallery.charge", id, "x"))
	if err != nil && !errkind.Is(err, errkind.OutcomeUnknown) {
		m.failf("%s in a healthy cell: %v", id, err)
	}
	runs := m.cell.executors.runsOf(id)
	if runs > 1 || err == nil && runs != 1 {
		m.failf("%s ran %d times, last result %v", id, runs, err)
	}
}
