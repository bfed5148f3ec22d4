package cell

import "time"

// Heartbeats are the last heartbeats of the draining workers in a list of workers. The next owner
// tells by them which of these have taken themselves off the list since.
type Heartbeats struct {
	ReadAt  time.Duration // boot time as of which the list was last read; 0 if it is not known
	Workers []Heartbeat
}

// Heartbeat is the last heartbeat of a worker.
type Heartbeat struct {
	Worker  WorkerRef
	Version int64         // of its entry in the list
	After   time.Duration // boot time of a read that did not show it yet; 0 if it is not known
}

// WorkersDraining notes the workers that an earlier owner has last listed as draining. It is called
// before the first list of workers. They are polled at their addresses, because one that responds
// has not left.
func (c *Cell) WorkersDraining(refs []WorkerRef) {
	for _, ref := range refs {
		if w := c.workerByRef(ref); w != nil && !w.described {
			w.info.Draining, w.info.Address = true, ref.Address
		}
	}
}
