package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
)

// findQueue returns the queue with the given name.
func findQueue(c *api.Configuration, name string) (api.Queue, error) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, nil
		}
	}
	return api.Queue{}, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", name)
}

// requestPartitions returns the executor partitions of a pool in the order of
// preference for a request. The list is never empty without an error.
func requestPartitions(c *api.Configuration, pool, team, requestID string) ([]string, error) {
	p := config.FindPool(*c, pool)
	if p == nil || p.ExecutorPartitions == 0 {
		return nil, errkind.New(errkind.NeverRunnable, "queue", "pool %q has no executors", pool)
	}
	return rankPartitions(config.ExecutorPartitions(*p), team, requestID), nil
}

// rankPartitions orders partitions by rendezvous hashing (highest random
// weight) of the partition and the request, so that a change of the partitions
// moves few requests.
func rankPartitions(partitions []string, team, requestID string) []string {
	weights := make(map[string]uint64, len(partitions))
	for _, p := range partitions {
		weights[p] = xxhash.Sum64String(p + "\x00" + team + "\x00" + requestID)
	}
	out := slices.Clone(partitions)
	slices.SortFunc(out, func(a, b string) int {
		if n := cmp.Compare(weights[b], weights[a]); n != 0 {
			return n
		}
		return cmp.Compare(a, b)
	})
	return out
}

// candidatePools returns the pools in which a team may have requests, or jobs
// if requests is false. The pools of its current queues come first. Work of a
// removed queue may still be in any other pool.
func candidatePools(c *api.Configuration, team string, requests bool) []string {
	var out []string
	add := func(pool string) {
		if !slices.Contains(out, pool) {
			out = append(out, pool)
		}
	}
	for _, q := range c.Queues {
		if q.Team == team && (q.Class == api.ClassRequest) == requests {
			add(q.Pool)
		}
	}
	for _, p := range c.Pools {
		add(p.Name)
	}
	return out
}
