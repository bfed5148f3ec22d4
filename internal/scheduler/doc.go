// Package scheduler is the decision core of a worker partition. It holds the
// state of the cell and decides which task starts on which VM and which task is
// stopped. It does no I/O, starts no goroutines, reads no clock and writes no
// log: events go in with their time, decisions come out, and equal inputs give
// equal decisions.
package scheduler
