package event

// Events of the process as a whole, 1000 to 1099.
var (
	NodeStarted   = define(1000, Info, "node started", "")
	NodeStopping  = define(1001, Info, "planned stop started", "")
	NodeStopped   = define(1002, Info, "node stopped", "")
	StopTimedOut  = define(1003, Warn, "planned stop timed out with work in flight", "raise shutdown_timeout_ms (serve) or the platform's grace time (cell) if requests run longer")
	ReleaseFailed = define(1005, Warn, "session could not be released; other nodes wait until it expires", "")
	StopEnded     = define(1006, Info, "planned stop ended: connections of callers cut with a request in progress or unread, and the duration of each phase", "raise the platform's grace time (cell) if in_progress or unread is not 0")
	VMListFailed  = define(1004, Warn, "VM list could not be read; the previous list is used", "check the VM list service")
)
