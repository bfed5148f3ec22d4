package scheduler

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

// withinBudget reports whether the team may place size in addition.
func (t *team) withinBudget(size vec) bool {
	return t.used.add(size).fits(t.budget)
}
