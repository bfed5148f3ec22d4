package scheduler

import "time"

// Policy holds the numbers that govern decisions.
type Policy struct {
	MaxTasksPerJob     int           // bounds the memory of one submission
	DefaultMaxAttempts int           // failed attempts of one task when the job gives none
	MaxLost            int           // losses of one task after which it is suspected of taking VMs down
	FaultyVMs          int           // different VMs on which a job must fail to be faulty
	RetryBackoff       time.Duration // wait after the first failed attempt, doubled for each further one
	RetryBackoffLimit  time.Duration
	RefusedBackoff     time.Duration // wait of a VM after it refused a task

	Candidates      int           // VMs scored for one task
	BackgroundDelay time.Duration // how much later background work is queued than normal work
	RunWeight       float64       // fraction of its estimated run by which longer work is queued later
	RunWeightLimit  time.Duration

	DeadlineMargin time.Duration // how long before its deadline work is put ahead of other work

	ShrinkGrace time.Duration // how long a job must be infeasible before it fails

	QuickFailure        time.Duration // a failure this soon after the start is held against the VM
	FailureWindow       time.Duration // how long a failure is held against a VM
	QuarantineJobs      int           // different jobs that must fail quickly for a quarantine
	QuarantineBase      time.Duration // first quarantine, doubled for each further one
	QuarantineLimit     time.Duration
	QuarantinedFraction float64 // largest fraction of the VMs in quarantine

	MinRun          time.Duration // run time before which a task is not preempted for share
	ShareTolerance  float64       // dominant share by which a team must be off its share before a preemption
	PreemptionsMax  int           // preempting requests handled by one Schedule
	PreemptionVMs   int           // VMs examined for one preempting request
	PreemptionGang  int           // tasks of the largest gang that may preempt
	ClaimLimit      time.Duration // how long room being made is kept for the work it is made for
	UrgentStop      time.Duration // longest learned checkpoint time that urgent work waits for
	CheckpointLimit time.Duration // time after which a checkpoint not yet written is given up

	ReserveVMs      int           // VMs examined for a reservation, more if it needs more
	ReserveAfter    time.Duration // wait after which work that does not fit gets a reservation
	ReserveLimit    time.Duration // longest life of a reservation
	ReserveCooldown time.Duration // wait of work whose reservation expired for the next one

	GrowthSlack     float64       // fraction over its size that a task may use without a measure
	ThrottlePercent int           // processor time left to a task that outgrows its size
	ThrottleGrace   time.Duration // time after the throttle until the task is stopped
	LearnSamples    int           // samples needed before a learned value is used
}

// DefaultPolicy returns the policy for the deployments of the design.
func DefaultPolicy() Policy {
	return Policy{
		MaxTasksPerJob:     10_000,
		DefaultMaxAttempts: 5,
		MaxLost:            10,
		FaultyVMs:          3,
		RetryBackoff:       time.Second,
		RetryBackoffLimit:  2 * time.Minute,
		RefusedBackoff:     time.Second,

		Candidates:      16,
		BackgroundDelay: 10 * time.Minute,
		RunWeight:       2,
		RunWeightLimit:  15 * time.Minute,
		DeadlineMargin:  time.Minute,

		ShrinkGrace: 10 * time.Minute,

		QuickFailure:        30 * time.Second,
		FailureWindow:       10 * time.Minute,
		QuarantineJobs:      3,
		QuarantineBase:      time.Minute,
		QuarantineLimit:     time.Hour,
		QuarantinedFraction: 0.25,

		MinRun:          2 * time.Minute,
		ShareTolerance:  0.01,
		PreemptionsMax:  8,
		PreemptionVMs:   32,
		PreemptionGang:  128,
		ClaimLimit:      30 * time.Second,
		UrgentStop:      300 * time.Millisecond,
		CheckpointLimit: 30 * time.Second,

		ReserveVMs:      96,
		ReserveAfter:    10 * time.Second,
		ReserveLimit:    10 * time.Minute,
		ReserveCooldown: 2 * time.Minute,

		GrowthSlack:     0.10,
		ThrottlePercent: 95,
		ThrottleGrace:   10 * time.Second,
		LearnSamples:    5,
	}
}
