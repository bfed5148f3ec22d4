package runtimes

import (
	"container/list"
	"math"
	"strings"
	"time"
)

// Bounds of the groups.
const (
	maxGroups    = 4096            // all groups
	maxNewGroups = 1024            // of them with fewer than minFitSamples samples
	halfLife     = 5 * time.Minute // of the weight of samples
	maxIdle      = 24 * time.Hour  // age that is counted at most
)

// group holds the samples of one group.
type group struct {
	id        groupID
	sums      sums
	histogram histogram
	uses      float64       // number of samples, decayed by age only
	updatedAt time.Duration // boot time of the last sample, to which the weights refer
	element   *list.Element // in the list that groups.listOf returns
	proven    bool          // has had minFitSamples samples
}

// age reduces the weight of the samples by the time since the last one.
func (g *group) age(now time.Duration) {
	idle := now - g.updatedAt
	if idle <= 0 {
		return
	}
	g.updatedAt = now
	if n := g.sums.n; n > 0 {
		aged := agedWeight(n, minFitSamples, idle)
		g.sums.scale(aged / n)
		g.sums.n = aged // without a rounding error below minFitSamples
	}
	if total := g.histogram.total; total > 0 {
		g.histogram.scale(agedWeight(total, histogramFloor, idle) / total)
	}
	g.uses *= ageFactor(idle)
}

// agedWeight returns the weight of samples after a time without new ones. Old run times
// are still better than an estimate that was wrong, so it does not fall below floor.
func agedWeight(weight, floor float64, idle time.Duration) float64 {
	if weight <= floor || idle <= 0 {
		return weight
	}
	return max(floor, weight*ageFactor(idle))
}

func ageFactor(idle time.Duration) float64 {
	return math.Exp2(-float64(min(idle, maxIdle)) / float64(halfLife))
}

// groups is a bounded set of groups. Groups with few samples have a bound of their own, so
// that images or teams that are seen once don't displace groups that are in use.
type groups struct {
	byID map[groupID]*group
	// Groups that have not had minFitSamples samples yet, and the others; *group, the most
	// recently used first.
	fresh, proven *list.List
}

func newGroups() groups {
	return groups{byID: map[groupID]*group{}, fresh: list.New(), proven: list.New()}
}

// touch returns the group with an ID, aged to now and as the most recently used one. It
// is added if it is missing.
func (gs *groups) touch(id groupID, now time.Duration) *group {
	g := gs.byID[id]
	if g == nil {
		g = &group{id: id.clone(), updatedAt: now}
		gs.insert(g)
	}
	g.age(now)
	g.uses++
	gs.listOf(g).MoveToFront(g.element)
	return g
}

// insert adds a group as the most recently used one of its list.
func (gs *groups) insert(g *group) {
	gs.byID[g.id] = g
	g.element = gs.listOf(g).PushFront(g)
	gs.dropOldest()
}

// promote moves a group that has got enough samples to the proven ones.
func (gs *groups) promote(g *group) {
	if g.proven || g.sums.n < minFitSamples {
		return
	}
	gs.fresh.Remove(g.element)
	g.proven = true
	g.element = gs.proven.PushFront(g)
	gs.dropOldest()
}

func (gs *groups) listOf(g *group) *list.List {
	if g.proven {
		return gs.proven
	}
	return gs.fresh
}

// dropOldest drops the least recently used groups beyond the bounds.
func (gs *groups) dropOldest() {
	gs.dropBeyond(gs.fresh, maxNewGroups)
	gs.dropBeyond(gs.proven, maxGroups-maxNewGroups)
}

func (gs *groups) dropBeyond(l *list.List, bound int) {
	for l.Len() > bound {
		g := l.Remove(l.Back()).(*group)
		delete(gs.byID, g.id)
	}
}

// clone returns an ID that does not keep the memory of its caller's strings.
func (id groupID) clone() groupID {
	id.queue, id.image, id.team = strings.Clone(id.queue), strings.Clone(id.image), strings.Clone(id.team)
	return id
}
