package requests

import (
	"sync/atomic"

	"github.com/endivehill/endivehill/internal/api"
)

// generationBits is the size of the fence generation in a fencing token. It
// leaves 31 bits for the epoch of the partition.
const generationBits = 32

// fenceGeneration counts how often an executor was fenced with a new token, but no
// new epoch, because requests were lost. The control goroutine increments it;
// attempts read it.
type fenceGeneration struct{ n atomic.Uint32 }

func (g *fenceGeneration) increment() { g.n.Add(1) }

// token returns the fencing token of the current generation in the epoch of lease.
// Tokens are ordered by epoch, then by generation. Calls to executors carry the token
// as their epoch.
func (g *fenceGeneration) token(lease api.PartitionLease) int {
	return lease.Epoch<<generationBits | int(g.n.Load())
}

// generationOf returns the fence generation of a VM. The generation is kept
// when the VM leaves the list, because the executor remembers the highest token.
func (c *controller) generationOf(vm string) *fenceGeneration {
	g, ok := c.generations[vm]
	if !ok {
		g = &fenceGeneration{}
		c.generations[vm] = g
	}
	return g
}
