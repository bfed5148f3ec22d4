package requests

import (
	"sync/atomic"

	"github.com/endivehill/endivehill/internal/api"
)

// roundBits is the size of the round in a fencing token. It leaves 31 bits to the
// epoch of the partition.
const roundBits = 32

// round counts how often an executor was fenced anew within an epoch of the
// partition. The control goroutine changes it, runs read it.
type round struct{ n atomic.Uint32 }

func (r *round) next() { r.n.Add(1) }

// token returns the number by which the executor fences calls: higher in a later
// round, and higher still in a later epoch.
func (r *round) token(lease api.PartitionLease) int {
	return lease.Epoch<<roundBits | int(r.n.Load())
}

// roundOf returns the round of a VM. It is kept when the VM leaves the list,
// because the executor remembers the highest token.
func (s *control) roundOf(vm string) *round {
	r, ok := s.rounds[vm]
	if !ok {
		r = &round{}
		s.rounds[vm] = r
	}
	return r
}
