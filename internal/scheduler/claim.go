package scheduler

import "time"

// claim keeps capacity on a VM for one task of a job, including capacity that
// is still being released.
type claim struct {
	job      *job
	vm       *vm
	size     resourceVec
	released bool
}

// addClaim claims capacity on the VM for a task of the job.
func (s *State) addClaim(j *job, v *vm, now time.Time) {
	cl := &claim{job: j, vm: v, size: j.size}
	j.claims = append(j.claims, cl)
	v.claims = append(v.claims, cl)
	j.team.claimed = j.team.claimed.add(cl.size)
	s.addTimer(timer{at: now.Add(s.policy.ClaimTimeout), kind: timerClaimExpiry, claim: cl})
	s.updateAvailable(v)
}

// releaseClaim releases the claimed capacity.
func (s *State) releaseClaim(cl *claim) {
	if cl.released {
		return
	}
	cl.released = true
	cl.job.claims = removeClaim(cl.job.claims, cl)
	cl.vm.claims = removeClaim(cl.vm.claims, cl)
	cl.job.team.claimed = cl.job.team.claimed.sub(cl.size)
	s.updateAvailable(cl.vm)
}

// releaseClaims releases all claims of the job.
func (s *State) releaseClaims(j *job) {
	for len(j.claims) > 0 {
		s.releaseClaim(j.claims[len(j.claims)-1])
	}
}

// expireClaim releases a claim that has timed out or whose VM is removed; for a
// gang, all claims of the job.
func (s *State) expireClaim(cl *claim) {
	if cl.released {
		return
	}
	if cl.job.isGang() {
		s.releaseClaims(cl.job)
		return
	}
	s.releaseClaim(cl)
}

// fitsNow reports whether the claimed capacity is free now.
func (cl *claim) fitsNow() bool {
	return cl.vm.takesWork() && cl.size.fits(cl.vm.capacity.sub(cl.vm.allocated))
}

// usableClaim returns a claim of the job whose capacity is free, or nil.
func (j *job) usableClaim() *claim {
	for _, cl := range j.claims {
		if cl.fitsNow() {
			return cl
		}
	}
	return nil
}

// claimedAvailable returns how much of the free capacity of the VM is claimed.
// Capacity that is being released covers claims first; only the rest of the
// claims takes free capacity.
func (v *vm) claimedAvailable() resourceVec {
	var claimed resourceVec
	for _, cl := range v.claims {
		claimed = claimed.add(cl.size)
	}
	return claimed.sub(v.releasing).max(resourceVec{})
}

func removeClaim(list []*claim, cl *claim) []*claim {
	for i, other := range list {
		if other == cl {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
