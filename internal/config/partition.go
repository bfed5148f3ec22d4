package config

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/endivehill/endivehill/internal/api"
)

// ExecutorPartitionName returns the name of executor partition n of a pool.
func ExecutorPartitionName(pool string, n int) string {
	return pool + "-executors-" + strconv.Itoa(n)
}

// WorkerPartitionName returns the name of the worker partition of a pool.
func WorkerPartitionName(pool string) string { return pool + "-workers" }

// ExecutorPartitions returns the names of the executor partitions of a pool in order.
func ExecutorPartitions(pool api.Pool) []string {
	out := make([]string, pool.ExecutorPartitions)
	for n := range out {
		out[n] = ExecutorPartitionName(pool.Name, n)
	}
	return out
}

// Partitions returns the names of all partitions, sorted.
func Partitions(c api.Configuration) []string {
	var out []string
	for _, p := range c.Pools {
		out = append(out, ExecutorPartitions(p)...)
		out = append(out, WorkerPartitionName(p.Name))
	}
	sort.Strings(out)
	return out
}

// FindPool returns the pool with the given name, or nil.
func FindPool(c api.Configuration, name string) *api.Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// ExecutorPartitionOfVM returns the name of the executor partition of a VM, or "" if
// its pool is not in the configuration or has no executors. A rack that is not yet in
// the configuration is assigned by the hash of its name, so that all nodes choose the
// same partition.
func ExecutorPartitionOfVM(c api.Configuration, vm api.VM) string {
	pool := FindPool(c, vm.Pool)
	if pool == nil || pool.ExecutorPartitions == 0 {
		return ""
	}
	for _, r := range pool.Racks {
		if r.Name == vm.Rack {
			return ExecutorPartitionName(pool.Name, r.ExecutorPartition)
		}
	}
	n := xxhash.Sum64String(vm.Rack) % uint64(pool.ExecutorPartitions)
	return ExecutorPartitionName(pool.Name, int(n))
}
