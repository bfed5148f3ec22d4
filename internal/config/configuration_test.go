package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a partition that loses all executors when one failure domain
// fails, and against an executor partition without a rack.
func TestRacksAreSpreadOverPartitions(t *testing.T) {
	for _, tc := range []struct {
		racks, vms, domains int
		partitions          int
	}{
		{1, 1, 1, 1},
		{1, 100, 1, 1}, // one rack cannot be split
		{7, 5, 3, 3},   // 35 executors
		{9, 4, 3, 3},
		{100, 16, 8, 100}, // 1,600 executors: more partitions by size than racks
	} {
		t.Run(fmt.Sprintf("%d racks of %d", tc.racks, tc.vms), func(t *testing.T) {
			p := api.PoolAnswer{Name: "p", Region: "r", Slots: 8, Connections: 64}
			for i := range tc.racks {
				p.Racks = append(p.Racks, api.RackAnswer{
					Name: fmt.Sprintf("rack-%d", i), FailureDomain: fmt.Sprintf("d%d", i%tc.domains), Vms: tc.vms,
				})
			}
			pool := generatePool(p)
			if pool.ExecutorPartitions != tc.partitions {
				t.Fatalf("got %d partitions, want %d", pool.ExecutorPartitions, tc.partitions)
			}
			racks := map[int]int{}
			domains := map[int]map[string]bool{}
			for _, r := range pool.Racks {
				racks[r.ExecutorPartition]++
				if domains[r.ExecutorPartition] == nil {
					domains[r.ExecutorPartition] = map[string]bool{}
				}
				domains[r.ExecutorPartition][r.FailureDomain] = true
			}
			for n := range tc.partitions {
				if least := tc.racks / tc.partitions; racks[n] < least || racks[n] > least+1 {
					t.Errorf("partition %d has %d racks, want %d or %d", n, racks[n], least, least+1)
				}
				if want := min(tc.domains, tc.racks/tc.partitions); len(domains[n]) < want {
					t.Errorf("partition %d has racks of %d failure domains, want %d", n, len(domains[n]), want)
				}
			}
		})
	}
}

// Guards against a change of the executor partition of a VM: all nodes must assign
// it alike.
func TestExecutorPartition(t *testing.T) {
	c := Generate(exampleAnswers(t, "cooperative"))
	c.Pools = append(c.Pools, api.Pool{Name: "store-room"})
	for _, tc := range []struct{ pool, rack, want string }{
		{"desk", "desk-rack-1", "desk-executors-0"},
		{"bench", "bench-rack-2", "bench-executors-0"},
		{"desk", "new-rack", "desk-executors-0"}, // by xxhash
		{"desk", "new-rack-2", "desk-executors-2"},
		{"attic", "desk-rack-1", ""},
		{"store-room", "desk-rack-1", ""},
	} {
		if got := ExecutorPartitionOfVM(c, api.VM{Pool: tc.pool, Rack: tc.rack}); got != tc.want {
			t.Errorf("pool %s rack %s: got %q, want %q", tc.pool, tc.rack, got, tc.want)
		}
	}
	want := []string{"bench-executors-0", "bench-executors-1", "bench-workers",
		"desk-executors-0", "desk-executors-1", "desk-executors-2", "desk-workers", "store-room-workers"}
	if diff := cmp.Diff(want, Partitions(c)); diff != "" {
		t.Errorf("partitions (-want +got):\n%s", diff)
	}
}

// Guards against accepting a hand-edited configuration that contradicts itself.
func TestCheckRejects(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(c *api.Configuration)
		want   string
	}{
		{"schema", func(c *api.Configuration) { c.Teams[0].Share = 0 }, "teams[0].share: value 0 must be at least 1"},
		{"negative limit", func(c *api.Configuration) { c.Teams[0].Limit.Slots = -1 }, "teams[0].limit.slots: value -1 must be at least 0"},
		{"unsorted", func(c *api.Configuration) { slices.Reverse(c.Teams) }, `teams[1].name: value "studio" must come before "workshop"`},
		{"twice", func(c *api.Configuration) { c.Pools[0] = c.Pools[1] }, `pools[1].name: value "desk" is given more than once`},
		{"sum of VMs", func(c *api.Configuration) { c.Pools[0].VmCount++ }, "pools[0].vm_count: value 14 must be 13"},
		{"partition of a rack", func(c *api.Configuration) { c.Pools[0].Racks[0].ExecutorPartition = 2 },
			"pools[0].racks[0].executor_partition: value 2 must be less than executor_partitions"},
		{"empty partition", func(c *api.Configuration) { c.Pools[0].ExecutorPartitions = 3 }, "pools[0].executor_partitions: value 3 must be at most 2"},
		{"no partition", func(c *api.Configuration) { c.Pools[0].ExecutorPartitions = 0 }, "pools[0].executor_partitions: value 0 must be at least 1"},
		{"connections", func(c *api.Configuration) { c.Pools[0].Connections = 8 }, "pools[0].connections: value 8 must be at least 16"},
		{"name of a queue", func(c *api.Configuration) { c.Queues[0].Name = "a.b" }, `queues[0].name: value "a.b" must start with the team and a dot: "engraving."`},
		{"team of a queue", func(c *api.Configuration) { c.Queues[0].Team = "nobody" }, `queues[0].team: team "nobody" does not exist`},
		{"pool of a queue", func(c *api.Configuration) { c.Queues[0].Pool = "attic" }, `queues[0].pool: pool "attic" does not exist; pools are bench, desk`},
		{"open queue", func(c *api.Configuration) { c.Queues[0].Open = true }, "queues[0].open: value true is allowed only"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := Generate(exampleAnswers(t, "cooperative"))
			tc.change(&c)
			if err := CheckConfiguration(c); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
}

// Guards against a plan that omits a change or its effect.
func TestDiff(t *testing.T) {
	a := Generate(exampleAnswers(t, "cooperative"))
	b := Generate(exampleAnswers(t, "cooperative"))
	if changes := Diff(a, b); len(changes) != 0 {
		t.Errorf("equal configurations differ: %v", changes)
	}
	b.Teams[1].Limit.Slots = 4
	b.Teams[1].Share = 41
	b.Queues = b.Queues[1:]
	b.Queues[0].Idempotent = false
	b.Pools[0].Racks = append(b.Pools[0].Racks, api.Rack{Name: "new", FailureDomain: "north-a", Vms: 3})
	want := []api.Change{
		{Path: "pools/bench/racks/new", After: "3 VMs in north-a, executor partition 0"},
		{Path: "queues/engraving.engrave", Before: "request on bench, normal, deadline 60000 ms",
			Effect: "new requests are rejected with not_found; accepted ones are finished"},
		{Path: "queues/engraving.preview/idempotent", Before: "true", After: "false", Effect: idempotentFlagEffect(false)},
		{Path: "teams/kiln/limit/slots", Before: "16", After: "4", Effect: "work above the new limit is preempted"},
		{Path: "teams/kiln/share", Before: "40", After: "41"},
	}
	if diff := cmp.Diff(want, Diff(a, b)); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
