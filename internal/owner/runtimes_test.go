package owner

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/runtimes"
)

var learnedKey = runtimes.Key{Queue: testQueue, Team: testTeam}

// learn adds runs that take twice their estimate.
func learn(m *runtimes.Model, now time.Duration) {
	for range 20 {
		m.AddRun(now, learnedKey, time.Second, 2*time.Second)
	}
}

// Guards against an owner that learns anew after each takeover.
func TestRunTimesSurviveATakeover(t *testing.T) {
	before := newTestTenure(memoryStore{})
	if !before.loadRecords() {
		t.Fatal("the records were not loaded")
	}
	now := before.clock.Boot()
	learn(before.cell.RunTimes(), now)
	tx := &rows.Tx{}
	if err := before.addRunTimes(tx, now); err != nil || len(tx.Put) != 1 {
		t.Fatalf("%d rows in the transaction, error %v; want 1 row", len(tx.Put), err)
	}
	after := newTestTenure(memoryStore{tableRunTimes: tx.Put})
	if !after.loadRecords() {
		t.Fatal("the records were not loaded")
	}
	p := after.cell.RunTimes().Task(after.clock.Boot(), learnedKey, time.Second)
	if got := p.Time(); got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("predicted %v for a task that took 2s before the takeover", got)
	}
}

// Guards against a row that is written with each commit, and against one without a change.
func TestRunTimesAreWrittenRarely(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	if !tenure.loadRecords() {
		t.Fatal("the records were not loaded")
	}
	start := tenure.clock.Boot()
	for _, step := range []struct {
		at      time.Duration
		samples bool
		want    int
	}{
		{runTimesInterval, false, 0}, {runTimesInterval, true, 1}, {runTimesInterval + time.Second, true, 0},
		{2 * runTimesInterval, false, 1}, {3 * runTimesInterval, false, 0},
	} {
		if step.samples {
			learn(tenure.cell.RunTimes(), start)
		}
		tx := &rows.Tx{}
		if err := tenure.addRunTimes(tx, start+step.at); err != nil || len(tx.Put) != step.want {
			t.Errorf("after %v: %d rows, error %v; want %d rows", step.at, len(tx.Put), err, step.want)
		}
	}
}

// brokenRunTimes is a table service that can't return the learned run times.
type brokenRunTimes struct{ memoryStore }

func (s brokenRunTimes) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	if table == tableRunTimes {
		return rows.Page{}, errors.New("not answered")
	}
	return s.memoryStore.Range(ctx, table, part, from)
}

// Guards against a takeover that fails because the learned run times are lost.
func TestTakeoverWithoutLearnedRunTimes(t *testing.T) {
	garbage := memoryStore{tableRunTimes: {newRow(tableRunTimes, keyRunTimes, []byte{0xff, 0x00})}}
	for name, store := range map[string]rows.Store{"not answered": brokenRunTimes{memoryStore{}}, "unreadable": garbage} {
		tenure := newTestTenure(store)
		if !tenure.loadRecords() {
			t.Errorf("%s: the records were not loaded", name)
			continue
		}
		p := tenure.cell.RunTimes().Task(tenure.clock.Boot(), learnedKey, time.Second)
		if p.Time() != time.Second {
			t.Errorf("%s: predicted %v, want the estimate of 1s", name, p.Time())
		}
		if logs := tenure.logs.String(); !strings.Contains(logs, "event=7098") {
			t.Errorf("%s: no event 7098 in %q", name, logs)
		}
	}
}
