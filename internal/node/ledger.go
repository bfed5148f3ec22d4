package node

import (
	"context"
	"sync"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/quota"
)

// currentLedger forwards calls to the ledger of the present lease. While there is none,
// the allotment of each team is empty and demands are ignored.
type currentLedger struct {
	mu     sync.Mutex
	ledger quota.Ledger
}

// Allotment returns the allotment of a team.
func (c *currentLedger) Allotment(team string) api.Resources {
	if l := c.get(); l != nil {
		return l.Allotment(team)
	}
	return api.Resources{}
}

// ReportDemand reports the resources that a team uses and wants.
func (c *currentLedger) ReportDemand(team string, used, wanted api.Resources) {
	if l := c.get(); l != nil {
		l.ReportDemand(team, used, wanted)
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

// ledgerRunner keeps the ledger of a partition open while this node owns the partition.
type ledgerRunner struct {
	runner
	quotaManager *quota.Manager
	current      *currentLedger

	mu    sync.Mutex
	lease api.PartitionLease
}

// Acquire opens the ledger before the wrapped runner uses it.
func (r *ledgerRunner) Acquire(lease api.PartitionLease) {
	r.mu.Lock()
	r.lease = lease
	r.mu.Unlock()
	r.current.set(r.quotaManager.OpenLedger(lease))
	r.runner.Acquire(lease)
}

// Release closes the ledger after the wrapped runner has stopped.
func (r *ledgerRunner) Release(ctx context.Context) {
	r.runner.Release(ctx)
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	r.current.set(nil)
	r.quotaManager.CloseLedger(lease.Partition, lease.Epoch)
}
