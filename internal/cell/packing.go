package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/packing"
	"github.com/endivehill/endivehill/internal/work"
)

// Small tasks spread over many workers leave no room for wide ones although the pool has
// enough free capacity in all. So the score of a placement includes how much it fragments the
// free capacity for the other sizes of tasks that the pool has served lately, see package packing.
const (
	demandHalfLife = 10 * time.Second // of the demand for sizes of tasks
	// fragmentationWeight is the term in the score for a placement that destroys the room of a
	// whole worker for other sizes.
	fragmentationWeight = 4.0
)

// stepPlacement is the comparison of workers for a step in a pass.
type stepPlacement struct {
	packing.Placement
	at time.Duration // time of the pass; 0 for none
}

// observeDemand adds a step that has become ready to the demand of its pool.
func (c *Cell) observeDemand(s *step) {
	if s.spec.Opportunistic {
		return
	}
	c.demandOf(s.work.queue.Pool).Observe(c.now, packing.Arrival{
		Shape: packing.Shape{Size: s.size, MaxPerWorker: s.spec.MaxPerWorker}, Tasks: s.waiting, Duration: c.taskTime(s),
	})
}

// demandOf returns the demand for the room of a pool.
func (c *Cell) demandOf(pool string) *packing.Demand {
	d := c.demands[pool]
	if d == nil {
		d = packing.NewDemand(demandHalfLife)
		c.demands[pool] = d
		c.updateDemandCapacity(pool)
	}
	return d
}

// updateDemandCapacities passes the capacities of the pools to their demands.
func (c *Cell) updateDemandCapacities() {
	for pool := range c.demands {
		c.updateDemandCapacity(pool)
	}
}

func (c *Cell) updateDemandCapacity(pool string) {
	var total, largest work.Resources
	for _, w := range c.fleet {
		if w.info.Pool == pool && w.listed {
			total = total.Plus(w.info.Capacity)
			largest = largest.Max(w.info.Capacity)
		}
	}
	c.demands[pool].SetCapacity(total, largest)
}

// fragmentationCost returns how much room for tasks of other sizes a task of the step would
// destroy on a worker beyond what it takes itself, as a share of the largest worker of the pool.
func (c *Cell) fragmentationCost(s *step, w *worker) float64 {
	demand := c.demands[s.work.queue.Pool]
	if s.spec.Opportunistic || demand == nil {
		return 0
	}
	p := &s.placement
	if p.at != c.lastPassAt || p.at == 0 {
		p.Placement, p.at = demand.Placement(s.size), c.lastPassAt
	}
	return p.Cost(w.free())
}
