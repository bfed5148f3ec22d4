// Package standin provides in-process substitutes for the platform services, for
// tests and the development mode: table service, object store, VM list, workers
// and executors. Each is an http.Handler that implements the protocol of
// docs/platform.md and has faults that can be injected at run time. VM list,
// workers and executors record what happened on the VMs in a history.Recorder.
package standin
