package ownership

import (
	"maps"
	"math/rand"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/api"
)

// TestAssign guards against an assignment that depends on the order of its input,
// leaves a partition out, or is not balanced.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z]{1,8}-[0-9]`)
		partitions := rapid.SliceOfNDistinct(name, 1, 40, rapid.ID[string]).Draw(t, "partitions")
		nodes := rapid.SliceOfNDistinct(name, 1, 9, rapid.ID[string]).Draw(t, "nodes")
		var members []api.Member
		for _, n := range nodes {
			members = append(members, api.Member{Node: n})
		}
		got := Assign(partitions, members)
		count := map[string]int{}
		for _, n := range got {
			count[n]++
		}
		most := (len(partitions) + len(nodes) - 1) / len(nodes)
		for n, c := range count {
			if c > most || !slices.Contains(nodes, n) {
				t.Errorf("%q has %d of %d partitions with %d nodes", n, c, len(partitions), len(nodes))
			}
		}
		if len(got) != len(partitions) {
			t.Errorf("%d of %d partitions assigned", len(got), len(partitions))
		}
		r := rand.New(rand.NewSource(int64(len(partitions))))
		r.Shuffle(len(partitions), func(i, j int) { partitions[i], partitions[j] = partitions[j], partitions[i] })
		r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		if diff := cmp.Diff(got, Assign(partitions, members)); diff != "" {
			t.Errorf("another order gives another assignment: %s", diff)
		}
	})
	if got := Assign([]string{"a"}, nil); got != nil {
		t.Errorf("assigned without members: %v", got)
	}
}

// TestAssignStable guards against partitions of other nodes that move when one node
// stops.
func TestAssignStable(t *testing.T) {
	partitions := []string{
		"desk-executors-1", "desk-executors-2", "desk-executors-3", "desk-workers",
		"bench-executors-1", "bench-executors-2", "bench-workers",
	}
	members := []api.Member{{Node: "a"}, {Node: "b"}, {Node: "c"}, {Node: "d"}, {Node: "e"}, {Node: "f"}, {Node: "g"}}
	before := Assign(partitions, members)
	after := Assign(partitions, members[:6])
	moved := 0
	for p := range maps.Keys(before) {
		if before[p] != "g" && before[p] != after[p] {
			moved++
		}
	}
	if moved > 2 {
		t.Errorf("%d partitions of other nodes moved", moved)
	}
}
