// Package standin holds small stand-ins for the platform, for tests and the
// development mode: table service, object store, VM list, workers and
// executors. Each is an http.Handler that speaks the protocol of
// docs/platform.md, has faults that are switched at run time, and records what
// truly happened in a history.Recorder.
package standin
