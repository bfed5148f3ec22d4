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

	mu      sync.Mutex
	runners map[string]runner
	config  *api.Configuration
	fleet   map[string][]api.VM // by partition; nil until the VM list is known
}

func newPartitions(newRunner func(name string) runner) *partitions {
	return &partitions{newRunner: newRunner, runners: map[string]runner{}}
}

// addRunner creates the runner of a partition with the present configuration and
// VMs. It is called once for each partition.
func (p *partitions) addRunner(name string) ownership.PartitionRunner {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.newRunner(name)
	p.runners[name] = t
	p.configure(name, t)
	return t
}

// configure passes the configuration and the VMs to a runner. p.mu must be held.
func (p *partitions) configure(name string, t runner) {
	if p.config != nil {
		t.SetConfig(p.config)
	}
	if p.fleet != nil {
		t.SetFleet(p.fleet[name])
	}
}

// setConfigAndFleet installs the configuration in force and the VMs of each partition;
// fleet is nil while the VM list is not known.
func (p *partitions) setConfigAndFleet(c *api.Configuration, fleet map[string][]api.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
	p.fleet = fleet
	for name, t := range p.runners {
		p.configure(name, t)
	}
}

// Loads returns the loads of all partitions that this node owns.
func (p *partitions) Loads() []api.PartitionLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []api.PartitionLoad
	for _, t := range p.runners {
		if load := t.Load(); load.Epoch > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// requests returns the local runner of an executor partition.
func (p *partitions) requests(name string) (*requests.Partition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := unwrap(p.runners[name]).(*requests.Partition)
	return t, ok
}

// jobs returns the local runner of a worker partition.
func (p *partitions) jobs(name string) (*jobs.Partition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := unwrap(p.runners[name]).(*jobs.Partition)
	return t, ok
}

// all returns the runners by partition name.
func (p *partitions) all() map[string]runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]runner, len(p.runners))
	for name, t := range p.runners {
		out[name] = t
	}
	return out
}

func (p *partitions) close() {
	for _, t := range p.all() {
		t.Close()
	}
}

// dump returns the state of all partitions for the state dump.
func (p *partitions) dump(ctx context.Context) map[string]any {
	out := map[string]any{}
	for name, t := range p.all() {
		switch t := unwrap(t).(type) {
		case *requests.Partition:
			out[name] = t.Dump()
		case *jobs.Partition:
			if d, err := t.Dump(ctx); err == nil {
				out[name] = d
			}
		}
	}
	return out
}

// unwrap returns the partition that a ledgerRunner wraps.
func unwrap(t runner) runner {
	if l, ok := t.(*ledgerRunner); ok {
		return l.runner
	}
	return t
}

// isWorkerPartition reports whether the name is that of a worker partition.
func isWorkerPartition(name string) bool { return strings.HasSuffix(name, "-workers") }
