package scheduler

import "time"

// Policy holds the parameters of the scheduling decisions.
type Policy struct {
	MaxTasksPerJob     int           // bounds the memory used by one submission
	DefaultMaxAttempts int           // failed attempts allowed for each task if the job sets no limit
	MaxLostAttempts    int           // a task lost this often is suspected of crashing its VMs, and its job fails
	FaultyJobVMs       int           // a job whose tasks failed on this many different VMs is faulty
	RetryBackoff       time.Duration // wait after the first failed attempt, doubled after each further one
	MaxRetryBackoff    time.Duration
	RefusalBackoff     time.Duration // wait before a VM that refused a task is used again

	Candidates      int           // VMs scored for one task
	BackgroundDelay time.Duration // how far background work is queued behind normal work
	RunTimeWeight   float64       // multiple of its estimated run time by which batch work is queued later
	MaxRunTimeDelay time.Duration

	DeadlineMargin time.Duration // how long before its deadline work is queued ahead of other work

	InfeasibleGrace time.Duration // how long a job must be infeasible before it fails

	QuickFailure time.Duration // a failure this soon after the start counts against the VM
	// FailureWindow is how long a failure counts against a VM. If a task fails
	// after a longer run, the VMs on which its job failed before are forgotten
	// and, for a service, also the earlier failures of the task.
	FailureWindow          time.Duration
	QuarantineFailedJobs   int           // different jobs that must fail quickly on a VM to quarantine it
	QuarantineBase         time.Duration // duration of the first quarantine, doubled for each further one
	MaxQuarantine          time.Duration
	MaxQuarantinedFraction float64 // largest fraction of the VMs in quarantine at once

	MinRun time.Duration // run time before which a task is preempted only for urgent work
	// ShareTolerance is the dominant share by which a team may exceed its
	// entitlement when tasks of other teams are preempted for it.
	ShareTolerance          float64
	MaxPreemptionSearches   int           // preemption searches in one Schedule call
	MaxPreemptionVMs        int           // VMs examined in one preemption search
	MaxPreemptingGang       int           // largest gang, in tasks, that may preempt
	ClaimTimeout            time.Duration // how long capacity on a VM stays claimed for the job that preempted tasks there
	UrgentCheckpointTimeout time.Duration // urgent work waits no longer than this for a checkpoint
	CheckpointTimeout       time.Duration // time after which a checkpoint that has not been written is aborted

	ReservationVMs      int           // VMs examined for a reservation, more if they have too few expected fits
	ReservationWait     time.Duration // wait after which work that does not fit gets a reservation
	MaxReservationLife  time.Duration // longest life of a reservation
	ReservationCooldown time.Duration // wait after an expired reservation before the job gets another one

	UsageTolerance  float64       // fraction by which a task may exceed its size before it is throttled
	ThrottlePercent int           // processor time left to an oversized task, percent
	ThrottleGrace   time.Duration // time from the throttle until the task is stopped
	MinSamples      int           // samples needed before a learned value is used
}

// DefaultPolicy returns the policy that worker partitions use.
func DefaultPolicy() Policy {
	return Policy{
		MaxTasksPerJob:     10_000,
		DefaultMaxAttempts: 5,
		MaxLostAttempts:    10,
		FaultyJobVMs:       3,
		RetryBackoff:       time.Second,
		MaxRetryBackoff:    2 * time.Minute,
		RefusalBackoff:     time.Second,

		Candidates:      16,
		BackgroundDelay: 10 * time.Minute,
		RunTimeWeight:   2,
		MaxRunTimeDelay: 15 * time.Minute,
		DeadlineMargin:  time.Minute,

		InfeasibleGrace: 10 * time.Minute,

		QuickFailure:           30 * time.Second,
		FailureWindow:          10 * time.Minute,
		QuarantineFailedJobs:   3,
		QuarantineBase:         time.Minute,
		MaxQuarantine:          time.Hour,
		MaxQuarantinedFraction: 0.25,

		MinRun:                  2 * time.Minute,
		ShareTolerance:          0.01,
		MaxPreemptionSearches:   8,
		MaxPreemptionVMs:        32,
		MaxPreemptingGang:       128,
		ClaimTimeout:            30 * time.Second,
		UrgentCheckpointTimeout: 300 * time.Millisecond,
		CheckpointTimeout:       30 * time.Second,

		ReservationVMs:      96,
		ReservationWait:     10 * time.Second,
		MaxReservationLife:  10 * time.Minute,
		ReservationCooldown: 2 * time.Minute,

		UsageTolerance:  0.10,
		ThrottlePercent: 95,
		ThrottleGrace:   10 * time.Second,
		MinSamples:      5,
	}
}
