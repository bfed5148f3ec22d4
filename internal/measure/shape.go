package measure

import (
	"fmt"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
)

// Names used in every measured configuration.
const (
	Pool               = "plain"
	RequestQueue       = "quick"  // idempotent requests
	NonIdempotentQueue = "once"   // non-idempotent requests
	BatchQueue         = "build"  // batch jobs
	ServiceQueue       = "steady" // services
	region             = "north"
)

const (
	rackVMs         = 10
	vmCores         = 64
	vmMemoryGB      = 256
	failureDomains  = 4
	vmConnections   = 64
	requestDeadline = 30_000 // milliseconds
)

// Shape describes the size of a measured cell.
type Shape struct {
	Workers int // VMs
	Slots   int // executor slots of each VM; 0 for VMs without executors
	Teams   int
}

// Team returns the name of the i-th team of a Shape.
func Team(i int) string { return fmt.Sprintf("team-%02d", i) }

// Queue returns the full name of a queue of a team, such as RequestQueue.
func Queue(team, name string) string { return config.QueueName(team, name) }

// Configuration returns the configuration of a shape. It is generated from answers,
// like that of an operator. The limit of each team allows the whole fleet.
func (s Shape) Configuration() api.Configuration {
	pool := api.PoolAnswer{Name: Pool, Region: region, Cores: vmCores, MemoryGb: vmMemoryGB, Slots: s.Slots, Connections: vmConnections}
	for i := 0; i < s.Workers; i += rackVMs {
		pool.Racks = append(pool.Racks, api.RackAnswer{
			Name:          fmt.Sprintf("rack-%03d", i/rackVMs),
			FailureDomain: fmt.Sprintf("%s-%c", region, 'a'+rune(i/rackVMs%failureDomains)),
			Vms:           min(rackVMs, s.Workers-i),
		})
	}
	answers := api.Answers{Format: 1, Cell: "measured", Pools: []api.PoolAnswer{pool}}
	for i := range s.Teams {
		answers.Teams = append(answers.Teams, s.team(Team(i)))
	}
	return config.Generate(answers)
}

func (s Shape) team(name string) api.TeamAnswer {
	runs := []api.RunAnswer{
		{Name: BatchQueue, Class: api.ClassBatch, Urgency: api.UrgencyUrgent, Pool: Pool},
		{Name: ServiceQueue, Class: api.ClassService, Urgency: api.UrgencyNormal, Pool: Pool},
	}
	if s.Slots > 0 {
		runs = append(runs,
			api.RunAnswer{Name: RequestQueue, Class: api.ClassRequest, Urgency: api.UrgencyNormal, Pool: Pool, Idempotent: true, DeadlineMs: requestDeadline},
			api.RunAnswer{Name: NonIdempotentQueue, Class: api.ClassRequest, Urgency: api.UrgencyNormal, Pool: Pool, DeadlineMs: requestDeadline})
	}
	return api.TeamAnswer{Name: name, Share: 100, Runs: runs, Limit: api.LimitAnswer{
		Cores: s.Workers * vmCores, MemoryGb: s.Workers * vmMemoryGB, Slots: s.Workers * s.Slots,
	}}
}
