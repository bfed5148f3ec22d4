package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Guards against requests that are confirmed or withdrawn by what the owner of the cell reports
// about the configuration, since the owner's copy may be older than the request.
func TestOnlyTheTableServiceChangesEvacuations(t *testing.T) {
	const evacuateTime = 5 * time.Second
	a, e := NewAdmission(clock.NewFake(time.Now()), time.Minute), NewEvacuations(evacuateTime)
	e.Replace([]string{"f2", "f1", "f2"})
	e.ConfirmCurrent(7 * time.Second)
	a.Install(testDeclarations(3, "k")) // as from a document of the owner
	a.ConfirmCurrent(time.Hour)
	domains, confirmedAt := e.Current()
	if !slices.Equal(domains, []string{"f1", "f2"}) || confirmedAt != 7*time.Second {
		t.Errorf("evacuated %v, confirmed at %v", domains, confirmedAt)
	}
}

// Guards against a copy that counts as current before the table was read, and against a
// confirmation that goes back.
func TestEvacuationsAreConfirmedByReads(t *testing.T) {
	e := NewEvacuations(5 * time.Second)
	if _, confirmedAt := e.Current(); confirmedAt > -time.Hour {
		t.Errorf("confirmed at %v without a read", confirmedAt)
	}
	e.ConfirmCurrent(9 * time.Second)
	e.ConfirmCurrent(8 * time.Second)
	if _, confirmedAt := e.Current(); confirmedAt != 9*time.Second {
		t.Errorf("confirmed at %v", confirmedAt)
	}
	e.Replace([]string{"f1"})
	e.Replace(nil)
	if domains, _ := e.Current(); len(domains) != 0 {
		t.Errorf("evacuated %v after all requests were withdrawn", domains)
	}
}

// Guards against a request with an empty name, which would apply to all workers of which the
// failure domain is not known.
func TestRequestWithoutAFailureDomainIsIgnored(t *testing.T) {
	e := NewEvacuations(0)
	e.Replace([]string{"", "f1"})
	if domains, _ := e.Current(); !slices.Equal(domains, []string{"f1"}) {
		t.Errorf("evacuated %v", domains)
	}
}

// Guards against a long poll during which the copy gets too old for starts.
func TestPollsKeepEvacuationsCurrent(t *testing.T) {
	const evacuateTime = 5 * time.Second
	wait := NewEvacuations(evacuateTime).MaxPollWait()
	if wait <= 0 || 2*wait >= MaxEvacuationsAge(evacuateTime) {
		t.Errorf("a poll waits for %v, the copy may be %v old", wait, MaxEvacuationsAge(evacuateTime))
	}
	if wait := NewEvacuations(0).MaxPollWait(); wait != 0 {
		t.Errorf("a poll waits for %v without a bound", wait)
	}
}
