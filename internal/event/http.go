package event

// Events of the HTTP API, 5000 to 5099.
var (
	HTTPInternalError   = define(5000, Error, "an HTTP call ended with an internal error", "report the error with the log around it")
	HTTPPanic           = define(5001, Error, "an HTTP call ended with a panic", "report the error with the log around it")
	HTTPConnectionError = define(5002, Debug, "connection error of a caller", "")
	HTTPDraining        = define(5003, Info, "the node reports itself as not ready", "")
)
