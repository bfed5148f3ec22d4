package event

// Events of worker partitions, 4000 to 4099.
var (
	WorkerPartitionAcquired   = define(4000, Info, "worker partition acquired", "")
	JobsLoaded                = define(4001, Info, "job records loaded", "")
	JobsLoadFailed            = define(4002, Warn, "job records could not be loaded; retrying", "check the table service")
	WorkerPartitionReleased   = define(4003, Info, "worker partition released", "")
	WorkerPartitionSuperseded = define(4004, Warn, "worker partition was taken over by a newer epoch", "")
	JobRestoreFailed          = define(4005, Error, "stored job is malformed and is not run", "inspect the job row; report a fault")
	JobFinished               = define(4010, Info, "job finished", "")
	JobSaveFailed             = define(4011, Warn, "job record could not be saved; retrying", "check the table service")
	JobsPurged                = define(4012, Info, "records of jobs that finished long ago were deleted", "")
	JobPurgeFailed            = define(4013, Warn, "old job records could not be deleted; retrying later", "check the table service")
	WorkerUnreachable         = define(4020, Warn, "worker does not respond; no new tasks are placed there", "check the VM")
	WorkerLost                = define(4021, Warn, "leases of an unreachable worker expired; its tasks are placed again", "")
	WorkerRecovered           = define(4022, Info, "worker responds again", "")
	TaskMissing               = define(4024, Warn, "worker no longer has a task that was recorded there; the task is placed again unless its job has ended", "check whether the worker restarted")
	UnknownTaskStopped        = define(4023, Warn, "worker runs a task without a current record; the task is stopped", "")
)
