// Package scheduler makes the scheduling decisions of a worker partition: which
// task starts on which VM and which task is stopped. It keeps its state in
// memory, does no I/O, starts no goroutines, reads no clock and writes no log.
// Callers pass in events with their time and carry out the returned decisions.
// Equal inputs give equal decisions.
package scheduler
