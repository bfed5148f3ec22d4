package cell

// A call names the ID of a worker, which all incarnations under that ID share, so a call that
// was meant for one may be carried out by a later one. The fencing token tells them apart: an
// owner has a range of tokens, and the calls to an incarnation carry a higher token than any
// call to the one before. Once an incarnation has carried out a call of its own, it refuses all
// that were meant for earlier ones.
//
// Until then an acknowledgment is the call that must not reach it, because it makes it forget
// ends that nobody has read. Such ends are of starts that were meant for an earlier
// incarnation too. So a poll acknowledges ends only while no start is in doubt (see
// startDoubt). And a start that is sent while an acknowledgment has no answer carries a higher
// token: a later incarnation that takes the start refuses the acknowledgment.

// tokenReserve is the number of tokens that an owner keeps for the time until it has handed
// over the ownership.
const tokenReserve = 1 << 10

// TokensRunOut reports whether a worker needs the last tokens of this owner, so that another
// owner has to follow.
func (c *Cell) TokensRunOut() bool { return c.tokensRunOut }

// raiseToken makes the calls from now on carry a higher token than all calls so far.
func (c *Cell) raiseToken(w *worker) { c.setToken(w, w.token+1) }

func (c *Cell) setToken(w *worker, token int) {
	w.token = token
	w.acksUnanswered = 0
	if c.opts.LastToken > 0 && token > c.opts.LastToken-tokenReserve {
		c.tokensRunOut = true
	}
}

// firstToken returns the token of the first calls to a worker that is not known: higher than
// those of a worker under its ID that was removed.
func (c *Cell) firstToken(id string) int {
	return max(c.opts.FirstToken, c.removedTokens[id]+1)
}

// OvertakenByOwnCall reports whether a call was refused for its token because the worker had
// carried out a later call of this owner. Else there is a newer owner.
func (c *Cell) OvertakenByOwnCall(worker string, token int) bool {
	if w := c.workers[worker]; w != nil {
		return token < w.token
	}
	return token <= c.removedTokens[worker]
}
