// Package config turns the answers of the questionnaire into the configuration
// of a cell, checks both, and compares configurations.
package config

import (
	"strconv"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
)

// Defaults and rules for answers.
const (
	// DefaultDeadlineMs is the deadline of a queue if the answers give none.
	DefaultDeadlineMs = 30_000
	// connectionsPerSlot is the number of connections that an executor must accept
	// for each slot: during a handover, two owners of its partition may be connected
	// to the executor at once.
	connectionsPerSlot = 2
)

// ParseAnswers decodes and checks answers. It returns the errors together as
// document.Errors, those of CheckAnswers only if the schema is satisfied.
func ParseAnswers(data []byte) (api.Answers, error) {
	var a api.Answers
	if err := document.Decode(data, "Answers", &a); err != nil {
		return api.Answers{}, err
	}
	if err := CheckAnswers(a); err != nil {
		return api.Answers{}, err
	}
	return a, nil
}

// CheckAnswers checks the rules that the schema cannot express: names are unique,
// references exist, and limits do not exceed the capacity of the fleet.
func CheckAnswers(a api.Answers) error {
	c := &answersChecker{
		pools:          map[string]api.PoolAnswer{},
		regionOfDomain: map[string]string{},
		domainOfRack:   map[string]string{},
	}
	for i, p := range a.Pools {
		c.checkPool("pools["+strconv.Itoa(i)+"]", p)
	}
	c.checkTeams(a.Teams)
	return c.errs.Err()
}

type answersChecker struct {
	errs           document.Errors
	pools          map[string]api.PoolAnswer
	regionOfDomain map[string]string // failure domain -> region
	domainOfRack   map[string]string // rack -> failure domain
	fleetTotal     api.LimitAnswer   // total capacity of all VMs
}

func (c *answersChecker) checkPool(path string, p api.PoolAnswer) {
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
		c.checkRack(path+".racks["+strconv.Itoa(i)+"]", p, r, seen)
		vms += r.Vms
	}
	c.fleetTotal.Cores += vms * p.Cores
	c.fleetTotal.MemoryGb += vms * p.MemoryGb
	c.fleetTotal.Accelerators += vms * p.Accelerators
	c.fleetTotal.Slots += vms * p.Slots
}

func (c *answersChecker) checkRack(path string, p api.PoolAnswer, r api.RackAnswer, seen map[string]bool) {
	if seen[r.Name] {
		c.errs.Add(path+".name", "rack %q is given more than once in pool %q", r.Name, p.Name)
	}
	seen[r.Name] = true
	if domain, ok := c.domainOfRack[r.Name]; ok && domain != r.FailureDomain {
		c.errs.Add(path+".failure_domain", "value %q must be %q, the failure domain given earlier for rack %q",
			r.FailureDomain, domain, r.Name)
		return
	}
	c.domainOfRack[r.Name] = r.FailureDomain
	if region, ok := c.regionOfDomain[r.FailureDomain]; ok && region != p.Region {
		c.errs.Add(path+".failure_domain", "failure domain %q of region %q is already in region %q",
			r.FailureDomain, p.Region, region)
		return
	}
	c.regionOfDomain[r.FailureDomain] = p.Region
}

func (c *answersChecker) checkTeams(teams []api.TeamAnswer) {
	seen := map[string]bool{}
	for i, t := range teams {
		path := "teams[" + strconv.Itoa(i) + "]"
		if seen[t.Name] {
			c.errs.Add(path+".name", "team %q is given more than once", t.Name)
		}
		seen[t.Name] = true
		c.checkLimit(path+".limit", t.Limit)
		runs := map[string]bool{}
		for j, r := range t.Runs {
			c.checkRun(path+".runs["+strconv.Itoa(j)+"]", r, runs)
			c.checkLimitAllowsRun(path+".limit", t.Limit, r)
		}
	}
}

// checkLimit checks that a limit does not exceed the capacity of the fleet; a higher
// one would have no effect.
func (c *answersChecker) checkLimit(path string, l api.LimitAnswer) {
	check := func(field string, value, fleet int) {
		if value > fleet {
			c.errs.Add(path+"."+field, "value %d must be at most %d, the capacity of the fleet", value, fleet)
		}
	}
	check("cores", l.Cores, c.fleetTotal.Cores)
	check("memory_gb", l.MemoryGb, c.fleetTotal.MemoryGb)
	check("accelerators", l.Accelerators, c.fleetTotal.Accelerators)
	check("slots", l.Slots, c.fleetTotal.Slots)
}

func (c *answersChecker) checkRun(path string, r api.RunAnswer, seen map[string]bool) {
	if seen[r.Name] {
		c.errs.Add(path+".name", "run %q is given more than once in the team", r.Name)
	}
	seen[r.Name] = true
	pool, ok := c.pools[r.Pool]
	if !ok {
		c.errs.Add(path+".pool", "pool %q does not exist; pools are %s", r.Pool, listNames(c.pools))
	}
	if r.Class == api.ClassRequest {
		c.checkRequestRun(path, r, ok && pool.Slots == 0)
		return
	}
	if r.Open {
		c.errs.Add(path+".open", "value true is allowed only for class %q, the class is %q", api.ClassRequest, r.Class)
	}
	if r.Idempotent {
		c.errs.Add(path+".idempotent", "value true is allowed only for class %q, the class is %q", api.ClassRequest, r.Class)
	}
	if r.DeadlineMs != 0 {
		c.errs.Add(path+".deadline_ms", "value %d is allowed only for class %q, the class is %q; a job gives its own deadline",
			r.DeadlineMs, api.ClassRequest, r.Class)
	}
}

// checkRequestRun checks a run of short requests. The recorded response of a
// non-idempotent request is returned to every caller that presents its ID, so such
// a queue cannot be open to callers without a key.
func (c *answersChecker) checkRequestRun(path string, r api.RunAnswer, noSlots bool) {
	if noSlots {
		c.errs.Add(path+".pool", "pool %q has no executor slots, which class %q needs", r.Pool, r.Class)
	}
	if r.Open && !r.Idempotent {
		c.errs.Add(path+".open", "value true is allowed only if idempotent is true: "+
			"recorded responses must not be returned to callers without a key")
	}
}

// checkLimitAllowsRun checks that the limit of the team is not 0 for a resource that
// the run needs.
func (c *answersChecker) checkLimitAllowsRun(path string, l api.LimitAnswer, r api.RunAnswer) {
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
func (c *answersChecker) addOnce(field, format string, args ...any) {
	for _, e := range c.errs {
		if e.Field == field {
			return
		}
	}
	c.errs.Add(field, format, args...)
}
