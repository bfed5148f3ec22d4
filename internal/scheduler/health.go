package scheduler

import "time"

// vmFailure is a quick failure of a job on a VM.
type vmFailure struct {
	job string
	at  time.Time
}

// noteFailure holds a quick failure against the VM, and quarantines the VM when
// several different jobs have failed on it.
func (c *Cell) noteFailure(v *vm, t *task, now time.Time) {
	if !t.started.IsZero() && now.Sub(t.started) >= c.policy.QuickFailure {
		return
	}
	kept := v.failures[:0]
	for _, f := range v.failures {
		if now.Sub(f.at) < c.policy.FailureWindow && f.job != t.job.ID {
			kept = append(kept, f)
		}
	}
	v.failures = append(kept, vmFailure{job: t.job.ID, at: now})
	if len(v.failures) >= c.policy.QuarantineJobs || v.probation {
		c.quarantine(v, now)
	}
}

// quarantine keeps work away from the VM for a time that doubles with each
// quarantine. Afterwards it gets one task at a time until one has done well.
func (c *Cell) quarantine(v *vm, now time.Time) {
	if c.quarantined() >= max(1, int(c.policy.QuarantinedFraction*float64(len(c.fleet)))) {
		return
	}
	wait := min(c.policy.QuarantineBase<<min(v.quarantines, 20), c.policy.QuarantineLimit)
	v.quarantines++
	v.probation = true
	for _, f := range v.failures {
		if j, ok := c.jobs[f.job]; ok {
			j.excuse(v.ID)
		}
	}
	v.failures = nil
	v.quarantinedUntil = now.Add(wait)
	c.pauseVM(v, v.quarantinedUntil)
}

// quarantined returns the number of VMs in quarantine.
func (c *Cell) quarantined() int {
	n := 0
	for _, v := range c.fleet {
		if v.probation && !v.backoff.IsZero() {
			n++
		}
	}
	return n
}

// noteHealthy records that a task did well on the VM.
func (c *Cell) noteHealthy(v *vm) {
	if len(v.failures) > 0 {
		v.failures = v.failures[1:]
	}
	v.refusals = 0
	if v.probation {
		v.probation = false
		v.quarantines = max(0, v.quarantines-1)
		c.refresh(v)
	}
}

// acquit removes the failures of a faulty job from the VMs it failed on.
func (c *Cell) acquit(j *job) {
	for _, id := range j.badVMs {
		v, ok := c.vms[id]
		if !ok {
			continue
		}
		for i, f := range v.failures {
			if f.job == j.ID {
				v.failures = append(v.failures[:i], v.failures[i+1:]...)
				break
			}
		}
	}
}

// excuse removes the VM from those held against the job.
func (j *job) excuse(vmID string) {
	for i, id := range j.badVMs {
		if id == vmID {
			j.badVMs = append(j.badVMs[:i], j.badVMs[i+1:]...)
			return
		}
	}
}
