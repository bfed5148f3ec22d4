package node

import (
	"context"
	"sync"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/quota"
)

// currentLedger passes calls on to the ledger of the present ownership. Without
// one it holds nothing.
type currentLedger struct {
	mu     sync.Mutex
	ledger quota.Ledger
}

// Held returns the allotment of a team.
func (c *currentLedger) Held(team string) api.Resources {
	if l := c.get(); l != nil {
		return l.Held(team)
	}
	return api.Resources{}
}

// Demand tells what a team uses and wants.
func (c *currentLedger) Demand(team string, used, wanted api.Resources) {
	if l := c.get(); l != nil {
		l.Demand(team, used, wanted)
	}
}

func (c *currentLedger) get() quota.Ledger {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger
}

func (c *currentLedger) set(l quota.Ledger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger = l
}

// ledgerTenant opens the ledger of a partition while this node owns it.
type ledgerTenant struct {
	tenant
	ledgers *quota.Manager
	current *currentLedger

	mu    sync.Mutex
	lease api.PartitionLease
}

// Acquire opens the ledger before the tenant uses it.
func (t *ledgerTenant) Acquire(lease api.PartitionLease) {
	t.mu.Lock()
	t.lease = lease
	t.mu.Unlock()
	t.current.set(t.ledgers.Open(lease))
	t.tenant.Acquire(lease)
}

// Release closes the ledger after the tenant has stopped.
func (t *ledgerTenant) Release(ctx context.Context) {
	t.tenant.Release(ctx)
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	t.current.set(nil)
	t.ledgers.Close(lease.Partition, lease.Epoch)
}
