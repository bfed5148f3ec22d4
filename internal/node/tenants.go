package node

import (
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/jobs"
	"github.com/endivehill/endivehill/internal/requests"
	"github.com/endivehill/endivehill/internal/router"
)

// makeTenant makes the local side of a partition.
func (n *Node) makeTenant(name string) tenant {
	ledger := &currentLedger{}
	t := &ledgerTenant{ledgers: n.ledgers, current: ledger}
	if isWorkerPartition(name) {
		t.tenant = n.makeJobs(name, ledger)
	} else {
		t.tenant = n.makeRequests(name, ledger)
	}
	return t
}

func (n *Node) makeJobs(name string, ledger *currentLedger) tenant {
	return jobs.New(jobs.Options{
		Partition:  name,
		Records:    jobs.NewTableRecords(n.table, n.batch),
		Workers:    n.workers,
		Ledger:     ledger,
		Leadership: n.membership,
		Clock:      n.clock,
		Logger:     n.logger,
		Metrics:    n.jobMetrics,
		Superseded: n.superseded,
	})
}

func (n *Node) makeRequests(name string, ledger *currentLedger) tenant {
	return requests.New(requests.Options{
		Partition: name,
		Executor:  n.executors,
		Table:     n.table,
		Batcher:   n.batch,
		Objects:   n.objects,
		Ledger:    ledger,
		Clock:     n.clock,
		Logger:    n.logger,
		Metrics:   n.requestMetrics,
		Lead:      n.membership.Lead,
		Dropped:   n.superseded,
		MaxQueued: n.opts.Settings.Limits.MaxQueuedRequests,
	})
}

// superseded tells ownership that an upstream or a record has shown a newer owner.
func (n *Node) superseded(lease api.PartitionLease) {
	n.ownership.Superseded(lease.Partition, lease.Epoch+1)
}

// localOwners finds the partitions of this node for the router.
type localOwners struct{ partitions *partitions }

// Requests returns the owner of an executor partition, if it is on this node.
func (l localOwners) Requests(name string) (router.RequestOwner, bool) {
	p, ok := l.partitions.requests(name)
	if !ok || p.Load().Epoch == 0 {
		return nil, false
	}
	return p, true
}

// Jobs returns the owner of a worker partition, if it is on this node.
func (l localOwners) Jobs(name string) (router.JobOwner, bool) {
	p, ok := l.partitions.jobs(name)
	if !ok || p.Load().Epoch == 0 {
		return nil, false
	}
	return p, true
}
