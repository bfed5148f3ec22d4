package scheduler

import "time"

// vmFailure is a quick failure of a job on a VM.
type vmFailure struct {
	job string
	at  time.Time
}

// recordVMFailure counts a quick failure against the VM and quarantines the VM
// after failures of several different jobs.
func (s *State) recordVMFailure(v *vm, t *task, now time.Time) {
	if !t.started.IsZero() && now.Sub(t.started) >= s.policy.QuickFailure {
		return
	}
	kept := v.failures[:0]
	for _, f := range v.failures {
		if now.Sub(f.at) < s.policy.FailureWindow && f.job != t.job.ID {
			kept = append(kept, f)
		}
	}
	v.failures = append(kept, vmFailure{job: t.job.ID, at: now})
	if len(v.failures) >= s.policy.QuarantineFailedJobs || v.probation {
		s.quarantine(v, now)
	}
}

// quarantine blocks the VM for a time that doubles with each quarantine.
// Afterwards the VM is on probation: it runs one task at a time until a task
// succeeds or runs without a quick failure.
func (s *State) quarantine(v *vm, now time.Time) {
	if s.countQuarantined(now) >= max(1, int(s.policy.MaxQuarantinedFraction*float64(len(s.sortedVMs)))) {
		return
	}
	wait := min(s.policy.QuarantineBase<<min(v.quarantines, 20), s.policy.MaxQuarantine)
	v.quarantines++
	v.probation = true
	for _, f := range v.failures {
		if j, ok := s.jobs[f.job]; ok {
			j.removeFailedVM(v.ID)
		}
	}
	v.failures = nil
	v.quarantinedUntil = now.Add(wait)
	s.blockVM(v, v.quarantinedUntil)
}

// countQuarantined returns the number of VMs in quarantine.
func (s *State) countQuarantined(now time.Time) int {
	n := 0
	for _, v := range s.sortedVMs {
		if v.quarantinedUntil.After(now) {
			n++
		}
	}
	return n
}

// recordVMSuccess removes one failure of the VM and ends its probation after a
// task succeeded or ran long enough.
func (s *State) recordVMSuccess(v *vm) {
	if len(v.failures) > 0 {
		v.failures = v.failures[1:]
	}
	v.refusals = 0
	if v.probation {
		v.probation = false
		v.quarantines = max(0, v.quarantines-1)
		s.updateAvailable(v)
	}
}

// clearVMFailures removes the failures of a faulty job from the VMs it failed
// on.
func (s *State) clearVMFailures(j *job) {
	for _, id := range j.failedVMs {
		v, ok := s.vms[id]
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

// removeFailedVM removes the VM from those on which the job has failed.
func (j *job) removeFailedVM(vmID string) {
	for i, id := range j.failedVMs {
		if id == vmID {
			j.failedVMs = append(j.failedVMs[:i], j.failedVMs[i+1:]...)
			return
		}
	}
}
