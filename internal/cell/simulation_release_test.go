package cell

import (
	"slices"
	"time"
)

// release makes the owner release the cell, after which it makes no calls. What is not stored
// yet is lost with it, as with a large backlog of commits. Without the store no release
// succeeds.
func (sim *simulation) release() {
	if sim.paused() {
		sim.runFor(sim.pausedUntil - sim.now)
	}
	if sim.storeUp && !sim.replaced {
		sim.cell.Advance(sim.now, sim.wall)
		sim.noteCommit()
		ends := sim.cell.LeaseEnds()
		if slices.ContainsFunc(ends, func(e LeaseEnd) bool { return !e.Recorded }) {
			sim.storeLeaseEnds(ends)
		}
	}
	sim.cell = nil
}

// storeLeaseEnds stores the row of lease ends. An entry that the row has stays as it is.
func (sim *simulation) storeLeaseEnds(ends []LeaseEnd) {
	next := make(map[Incarnation]time.Duration, len(ends))
	for _, e := range ends {
		next[e.Incarnation] = e.End
		if stored, ok := sim.leaseEnds[e.Incarnation]; e.Recorded && ok {
			next[e.Incarnation] = stored
		}
	}
	sim.leaseEnds = next
	sim.leaseEndWrites++
}

// kill ends the process of the owner.
func (sim *simulation) kill() { sim.cell = nil }

// endBeforeLoad makes a node claim the cell that ends before it has loaded the records.
func (sim *simulation) endBeforeLoad() {
	sim.epoch++
	sim.committedAt = sim.now
}

// replace makes another node claim the cell, as if the owner had asked it to. The commits of the
// owner fail from then on, but it makes calls until the next owner has loaded the records.
func (sim *simulation) replace() {
	sim.replaced = true
}

// readLeaseEnds returns what the next owner reads of the row; unknown if it fails to.
func (sim *simulation) readLeaseEnds() (ends map[Incarnation]time.Duration, unknown bool) {
	if sim.unreadableShare > 0 && sim.nextRand.Float64() < sim.unreadableShare {
		return nil, true
	}
	return sim.leaseEnds, false
}

// Times of owners that follow each other.
const (
	maxReleases     = 4                      // in a series
	maxTenure       = 4 * time.Second        // of an owner in a series
	maxTimeReleased = 700 * time.Millisecond // until the next owner has loaded the records
)

// tenureEnds are the ways in which the owners of a series end.
type tenureEnds []func(sim *simulation)

var (
	onlyReleases = tenureEnds{(*simulation).release}
	anyEnd       = tenureEnds{(*simulation).release, (*simulation).kill, (*simulation).replace, (*simulation).endBeforeNextLoad}
)

// unreadableShare is the share of the owners of any series that can't read the row of lease ends.
const unreadableShare = 0.05

// setTenureEnds makes random faults replace the owner by a series of owners.
func (sim *simulation) setTenureEnds(ends tenureEnds) {
	sim.tenureEnds = ends
	if len(ends) > 1 {
		sim.unreadableShare = unreadableShare
	}
}

// endBeforeNextLoad kills the owner, and the next one before it has loaded the records.
func (sim *simulation) endBeforeNextLoad() {
	sim.kill()
	sim.runFor(time.Duration(sim.nextRand.Int64N(int64(maxTimeReleased))))
	sim.endBeforeLoad()
}

// followEachOther replaces the owner a few times.
func (sim *simulation) followEachOther(ends tenureEnds) {
	for range 1 + sim.nextRand.IntN(maxReleases) {
		end := ends[0]
		if len(ends) > 1 {
			end = ends[sim.nextRand.IntN(len(ends))]
		}
		end(sim)
		sim.runFor(time.Duration(sim.nextRand.Int64N(int64(maxTimeReleased))))
		sim.startOwner()
		sim.forgetUnstored()
		sim.runFor(time.Duration(sim.nextRand.Int64N(int64(maxTenure))))
	}
}

// checkLeaseEnds checks that no worker holds a lease that was granted to it beyond its end in the row.
func (sim *simulation) checkLeaseEnds() {
	for i, end := range sim.leaseEnds {
		f := sim.workers[i.Worker]
		if f.dead || f.incarnationUnixMs != i.StartUnixMs || sim.t.Failed() {
			continue
		}
		if held := f.grantedLeaseEnd(); held > end {
			sim.t.Errorf("at %v worker %s holds a lease for %v, its recorded end is in %v", sim.now, f.id, held-sim.now, end-sim.now)
		}
	}
}

// grantedLeaseEnd returns the time at which the leases end that were granted to this incarnation.
func (f *fakeWorker) grantedLeaseEnd() time.Duration {
	return f.startedAt + time.Duration(float64(f.grantedUntil)/minClockRate)*time.Millisecond
}
