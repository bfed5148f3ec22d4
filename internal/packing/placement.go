package packing

import (
	"math"

	"github.com/endivehill/endivehill/internal/work"
)

// Placement compares workers for a task of one size. It is a copy of the demand at the time
// of Demand.Placement and takes no later arrivals into account.
type Placement struct {
	size  work.Resources
	terms [MaxShapes]term
	count int
}

// term is a shape of the demand as Cost needs it.
type term struct {
	size   work.Resources
	limit  int     // tasks of the shape on a worker
	taken  float64 // tasks of the shape whose dominant resource the placed task takes
	weight float64 // share in the demand, times the dominant share of the shape in the largest worker
}

// Placement prepares the comparison of workers for a task of the size. Shapes of the same
// size make no difference to it, so its cost is 0 while the pool serves only one size.
func (d *Demand) Placement(size work.Resources) Placement {
	p := Placement{size: size}
	own := keyOf(Shape{Size: size})
	sum := d.sum()
	for i := range d.shapes {
		s := &d.shapes[i]
		if s.key.sameSize(own) {
			continue
		}
		share, taken := shareAndTaken(s.shape.Size, size, d.largest)
		if share <= 0 {
			continue
		}
		limit := s.shape.MaxPerWorker
		if limit <= 0 {
			limit = math.MaxInt
		}
		p.terms[p.count] = term{s.shape.Size, limit, taken, s.weight / sum * share}
		p.count++
	}
	return p
}

// shareAndTaken returns the dominant share of a shape in the capacity of a worker, and how
// many tasks of the shape correspond to the amount of its dominant resource that the placed
// task takes. The other resources don't count: a placed task may take as much memory as a
// task of the shape and destroy its fit by the accelerators alone.
func shareAndTaken(shape, placed, capacity work.Resources) (share, taken float64) {
	for _, r := range [...]struct{ shape, placed, capacity int }{
		{shape.CPUMillis, placed.CPUMillis, capacity.CPUMillis},
		{shape.MemoryMB, placed.MemoryMB, capacity.MemoryMB},
		{shape.Accelerators, placed.Accelerators, capacity.Accelerators},
	} {
		if s := ratio(r.shape, r.capacity); s > share {
			share, taken = s, ratio(r.placed, r.shape)
		}
	}
	return share, taken
}

// Cost returns how much room of the other shapes a task placed into the free resources
// destroys beyond what it takes itself, as the expected share of the largest worker. It is 0
// if no fit is destroyed, and at most 1 if the free resources don't exceed that worker. The
// caller may add resources to free that it expects to become free soon.
func (p *Placement) Cost(free work.Resources) float64 {
	left := free.Minus(p.size)
	cost := 0.0
	for i := range p.terms[:p.count] {
		t := &p.terms[i]
		before := t.fits(free)
		if before == 0 {
			continue
		}
		if lost := float64(before-t.fits(left)) - t.taken; lost > 0 {
			cost += t.weight * lost
		}
	}
	return cost
}

// fits returns how many tasks of the shape fit into the free resources.
func (t *term) fits(free work.Resources) int {
	n := t.limit
	if t.size.CPUMillis > 0 {
		n = min(n, free.CPUMillis/t.size.CPUMillis)
	}
	if t.size.MemoryMB > 0 {
		n = min(n, free.MemoryMB/t.size.MemoryMB)
	}
	if t.size.Accelerators > 0 {
		n = min(n, free.Accelerators/t.size.Accelerators)
	}
	return max(n, 0)
}
