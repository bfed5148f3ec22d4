package scheduler

import "github.com/endivehill/endivehill/internal/fairshare"

// vector converts an amount for share arithmetic.
func (v vec) vector() fairshare.Vector {
	var out fairshare.Vector
	for d := range v {
		out[d] = float64(v[d])
	}
	return out
}

// updateShare recomputes the weighted dominant share of a team.
func (c *Cell) updateShare(t *team) {
	t.share = t.used.shareOf(c.total) / t.weight
}

// updateShares recomputes the shares of all teams after a change of the fleet.
func (c *Cell) updateShares() {
	for _, t := range c.order {
		c.updateShare(t)
	}
}

// withinBudget reports whether the team may place size in addition to what it
// holds.
func (t *team) withinBudget(size vec) bool {
	return t.used.add(size).fits(t.budget)
}

// entitle computes what dominant share each team is entitled to, from what it
// holds and wants within its budget. The result is used for a short time.
func (c *Cell) entitle() {
	if age := c.pass.now.Sub(c.entitledAt); age >= 0 && age < sweepInterval {
		return
	}
	c.entitledAt = c.pass.now
	claims := make([]fairshare.Claim, len(c.order))
	for i, t := range c.order {
		demand := t.used.add(t.wanted)
		for d := range demand {
			demand[d] = min(demand[d], max(t.budget[d], 0))
		}
		claims[i] = fairshare.Claim{Weight: t.weight, Demand: demand.vector()}
	}
	for i, e := range fairshare.Entitlements(c.total.vector(), claims) {
		c.order[i].entitled = e
	}
}

// under reports whether the team stays within its entitlement with size in
// addition to what it holds and what room is being made for.
func (c *Cell) under(t *team, size vec) bool {
	return t.used.add(t.claimed).add(size).shareOf(c.total) <= t.entitled+c.policy.ShareTolerance
}

// over reports whether the team holds at least its entitlement after giving up
// size and what is being stopped already.
func (c *Cell) over(t *team, size vec) bool {
	return t.used.sub(t.releasing).sub(t.doomed).sub(size).shareOf(c.total) >= t.entitled
}

// excess returns by how much the team is over its entitlement, in units of its
// weight.
func (c *Cell) excess(t *team) float64 {
	return (t.used.sub(t.releasing).shareOf(c.total) - t.entitled) / t.weight
}
