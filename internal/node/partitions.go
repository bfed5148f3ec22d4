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

// tenant is the local side of one partition.
type tenant interface {
	ownership.Tenant
	SetFleet(vms []api.VM)
	SetConfig(config *api.Configuration)
	Load() api.PartitionLoad
	Close()
}

// partitions holds the tenants that this node has made so far.
type partitions struct {
	make func(name string) tenant

	mu      sync.Mutex
	tenants map[string]tenant
	config  *api.Configuration
	fleet   map[string][]api.VM // nil until the VM list is known
}

func newPartitions(makeTenant func(name string) tenant) *partitions {
	return &partitions{make: makeTenant, tenants: map[string]tenant{}}
}

// newTenant makes the tenant of a partition with the present configuration and
// fleet. It is called once for each partition.
func (p *partitions) newTenant(name string) ownership.Tenant {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.make(name)
	p.tenants[name] = t
	p.update(name, t)
	return t
}

// update hands configuration and fleet to a tenant; p.mu must be held.
func (p *partitions) update(name string, t tenant) {
	if p.config != nil {
		t.SetConfig(p.config)
	}
	if p.fleet != nil {
		t.SetFleet(p.fleet[name])
	}
}

// set installs the configuration in force and the fleet; fleet is nil while the
// VM list is not known.
func (p *partitions) set(c *api.Configuration, fleet map[string][]api.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
	p.fleet = fleet
	for name, t := range p.tenants {
		p.update(name, t)
	}
}

// Loads returns the loads of all partitions that this node owns.
func (p *partitions) Loads() []api.PartitionLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []api.PartitionLoad
	for _, t := range p.tenants {
		if load := t.Load(); load.Epoch > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// requests returns the local tenant of an executor partition.
func (p *partitions) requests(name string) (*requests.Partition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := unwrap(p.tenants[name]).(*requests.Partition)
	return t, ok
}

// jobs returns the local tenant of a worker partition.
func (p *partitions) jobs(name string) (*jobs.Partition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := unwrap(p.tenants[name]).(*jobs.Partition)
	return t, ok
}

// all returns the tenants by name.
func (p *partitions) all() map[string]tenant {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]tenant, len(p.tenants))
	for name, t := range p.tenants {
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

// unwrap returns the partition that a tenant with a ledger wraps.
func unwrap(t tenant) tenant {
	if l, ok := t.(*ledgerTenant); ok {
		return l.tenant
	}
	return t
}

// isWorkerPartition tells the kind of a partition from its name.
func isWorkerPartition(name string) bool { return strings.HasSuffix(name, "-workers") }
