package node

import (
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/jobs"
	"github.com/endivehill/endivehill/internal/requests"
	"github.com/endivehill/endivehill/internal/router"
)

// newRunner returns the runner of a partition.
func (n *Node) newRunner(name string) runner {
	ledger := &currentLedger{}
	r := &ledgerRunner{quotaManager: n.quotaManager, current: ledger}
	if isWorkerPartition(name) {
		r.runner = n.newJobsRunner(name, ledger)
	} else {
		r.runner = n.newRequestsRunner(name, ledger)
	}
	return r
}

func (n *Node) newJobsRunner(name string, ledger *currentLedger) runner {
	return jobs.New(jobs.Options{
		Partition:  name,
		Records:    jobs.NewTableRecords(n.table, n.groupCommit),
		Workers:    n.workers,
		Ledger:     ledger,
		Leadership: n.membership,
		Clock:      n.clock,
		Logger:     n.logger,
		Metrics:    n.jobMetrics,
		Superseded: n.dropSuperseded,
	})
}

func (n *Node) newRequestsRunner(name string, ledger *currentLedger) runner {
	return requests.New(requests.Options{
		Partition:  name,
		Executor:   n.executors,
		Table:      n.table,
		Batcher:    n.groupCommit,
		Objects:    n.objects,
		Ledger:     ledger,
		Clock:      n.clock,
		Logger:     n.logger,
		Metrics:    n.requestMetrics,
		CheckLead:  n.membership.CheckLead,
		Superseded: n.dropSuperseded,
		MaxQueued:  n.options.Settings.Limits.MaxQueuedRequests,
	})
}

// dropSuperseded drops a partition after an upstream or a record has shown that it has a
// newer owner.
func (n *Node) dropSuperseded(lease api.PartitionLease) {
	n.ownership.DropSuperseded(lease.Partition, lease.Epoch+1)
}

// localOwners looks up the partitions of this node for the router.
type localOwners struct{ partitions *partitions }

// Requests returns the owner of an executor partition, if this node owns it.
func (l localOwners) Requests(name string) (router.RequestOwner, bool) {
	p, ok := l.partitions.requests(name)
	if !ok || p.Load().Epoch == 0 {
		return nil, false
	}
	return p, true
}

// Jobs returns the owner of a worker partition, if this node owns it.
func (l localOwners) Jobs(name string) (router.JobOwner, bool) {
	p, ok := l.partitions.jobs(name)
	if !ok || p.Load().Epoch == 0 {
		return nil, false
	}
	return p, true
}
