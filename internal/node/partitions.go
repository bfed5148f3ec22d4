package node

import (
	"context"
	"strings"
	"sync"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/jobs"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/requests"
)

// runner runs one partition on this node.
type runner interface {
	ownership.PartitionRunner
	SetFleet(vms []api.VM)
	SetConfig(config *api.Configuration)
	Load() api.PartitionLoad
	Close()
}

// partitions holds the runners that this node has created so far.
type partitions struct {
	newRunner func(name string) runner

	mu             sync.Mutex
	runners        map[string]runner
	config         *api.Configuration
	vmsByPartition map[string][]api.VM // nil until the VM list is known
}

func newPartitions(newRunner func(name string) runner) *partitions {
	return &partitions{newRunner: newRunner, runners: map[string]runner{}}
}

// addRunner creates the runner of a partition with the present configuration and
// VMs. It is called once for each partition.
func (p *partitions) addRunner(name string) ownership.PartitionRunner {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.newRunner(name)
	p.runners[name] = r
	p.configure(name, r)
	return r
}

// configure passes the configuration and the VMs to a runner. p.mu must be held.
func (p *partitions) configure(name string, r runner) {
	if p.config != nil {
		r.SetConfig(p.config)
	}
	if p.vmsByPartition != nil {
		r.SetFleet(p.vmsByPartition[name])
	}
}

// setConfigAndFleet installs the configuration in force and the VMs of each partition;
// vmsByPartition is nil while the VM list is not known.
func (p *partitions) setConfigAndFleet(c *api.Configuration, vmsByPartition map[string][]api.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
	p.vmsByPartition = vmsByPartition
	for name, r := range p.runners {
		p.configure(name, r)
	}
}

// Loads returns the loads of all partitions that this node owns.
func (p *partitions) Loads() []api.PartitionLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []api.PartitionLoad
	for _, r := range p.runners {
		if load := r.Load(); load.Epoch > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// requests returns the local runner of an executor partition.
func (p *partitions) requests(name string) (*requests.Partition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := unwrap(p.runners[name]).(*requests.Partition)
	return r, ok
}

// jobs returns the local runner of a worker partition.
func (p *partitions) jobs(name string) (*jobs.Partition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := unwrap(p.runners[name]).(*jobs.Partition)
	return r, ok
}

// all returns the runners by partition name.
func (p *partitions) all() map[string]runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]runner, len(p.runners))
	for name, r := range p.runners {
		out[name] = r
	}
	return out
}

func (p *partitions) close() {
	for _, r := range p.all() {
		r.Close()
	}
}

// dump returns the state of all partitions for the state dump.
func (p *partitions) dump(ctx context.Context) map[string]any {
	out := map[string]any{}
	for name, r := range p.all() {
		switch r := unwrap(r).(type) {
		case *requests.Partition:
			out[name] = r.Dump()
		case *jobs.Partition:
			if d, err := r.Dump(ctx); err == nil {
				out[name] = d
			}
		}
	}
	return out
}

// unwrap returns the partition that a ledgerRunner wraps.
func unwrap(r runner) runner {
	if l, ok := r.(*ledgerRunner); ok {
		return l.runner
	}
	return r
}

// isWorkerPartition reports whether the name is that of a worker partition.
func isWorkerPartition(name string) bool { return strings.HasSuffix(name, "-workers") }
