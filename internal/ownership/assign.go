package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivehill/endivehill/internal/api"
)

// Assign returns the node of each partition, or nil without members. The result depends
// only on the names of the partitions and nodes: rendezvous hashing in which no node gets
// more than ceil(partitions/members) partitions.
func Assign(partitions []string, members []api.Member) map[string]string {
	if len(members) == 0 {
		return nil
	}
	capacity := (len(partitions) + len(members) - 1) / len(members)
	out := make(map[string]string, len(partitions))
	used := make(map[string]int, len(members))
	for _, p := range rankPairs(partitions, members) {
		if _, taken := out[p.partition]; taken || used[p.node] == capacity {
			continue
		}
		out[p.partition] = p.node
		used[p.node]++
	}
	return out
}

// pair is a possible assignment.
type pair struct {
	partition, node string
	score           uint64
}

// rankPairs returns all possible assignments, the highest score first.
func rankPairs(partitions []string, members []api.Member) []pair {
	pairs := make([]pair, 0, len(partitions)*len(members))
	for _, p := range partitions {
		for _, m := range members {
			pairs = append(pairs, pair{p, m.Node, score(p, m.Node)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.partition, b.partition),
			cmp.Compare(a.node, b.node),
		)
	})
	return pairs
}

func score(partition, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(partition) // writes to a Digest return no errors
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
