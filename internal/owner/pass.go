package owner

import (
	"time"

	"github.com/endivehill/endivehill/internal/entry"
)

// Spacing of the scheduling passes.
const (
	minPassSpacing    = 4 * time.Millisecond // between the starts of two passes; one pass serves all events in between
	passSpacingFactor = 4                    // passes take at most 1/4 of the time, unless maxPassSpacing is reached
	maxPassSpacing    = 50 * time.Millisecond
	maxPassStretch    = 3.0 // factor by which passes of a node that runs late are further apart
)

// runPass runs one scheduling pass of the core and starts the commit and the calls
// that result from it.
func (t *tenure) runPass() {
	t.advanceClock()
	t.applyConfig()
	t.applyEvacuations()
	now := t.options.Clock.Boot()
	t.passStartedAt = now
	t.cell.SetLeaseLimit(t.ownershipRenewedAt + taskGrantLimit)
	t.cell.SetCallAllowance(t.lagAllowance())
	t.cell.Schedule()
	t.startCommit(now)
	t.dispatch(t.cell.DrainEffects())
	t.applyMembers(now)
	t.writeLogLines()
	t.publishStats(now)
	t.handingOver = t.handingOver || t.cell.TokensRunOut()
	t.passDuration = t.options.Clock.Boot() - now
}

// passSpacing returns the time between the starts of two passes. Passes take a bounded
// share of the time, so that a slow node still serves calls and pings. The share falls
// while the node runs late: what the calls and pings lack, the passes take, and one pass
// over all that has happened meanwhile costs less than several.
func (t *tenure) passSpacing() time.Duration {
	stretch := min(1+float64(t.lag)/float64(lagWarningThreshold), maxPassStretch)
	spacing := min(passSpacingFactor*t.passDuration, maxPassSpacing)
	return max(minPassSpacing, time.Duration(stretch*float64(spacing)))
}

// applyConfig passes the configuration of this node to the core if it has changed.
func (t *tenure) applyConfig() {
	if config := t.options.Config(); config != t.config && config != nil {
		t.config = config
		t.cell.Configure(config)
	}
}

// applyEvacuations passes this node's copy of the requests for evacuation to the core.
func (t *tenure) applyEvacuations() {
	if t.options.Evacuations != nil {
		t.cell.SetEvacuatedDomains(t.options.Evacuations())
	}
}

// maxEvacuationsAge returns how old that copy may be for tasks to be started; 0 for no limit.
func (t *tenure) maxEvacuationsAge() time.Duration {
	if t.options.Evacuations == nil {
		return 0
	}
	return entry.MaxEvacuationsAge(t.options.Settings.EvacuateTime)
}

// applyMembers passes the nodes that can call the adviser to the core if they have
// changed. Before the workers have had time to answer, a long advice call would name only
// the few that have.
func (t *tenure) applyMembers(now time.Duration) {
	if !t.firstContact.complete() && now-t.loadedAt < firstContactTimeout {
		return
	}
	if m := t.members.Load(); m != t.appliedMembers {
		t.appliedMembers = m
		t.cell.SetStoppingNodes(m.stopping)
		t.cell.SetAdviceNodes(m.addresses)
	}
}
