package event

// Events of the platform clients, 6000 to 6099.
var (
	PlatformSilent   = define(6010, Info, "idle connections to a service or worker closed: a call on an open connection had no answer in time", "if it recurs for one address, check that service and the network")
	StoreUnavailable = define(6000, Warn, "table service unavailable; operations wait", "check the table service")
	StoreAvailable   = define(6001, Info, "table service available again", "")
	CommitAmbiguous  = define(6002, Info, "outcome of a transaction is unknown; its rows are read back", "")
	BatchConflict    = define(6003, Debug, "a precondition of a batch failed; its operations fail and the others are committed again", "")
	BatchInvalid     = define(6004, Debug, "a batch was rejected as invalid; its operations are committed one by one", "")
)
