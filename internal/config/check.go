package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
)

// CheckConfiguration checks a configuration against the schema and the rules that the
// schema cannot express. It returns the errors together as document.Errors, those of the
// rules only if the schema is satisfied.
func CheckConfiguration(c api.Configuration) error {
	if err := document.Check(c, "Configuration"); err != nil {
		return err
	}
	return checkRules(c)
}

// checkRules checks the rules that the schema cannot express.
func checkRules(c api.Configuration) error {
	checker := &configurationChecker{pools: map[string]api.Pool{}, teams: map[string]api.Team{}}
	for i, p := range c.Pools {
		checker.pools[p.Name] = p
		checker.checkPool("pools["+strconv.Itoa(i)+"]", p)
	}
	for _, t := range c.Teams {
		checker.teams[t.Name] = t
	}
	for i, q := range c.Queues {
		checker.checkQueue("queues["+strconv.Itoa(i)+"]", q)
	}
	checkSortedByName(&checker.errs, "pools", c.Pools, func(p api.Pool) string { return p.Name })
	checkSortedByName(&checker.errs, "teams", c.Teams, func(t api.Team) string { return t.Name })
	checkSortedByName(&checker.errs, "queues", c.Queues, func(q api.Queue) string { return q.Name })
	return checker.errs.Err()
}

type configurationChecker struct {
	errs  document.Errors
	pools map[string]api.Pool
	teams map[string]api.Team
}

func (c *configurationChecker) checkPool(path string, p api.Pool) {
	checkSortedByName(&c.errs, path+".racks", p.Racks, func(r api.Rack) string { return r.Name })
	vms := 0
	used := map[int]bool{}
	for i, r := range p.Racks {
		vms += r.Vms
		used[r.ExecutorPartition] = true
		if r.ExecutorPartition >= max(p.ExecutorPartitions, 1) {
			c.errs.Add(path+".racks["+strconv.Itoa(i)+"].executor_partition",
				"value %d must be less than executor_partitions, which is %d", r.ExecutorPartition, p.ExecutorPartitions)
		}
	}
	if vms != p.VmCount {
		c.errs.Add(path+".vm_count", "value %d must be %d, the number of VMs in its racks", p.VmCount, vms)
	}
	c.checkExecutorPartitions(path, p, len(used))
	if p.Connections < p.VmCapacity.Slots*connectionsPerSlot {
		c.errs.Add(path+".connections", "value %d must be at least %d, %d for each of the %d slots",
			p.Connections, p.VmCapacity.Slots*connectionsPerSlot, connectionsPerSlot, p.VmCapacity.Slots)
	}
}

// checkExecutorPartitions checks that each executor partition has a rack: requests
// sent to a partition without executors could never run.
func (c *configurationChecker) checkExecutorPartitions(path string, p api.Pool, used int) {
	field := path + ".executor_partitions"
	switch {
	case p.VmCapacity.Slots == 0 && p.ExecutorPartitions != 0:
		c.errs.Add(field, "value %d must be 0 for a pool without slots", p.ExecutorPartitions)
	case p.VmCapacity.Slots > 0 && p.ExecutorPartitions == 0:
		c.errs.Add(field, "value 0 must be at least 1 for a pool with slots")
	case p.ExecutorPartitions > 0 && used < p.ExecutorPartitions:
		c.errs.Add(field, "value %d must be at most %d, the number of partitions that racks are assigned to", p.ExecutorPartitions, used)
	}
}

func (c *configurationChecker) checkQueue(path string, q api.Queue) {
	if !strings.HasPrefix(q.Name, q.Team+".") {
		c.errs.Add(path+".name", "value %q must start with the team and a dot: %q", q.Name, q.Team+".")
	}
	if _, ok := c.teams[q.Team]; !ok {
		c.errs.Add(path+".team", "team %q does not exist; teams are %s", q.Team, listNames(c.teams))
	}
	pool, ok := c.pools[q.Pool]
	if !ok {
		c.errs.Add(path+".pool", "pool %q does not exist; pools are %s", q.Pool, listNames(c.pools))
	}
	if ok && q.Class == api.ClassRequest && pool.VmCapacity.Slots == 0 {
		c.errs.Add(path+".pool", "pool %q has no executor slots, which class %q needs", q.Pool, q.Class)
	}
	if q.Open && (q.Class != api.ClassRequest || !q.Idempotent) {
		c.errs.Add(path+".open", "value true is allowed only for class %q with idempotent true", api.ClassRequest)
	}
	if q.Idempotent && q.Class != api.ClassRequest {
		c.errs.Add(path+".idempotent", "value true is allowed only for class %q, the class is %q", api.ClassRequest, q.Class)
	}
}

// checkSortedByName checks that names are unique and sorted. Comparison under version
// control relies on it: equal configurations must have equal encodings.
func checkSortedByName[T any](errs *document.Errors, path string, items []T, name func(T) string) {
	for i := 1; i < len(items); i++ {
		before, this := name(items[i-1]), name(items[i])
		switch cmp.Compare(before, this) {
		case 0:
			errs.Add(path+"["+strconv.Itoa(i)+"].name", "value %q is given more than once", this)
		case 1:
			errs.Add(path+"["+strconv.Itoa(i)+"].name", "value %q must come before %q", this, before)
		}
	}
}

// maxListedNames bounds the number of names in an error.
const maxListedNames = 20

// listNames returns the sorted keys of m as text for an error.
func listNames[V any](m map[string]V) string {
	all := slices.Sorted(maps.Keys(m))
	if len(all) <= maxListedNames {
		return strings.Join(all, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(all[:maxListedNames], ", "), len(all)-maxListedNames)
}
