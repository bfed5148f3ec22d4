package election

// maxSuccessors is the number of nodes that an owner which releases the cell may ask to take
// it over.
const maxSuccessors = 4

// Successors returns the nodes that should take the cell over when this node releases it, the
// preferred first. Unlike the standbys they include much weaker nodes, which are asked only if
// the others don't accept.
func (a *Agent) Successors() []string {
	ownAge := a.now() - a.options.LastStoreAnswer()
	a.mu.Lock()
	defer a.mu.Unlock()
	eligible, _ := a.eligibleNodes(a.need(), ownAge)
	var out []string
	for _, m := range eligible[:min(len(eligible), maxSuccessors)] {
		out = append(out, m.ping.Address)
	}
	return out
}
