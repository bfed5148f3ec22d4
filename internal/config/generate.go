package config

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
)

const (
	// ExecutorsPerPartition is the intended number of executors of one executor
	// partition. Racks are not split, so a partition may have a rack more or less.
	ExecutorsPerPartition = 12
	cpuMillisPerCore      = 1000
	memoryMBPerGB         = 1024
	formatVersion         = 1
)

// Generate returns the configuration for answers that passed CheckAnswers. The
// result depends only on the answers, not on their order.
func Generate(a api.Answers) api.Configuration {
	c := api.Configuration{Format: formatVersion, Cell: a.Cell, Pools: []api.Pool{}, Teams: []api.Team{}, Queues: []api.Queue{}}
	for _, p := range a.Pools {
		c.Pools = append(c.Pools, generatePool(p))
	}
	for _, t := range a.Teams {
		c.Teams = append(c.Teams, generateTeam(t))
		for _, r := range t.Runs {
			c.Queues = append(c.Queues, generateQueue(t.Name, r))
		}
	}
	sortConfiguration(&c)
	return c
}

func generatePool(p api.PoolAnswer) api.Pool {
	out := api.Pool{
		Name:   p.Name,
		Region: p.Region,
		VmCapacity: api.Resources{
			CpuMillis:    p.Cores * cpuMillisPerCore,
			MemoryMb:     p.MemoryGb * memoryMBPerGB,
			Accelerators: p.Accelerators,
			Slots:        p.Slots,
		},
		Connections: p.Connections,
	}
	for _, r := range p.Racks {
		out.VmCount += r.Vms
		out.Racks = append(out.Racks, api.Rack{Name: r.Name, FailureDomain: r.FailureDomain, Vms: r.Vms})
	}
	if p.Slots > 0 {
		out.ExecutorPartitions = partitionCount(out.VmCount, len(out.Racks))
	}
	assignRacks(out.Racks, out.ExecutorPartitions)
	return out
}

// partitionCount returns the number of executor partitions of a pool. It is at most
// the number of racks, so that every partition has executors.
func partitionCount(executors, racks int) int {
	return min((executors+ExecutorsPerPartition-1)/ExecutorsPerPartition, racks)
}

// assignRacks assigns the racks of each failure domain round-robin to the
// partitions, so that the loss of a failure domain takes about the same part of
// every partition.
func assignRacks(racks []api.Rack, partitions int) {
	sort.Slice(racks, func(i, j int) bool {
		if racks[i].FailureDomain != racks[j].FailureDomain {
			return racks[i].FailureDomain < racks[j].FailureDomain
		}
		return racks[i].Name < racks[j].Name
	})
	for i := range racks {
		if partitions > 0 {
			racks[i].ExecutorPartition = i % partitions
		}
	}
}

func generateTeam(t api.TeamAnswer) api.Team {
	return api.Team{
		Name:  t.Name,
		Share: t.Share,
		Limit: api.Resources{
			CpuMillis:    t.Limit.Cores * cpuMillisPerCore,
			MemoryMb:     t.Limit.MemoryGb * memoryMBPerGB,
			Accelerators: t.Limit.Accelerators,
			Slots:        t.Limit.Slots,
		},
	}
}

func generateQueue(team string, r api.RunAnswer) api.Queue {
	deadline := r.DeadlineMs
	if deadline == 0 {
		deadline = DefaultDeadlineMs
	}
	return api.Queue{
		Name:       QueueName(team, r.Name),
		Team:       team,
		Pool:       r.Pool,
		Class:      r.Class,
		Urgency:    r.Urgency,
		Open:       r.Open,
		Idempotent: r.Idempotent,
		DeadlineMs: deadline,
	}
}

// QueueName returns the name of the queue of a run.
func QueueName(team, run string) string { return team + "." + run }

func sortConfiguration(c *api.Configuration) {
	sort.Slice(c.Pools, func(i, j int) bool { return c.Pools[i].Name < c.Pools[j].Name })
	sort.Slice(c.Teams, func(i, j int) bool { return c.Teams[i].Name < c.Teams[j].Name })
	sort.Slice(c.Queues, func(i, j int) bool { return c.Queues[i].Name < c.Queues[j].Name })
	for _, p := range c.Pools {
		sort.Slice(p.Racks, func(i, j int) bool { return p.Racks[i].Name < p.Racks[j].Name })
	}
}

// Encode returns a configuration as indented JSON for version control. Equal
// configurations have equal encodings.
func Encode(c api.Configuration) ([]byte, error) {
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	return append(data, '\n'), nil
}

// DecodeConfiguration decodes and checks a configuration. It returns errors like
// CheckConfiguration.
func DecodeConfiguration(data []byte) (api.Configuration, error) {
	var c api.Configuration
	if err := document.Decode(data, "Configuration", &c); err != nil {
		return api.Configuration{}, err
	}
	if err := checkRules(c); err != nil {
		return api.Configuration{}, err
	}
	return c, nil
}
