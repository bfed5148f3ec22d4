package scheduler

import "github.com/endivehill/endivehill/internal/fairshare"

// fairshareVector converts an amount to the type of package fairshare.
func (v resourceVec) fairshareVector() fairshare.Vector {
	var out fairshare.Vector
	for d := range v {
		out[d] = float64(v[d])
	}
	return out
}

// updateShare recomputes the weighted dominant share of a team.
func (s *State) updateShare(t *team) {
	t.weightedShare = t.allocated.dominantShareOf(s.totalCapacity) / t.weight
}

// updateShares recomputes the shares of all teams after a change of the fleet.
func (s *State) updateShares() {
	for _, t := range s.sortedTeams {
		s.updateShare(t)
	}
}

// withinBudget reports whether the team may allocate size in addition to its
// present allocation.
func (t *team) withinBudget(size resourceVec) bool {
	return t.allocated.add(size).fits(t.budget)
}

// updateEntitlements computes the dominant share that each team is entitled to,
// from its allocation and pending demand within its budget. The result is
// reused for sweepInterval.
func (s *State) updateEntitlements() {
	if age := s.pass.now.Sub(s.entitlementsAt); age >= 0 && age < sweepInterval {
		return
	}
	s.entitlementsAt = s.pass.now
	claimants := make([]fairshare.Claimant, len(s.sortedTeams))
	for i, t := range s.sortedTeams {
		demand := t.allocated.add(t.pendingDemand)
		for d := range demand {
			demand[d] = min(demand[d], max(t.budget[d], 0))
		}
		claimants[i] = fairshare.Claimant{Weight: t.weight, Demand: demand.fairshareVector()}
	}
	for i, e := range fairshare.Entitlements(s.totalCapacity.fairshareVector(), claimants) {
		s.sortedTeams[i].entitledShare = e
	}
}

// withinEntitlement reports whether the team stays within its entitlement with
// size in addition to its allocation and its claims.
func (s *State) withinEntitlement(t *team, size resourceVec) bool {
	return t.allocated.add(t.claimed).add(size).dominantShareOf(s.totalCapacity) <= t.entitledShare+s.policy.ShareTolerance
}

// aboveEntitlementWithout reports whether the team still holds at least its
// entitlement without size and without what is already being stopped.
func (s *State) aboveEntitlementWithout(t *team, size resourceVec) bool {
	return t.allocated.sub(t.releasing).sub(t.consideredRelease).sub(size).dominantShareOf(s.totalCapacity) >= t.entitledShare
}

// excessShare returns the share of the team above its entitlement, divided by
// its weight.
func (s *State) excessShare(t *team) float64 {
	return (t.allocated.sub(t.releasing).dominantShareOf(s.totalCapacity) - t.entitledShare) / t.weight
}
