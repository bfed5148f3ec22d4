package quota

import "time"

// idleReturnDelay is how long an allotment must be unused before it is
// returned.
const idleReturnDelay = 2 * time.Second

// teamLedger is the allotment of one team in one partition, as the owner of the
// partition uses it.
type teamLedger struct {
	held   resourceVec // what the owner may use
	used   resourceVec // the most that the owner may be using, as last reported
	wanted resourceVec // the total that the owner could use, as last reported
	// ceiling is the lowest allotment in writes whose outcome is not known yet.
	ceiling resourceVec
	// target is the reduction target while the limit is exceeded.
	target resourceVec

	// idleSince is the time since which the wanted amount of each kind has been
	// below held, or 0. idlePeakWanted is the highest wanted amount since then.
	idleSince      [resourceKinds]time.Duration
	idlePeakWanted resourceVec
}

func newTeamLedger() *teamLedger { return &teamLedger{ceiling: unlimited, target: unlimited} }

// update records a report of the owner. Only this method lowers held, because
// it runs on the goroutine that starts the work.
func (tl *teamLedger) update(used, wanted, allotted resourceVec, now time.Duration) {
	tl.used = used
	tl.wanted = wanted
	usable := allotted.min(tl.ceiling).min(tl.target)
	for i := range tl.held {
		tl.held[i] = min(tl.held[i], usable[i])
		tl.releaseIdle(i, now)
		tl.held[i] = max(tl.held[i], min(usable[i], tl.wanted[i]))
	}
}

// releaseIdle lowers the held amount of one kind once less has been wanted for
// idleReturnDelay, to the highest wanted amount of that time.
func (tl *teamLedger) releaseIdle(i int, now time.Duration) {
	if tl.wanted[i] >= tl.held[i] {
		tl.idleSince[i] = 0
		return
	}
	if tl.idleSince[i] == 0 {
		tl.idleSince[i], tl.idlePeakWanted[i] = now, 0
	}
	tl.idlePeakWanted[i] = max(tl.idlePeakWanted[i], tl.wanted[i])
	if now-tl.idleSince[i] >= idleReturnDelay {
		tl.held[i] = tl.idlePeakWanted[i]
		tl.idleSince[i] = 0
	}
}

// applyGrant makes a granted allotment usable up to the reduction target. It
// never lowers held.
func (tl *teamLedger) applyGrant(granted, allotted resourceVec) {
	for i := range tl.held {
		if granted[i] > 0 {
			tl.held[i] = max(tl.held[i], min(allotted[i], tl.target[i]))
		}
	}
}

// retained returns the part of an allotment that is held or may be in use.
func (tl *teamLedger) retained(allotted resourceVec) resourceVec {
	return tl.held.max(tl.used).min(allotted)
}
