package integration

import (
	"slices"

	"github.com/endivehill/endivehill/internal/api"
)

const region = "north"

var failureDomains = []string{"north-a", "north-b", "north-c"}

// Teams, pools and queues of the configuration.
const (
	teamCutting = "cutting"
	teamQuoting = "quoting"

	poolBench = "bench"
	poolDesk  = "desk"

	queueBatch   = "cutting.batch"
	queueGang    = "cutting.gang"
	queueOrder   = "cutting.order" // not idempotent
	queueService = "cutting.service"
	queueRender  = "quoting.batch" // batch on the same pool as queueBatch
	queuePublic  = "quoting.public"
	queueQuote   = "quoting.quote" // idempotent
)

// configuration returns a small configuration: 12 VMs in 2 pools and 3 failure
// domains.
func configuration() api.Configuration {
	queue := func(name, team, pool string, class api.Class, open, idempotent bool) api.Queue {
		return api.Queue{Name: name, Team: team, Pool: pool, Class: class, Urgency: api.UrgencyNormal, Open: open, Idempotent: idempotent, DeadlineMs: 8_000}
	}
	limit := api.Resources{CpuMillis: 120_000, MemoryMb: 240_000, Accelerators: 16, Slots: 48}
	return api.Configuration{
		Format: 1,
		Cell:   "test",
		Pools: []api.Pool{
			pool(poolBench, 1, api.Resources{CpuMillis: 16_000, MemoryMb: 32_000, Accelerators: 4, Slots: 8}),
			pool(poolDesk, 2, api.Resources{CpuMillis: 16_000, MemoryMb: 32_000, Slots: 8}),
		},
		Teams: []api.Team{{Name: teamCutting, Share: 2, Limit: limit}, {Name: teamQuoting, Share: 1, Limit: limit}},
		Queues: []api.Queue{
			queue(queueBatch, teamCutting, poolDesk, api.ClassBatch, false, false),
			queue(queueGang, teamCutting, poolBench, api.ClassGang, false, false),
			queue(queueOrder, teamCutting, poolDesk, api.ClassRequest, false, false),
			queue(queueService, teamCutting, poolDesk, api.ClassService, false, false),
			queue(queueRender, teamQuoting, poolDesk, api.ClassBatch, false, false),
			queue(queuePublic, teamQuoting, poolDesk, api.ClassRequest, true, true),
			queue(queueQuote, teamQuoting, poolDesk, api.ClassRequest, false, true),
		},
	}
}

// pool returns a pool of 3 racks with 2 VMs each.
func pool(name string, executorPartitions int, capacity api.Resources) api.Pool {
	p := api.Pool{Name: name, Region: region, VmCapacity: capacity, Connections: 64, VmCount: 6, ExecutorPartitions: executorPartitions}
	for i, domain := range failureDomains {
		p.Racks = append(p.Racks, api.Rack{
			Name: name + "-rack-" + string(rune('1'+i)), FailureDomain: domain, Vms: 2, ExecutorPartition: i % executorPartitions,
		})
	}
	return p
}

// withClosedQueues returns the initial configuration in which the queues that closed
// selects are not open.
func (c *Cell) withClosedQueues(closed func(queue string) bool) api.Configuration {
	out := c.Config
	out.Queues = slices.Clone(out.Queues)
	for i, q := range out.Queues {
		out.Queues[i].Open = q.Open && !closed(q.Name)
	}
	return out
}

// withShare returns the initial configuration with another share of the first team.
func (c *Cell) withShare(share int) api.Configuration {
	out := c.Config
	out.Teams = slices.Clone(out.Teams)
	out.Teams[0].Share = share
	return out
}
