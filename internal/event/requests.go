package event

// Events of executor partitions and the router, 3000 to 3199.
var (
	ExecutorPartitionAcquired   = define(3000, Info, "executor partition acquired", "")
	ExecutorPartitionReleased   = define(3001, Info, "executor partition released", "")
	ExecutorPartitionSuperseded = define(3002, Warn, "executor partition dropped: an executor or the table service reported a newer owner", "")
	ExecutorFenced              = define(3010, Debug, "executor fenced", "")
	ExecutorFenceFailed         = define(3011, Warn, "executor could not be fenced; it gets no work", "check the VM and its executor")
	ExecutorEjected             = define(3012, Warn, "executor ejected after a failure", "check the VM and its executor if this repeats")
	ExecutorDraining            = define(3013, Info, "executor refuses new requests", "")
	ExecutorRecovered           = define(3014, Info, "executor accepts requests again", "")
	RequestUnknown              = define(3020, Warn, "outcome of a non-idempotent request is unknown", "")
	RecordWriteRetried          = define(3021, Warn, "record of a request could not be written; retrying", "check the table service")
	RecordAbandoned             = define(3022, Error, "record of a request could not be written; a repeated request gets outcome_unknown", "check the table service")
	AnswerNotStored             = define(3023, Warn, "answer could not be stored; a repeated request gets outcome_unknown", "check the object store")
	RecordPurgeFailed           = define(3024, Warn, "old request records could not be deleted", "check the table service")
)
