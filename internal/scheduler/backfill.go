package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// backfills reports whether a task of the job may use the VM in spite of a
// reservation for another job: it is expected to end early enough, it fits beside
// the reserved work, or it can be checkpointed when the reserved work starts.
func (c *Cell) backfills(j *job, v *vm) bool {
	r := v.reservation
	return r == nil || r.job == j || j.level == levelUrgent || yields(j) || c.staysClear(j, v)
}

// yields reports whether tasks of the job can make way for reserved work with
// little loss.
func yields(j *job) bool { return j.Checkpointable && j.Class == api.ClassBatch }

// staysClear reports whether a task of the job would not be in the way of the
// work that the VM is reserved for.
func (c *Cell) staysClear(j *job, v *vm) bool {
	return c.endsBefore(j, v.reservation.expected) || j.size.fits(v.slack)
}

// endsBefore reports whether a task of the job that starts now is expected to
// have ended at the time.
func (c *Cell) endsBefore(j *job, at time.Time) bool {
	return !c.pass.now.Add(c.runTime(j, longQuantile)).After(at)
}

// noteBackfill records what a task placed on a reserved VM means for the
// reserved work: it takes slack, or it must make way.
func (c *Cell) noteBackfill(t *task, v *vm) {
	t.yields = false
	r := v.reservation
	if r == nil || r.job == t.job || c.endsBefore(t.job, r.expected) {
		return
	}
	if yields(t.job) && !t.job.size.fits(v.slack) {
		t.yields = true
		return
	}
	v.slack = v.slack.sub(t.job.size)
}

// claimReserved makes way for the reserved work if it fits once the tasks that
// yield to it are gone.
func (c *Cell) claimReserved(r *reservation) bool {
	n := 1
	if r.job.gang() {
		n = len(r.job.pending)
	}
	if len(r.job.claims) > 0 || !r.job.team.withinBudget(r.job.team.claimed.add(r.job.size.times(n))) {
		return false
	}
	fit := 0
	for _, v := range r.vms {
		fit += roomFor(v).copies(r.job.size, n)
	}
	if fit < n {
		return false
	}
	for _, v := range r.vms {
		k := min(n, roomFor(v).copies(r.job.size, n))
		n -= k
		c.makeWay(r, v, k)
	}
	return true
}

// roomFor returns the room on the VM once the tasks that yield are gone.
func roomFor(v *vm) vec {
	if !v.takesWork() {
		return vec{}
	}
	room := v.avail
	for _, t := range v.tasks {
		if t.yields && t.stoppable() {
			room = room.add(t.size)
		}
	}
	return room
}

// makeWay claims room for k tasks of the reserved work and checkpoints tasks that
// are in its way.
func (c *Cell) makeWay(r *reservation, v *vm, k int) {
	need := r.job.size.times(k)
	room := v.avail
	for _, t := range v.tasks {
		if need.fits(room) {
			break
		}
		if t.yields && t.stoppable() {
			room = room.add(t.size)
			c.preemptTask(t, Checkpoint, "makes way for work that the VM is reserved for", false)
		}
	}
	for range k {
		c.addClaim(r.job, v, c.pass.now)
	}
}
