package cell

import "time"

// releaseRecord is what an owner has recorded with the release of the cell.
type releaseRecord struct {
	epoch int
	ends  []LeaseEnd
}

// release makes the owner release the cell, after which it makes no calls. What is not stored
// yet is lost with it, as with a large backlog of commits. Without the store no release
// succeeds.
func (sim *simulation) release() {
	if sim.paused() {
		sim.runFor(sim.pausedUntil - sim.now)
	}
	if sim.storeUp {
		sim.cell.Advance(sim.now, sim.wall)
		sim.noteCommit()
		sim.released = releaseRecord{sim.epoch, sim.cell.LeaseEnds()}
	}
	sim.cell = nil
}

// recordedLeaseEnds returns what the next owner reads: the record of the last owner, if that one
// has released the cell.
func (sim *simulation) recordedLeaseEnds() map[Incarnation]time.Duration {
	if sim.released.epoch != sim.epoch {
		return nil
	}
	out := map[Incarnation]time.Duration{}
	for _, end := range sim.released.ends {
		out[end.Incarnation] = end.End
	}
	return out
}

// Times of owners that follow each other by releases.
const (
	maxReleases     = 4                      // in a series
	maxTenure       = 4 * time.Second        // of an owner in a series
	maxTimeReleased = 700 * time.Millisecond // until the next owner has loaded the records
)

// followEachOther replaces the owner a few times, by releases.
func (sim *simulation) followEachOther() {
	for range 1 + sim.nextRand.IntN(maxReleases) {
		sim.release()
		sim.runFor(time.Duration(sim.nextRand.Int64N(int64(maxTimeReleased))))
		sim.startOwner()
		sim.forgetUnstored()
		sim.runFor(time.Duration(sim.nextRand.Int64N(int64(maxTenure))))
	}
}
