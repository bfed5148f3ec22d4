package platform

// Paths of the platform's protocol (docs/platform.md). The paths of workers and
// executors are appended to the address of the VM.
const (
	PathTableRow    = "/v1/table/row"
	PathTableRows   = "/v1/table/rows"
	PathTableCommit = "/v1/table/commit"
	PathObjects     = "/v1/objects/"
	PathVMs         = "/v1/vms"
	PathSync        = "/v1/worker/sync"
	PathFence       = "/v1/executor/fence"
	PathExecute     = "/v1/executor/execute"
)

// Headers of the protocols of workers and executors.
const (
	// HeaderVM is the ID of the intended VM. Its address may have been reassigned to
	// another VM, which has not seen the same epochs.
	HeaderVM        = "Endivehill-Vm"
	HeaderEpoch     = "Endivehill-Epoch"
	HeaderPartition = "Endivehill-Partition"
	HeaderTeam      = "Endivehill-Team"
	HeaderQueue     = "Endivehill-Queue"
	HeaderRequestID = "Endivehill-Request-Id" // repeated in the response
	HeaderRefused   = "Endivehill-Refused"    // in a response: why the request was refused
)

// Values of HeaderRefused.
const (
	RefusedFenced   = "fenced"   // with status 412
	RefusedDraining = "draining" // with status 503
	RefusedWrongVM  = "wrong_vm" // with status 421
)
