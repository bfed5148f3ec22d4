package scheduler

import "time"

// claim keeps room on a VM, some of it still being freed, for one task of a job.
type claim struct {
	job     *job
	vm      *vm
	size    vec
	dropped bool
}

// addClaim keeps room on the VM for a task of the job.
func (c *Cell) addClaim(j *job, v *vm, now time.Time) {
	cl := &claim{job: j, vm: v, size: j.size}
	j.claims = append(j.claims, cl)
	v.claims = append(v.claims, cl)
	j.team.claimed = j.team.claimed.add(cl.size)
	c.addTimer(timer{at: now.Add(c.policy.ClaimLimit), kind: timerClaim, claim: cl})
	c.refresh(v)
}

// dropClaim gives up the room kept by the claim.
func (c *Cell) dropClaim(cl *claim) {
	if cl.dropped {
		return
	}
	cl.dropped = true
	cl.job.claims = without(cl.job.claims, cl)
	cl.vm.claims = without(cl.vm.claims, cl)
	cl.job.team.claimed = cl.job.team.claimed.sub(cl.size)
	c.refresh(cl.vm)
}

// dropClaims gives up all room kept for the job.
func (c *Cell) dropClaims(j *job) {
	for len(j.claims) > 0 {
		c.dropClaim(j.claims[len(j.claims)-1])
	}
}

// expireClaim drops a claim whose time is up, for a gang with all others.
func (c *Cell) expireClaim(cl *claim) {
	if cl.dropped {
		return
	}
	if cl.job.gang() {
		c.dropClaims(cl.job)
		return
	}
	c.dropClaim(cl)
}

// ready reports whether the claimed room is free now.
func (cl *claim) ready() bool {
	return cl.vm.takesWork() && cl.size.fits(cl.vm.capacity.sub(cl.vm.held))
}

// claimable returns the claim of the job whose room is free, if there is one.
func (j *job) claimable() *claim {
	for _, cl := range j.claims {
		if cl.ready() {
			return cl
		}
	}
	return nil
}

// kept returns what the claims on the VM keep of the room that is free now.
// Room that is still being freed covers them first.
func (v *vm) kept() vec {
	var kept vec
	for _, cl := range v.claims {
		kept = kept.add(cl.size)
	}
	return kept.sub(v.releasing).max(vec{})
}

func without(list []*claim, cl *claim) []*claim {
	for i, other := range list {
		if other == cl {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
