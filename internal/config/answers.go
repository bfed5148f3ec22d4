// Package config turns the answers of the questionnaire into the configuration
// of a cell, checks both, and compares configurations.
package config

import (
	"strconv"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
)

// Limits of what answers may ask for.
const (
	// DefaultDeadlineMs is the deadline of a queue whose answer names none.
	DefaultDeadlineMs = 30_000
	// connectionsPerSlot is how many connections an executor must accept for
	// each slot: two owners may use an executor during a handover.
	connectionsPerSlot = 2
)

// Parse decodes and checks answers. It returns all errors as document.Errors.
func Parse(data []byte) (api.Answers, error) {
	var a api.Answers
	if err := document.Decode(data, "Answers", &a); err != nil {
		return api.Answers{}, err
	}
	if err := CheckAnswers(a); err != nil {
		return api.Answers{}, err
	}
	return a, nil
}

// CheckAnswers checks what the schema cannot express: that names are unique,
// that references exist, and that limits suit the fleet.
func CheckAnswers(a api.Answers) error {
	c := &answersCheck{
		pools:   map[string]api.PoolAnswer{},
		regions: map[string]string{},
		domains: map[string]string{},
	}
	for i, p := range a.Pools {
		c.pool("pools["+strconv.Itoa(i)+"]", p)
	}
	c.checkTeams(a.Teams)
	return c.errs.Err()
}

type answersCheck struct {
	errs    document.Errors
	pools   map[string]api.PoolAnswer
	regions map[string]string // failure domain -> region
	domains map[string]string // rack -> failure domain
	fleet   api.LimitAnswer   // what all VMs hold together
}

func (c *answersCheck) pool(path string, p api.PoolAnswer) {
	if _, ok := c.pools[p.Name]; ok {
		c.errs.Add(path+".name", "pool %q is given more than once", p.Name)
	}
	c.pools[p.Name] = p
	if p.Connections < p.Slots*connectionsPerSlot {
		c.errs.Add(path+".connections", "value %d must be at least %d, %d for each of the %d slots",
			p.Connections, p.Slots*connectionsPerSlot, connectionsPerSlot, p.Slots)
	}
	vms := 0
	seen := map[string]bool{}
	for i, r := range p.Racks {
		c.rack(path+".racks["+strconv.Itoa(i)+"]", p, r, seen)
		vms += r.Vms
	}
	c.fleet.Cores += vms * p.Cores
	c.fleet.MemoryGb += vms * p.MemoryGb
	c.fleet.Accelerators += vms * p.Accelerators
	c.fleet.Slots += vms * p.Slots
}

func (c *answersCheck) rack(path string, p api.PoolAnswer, r api.RackAnswer, seen map[string]bool) {
	if seen[r.Name] {
		c.errs.Add(path+".name", "rack %q is given more than once in pool %q", r.Name, p.Name)
	}
	seen[r.Name] = true
	if domain, ok := c.domains[r.Name]; ok && domain != r.FailureDomain {
		c.errs.Add(path+".failure_domain", "value %q must be %q, the failure domain given for rack %q before",
			r.FailureDomain, domain, r.Name)
		return
	}
	c.domains[r.Name] = r.FailureDomain
	if region, ok := c.regions[r.FailureDomain]; ok && region != p.Region {
		c.errs.Add(path+".failure_domain", "failure domain %q of region %q is in region %q already",
			r.FailureDomain, p.Region, region)
		return
	}
	c.regions[r.FailureDomain] = p.Region
}

func (c *answersCheck) checkTeams(teams []api.TeamAnswer) {
	seen := map[string]bool{}
	for i, t := range teams {
		path := "teams[" + strconv.Itoa(i) + "]"
		if seen[t.Name] {
			c.errs.Add(path+".name", "team %q is given more than once", t.Name)
		}
		seen[t.Name] = true
		c.limit(path+".limit", t.Limit)
		runs := map[string]bool{}
		for j, r := range t.Runs {
			c.run(path+".runs["+strconv.Itoa(j)+"]", r, runs)
			c.needs(path+".limit", t.Limit, r)
		}
	}
}

// limit checks that a limit is not more than the fleet holds, which would make
// it no limit at all.
func (c *answersCheck) limit(path string, l api.LimitAnswer) {
	check := func(field string, value, fleet int) {
		if value > fleet {
			c.errs.Add(path+"."+field, "value %d must be at most %d, what the fleet holds", value, fleet)
		}
	}
	check("cores", l.Cores, c.fleet.Cores)
	check("memory_gb", l.MemoryGb, c.fleet.MemoryGb)
	check("accelerators", l.Accelerators, c.fleet.Accelerators)
	check("slots", l.Slots, c.fleet.Slots)
}

func (c *answersCheck) run(path string, r api.RunAnswer, seen map[string]bool) {
	if seen[r.Name] {
		c.errs.Add(path+".name", "run %q is given more than once in the team", r.Name)
	}
	seen[r.Name] = true
	pool, ok := c.pools[r.Pool]
	if !ok {
		c.errs.Add(path+".pool", "pool %q does not exist; pools are %s", r.Pool, names(c.pools))
	}
	if r.Class == api.ClassRequest {
		c.requestRun(path, r, ok && pool.Slots == 0)
		return
	}
	if r.Open {
		c.errs.Add(path+".open", "value true is allowed only for class %q, the class is %q", api.ClassRequest, r.Class)
	}
	if r.Idempotent {
		c.errs.Add(path+".idempotent", "value true is allowed only for class %q, the class is %q", api.ClassRequest, r.Class)
	}
	if r.DeadlineMs != 0 {
		c.errs.Add(path+".deadline_ms", "value %d is allowed only for class %q, the class is %q; a job names its own deadline",
			r.DeadlineMs, api.ClassRequest, r.Class)
	}
}

// requestRun checks a run of short requests. The recorded response of a
// non-idempotent request is repeated to whoever presents its ID, so such a
// queue cannot be open to callers without a key.
func (c *answersCheck) requestRun(path string, r api.RunAnswer, noSlots bool) {
	if noSlots {
		c.errs.Add(path+".pool", "pool %q has no executor slots, which class %q needs", r.Pool, r.Class)
	}
	if r.Open && !r.Idempotent {
		c.errs.Add(path+".open", "value true is allowed only if idempotent is true: "+
			"recorded responses must not be repeated to callers without a key")
	}
}

// needs checks that the limit of the team allows the run at all.
func (c *answersCheck) needs(path string, l api.LimitAnswer, r api.RunAnswer) {
	check := func(field string, value int) {
		if value == 0 {
			c.addOnce(path+"."+field, "value 0 must be at least 1: run %q of class %q needs it", r.Name, r.Class)
		}
	}
	if r.Class == api.ClassRequest {
		check("slots", l.Slots)
		return
	}
	check("cores", l.Cores)
	check("memory_gb", l.MemoryGb)
}

// addOnce adds an error unless the field has one already.
func (c *answersCheck) addOnce(field, format string, args ...any) {
	for _, e := range c.errs {
		if e.Field == field {
			return
		}
	}
	c.errs.Add(field, format, args...)
}
