// Package packing computes how much a placement fragments the free capacity of a worker for
// the other sizes of tasks that the pool serves.
//
// Demand keeps the shapes of the steps that arrived recently. Placement compares workers for
// a task by the fits of these shapes that it destroys, a bounded form of the fragmentation
// gradient of Weng et al. (USENIX ATC 2023). The package has no clock, does no I/O and starts
// no goroutines; its values are not safe for concurrent use.
package packing

import (
	"math"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// MaxShapes bounds the shapes that a Demand keeps, and with it the time of Placement.Cost.
const MaxShapes = 16

const (
	stepsPerDoubling = 4  // amounts within such a logarithmic step count as one
	forgetHalfLives  = 10 // without an arrival, after which a shape is dropped
)

// Shape is what decides how many tasks of a step fit on a worker.
type Shape struct {
	Size         work.Resources // of one task
	MaxPerWorker int            // 0 for no limit
}

// Arrival is a step that has become ready, or will soon.
type Arrival struct {
	Shape
	Tasks    int
	Duration time.Duration // expected run time of a task
}

// Share is the part of a shape in the demand.
type Share struct {
	Shape
	Share float64 // 0 to 1; the shares of all shapes add up to 1
}

// Demand is the recent demand for the room of a pool, by shape. Its weights decay, so a
// shift of the load shows within the half-life.
type Demand struct {
	halfLife  time.Duration
	decayedAt time.Duration
	total     work.Resources // capacity of the pool
	largest   work.Resources // in each resource, the largest capacity of a worker
	shapes    []shapeWeight
}

// shapeWeight is a shape with its decayed demand.
type shapeWeight struct {
	key    shapeKey
	shape  Shape // the largest amounts seen under the key
	weight float64
	seenAt time.Duration
}

// shapeKey is equal for shapes that are merged.
type shapeKey struct{ cpu, memory, accelerators, maxPerWorker int }

// NewDemand returns a Demand without shapes.
func NewDemand(halfLife time.Duration) *Demand {
	return &Demand{halfLife: max(halfLife, time.Millisecond), shapes: make([]shapeWeight, 0, MaxShapes)}
}

// SetCapacity sets the capacity of the pool and, for each resource, the largest capacity of
// one of its workers. Without a capacity all costs are 0.
func (d *Demand) SetCapacity(total, largest work.Resources) {
	d.total, d.largest = total, largest
}

// Observe adds an arrival at the time now. Its weight is the number of its tasks times their
// duration and the dominant share of one in the pool. The duration counts up to the half-life,
// because a long-running task demands room only once.
func (d *Demand) Observe(now time.Duration, a Arrival) {
	duration := min(a.Duration, d.halfLife)
	weight := float64(a.Tasks) * duration.Seconds() * dominantShare(a.Size, d.total)
	if a.Tasks <= 0 || duration <= 0 || weight <= 0 {
		return
	}
	d.decay(now)
	s := d.find(keyOf(a.Shape))
	s.shape.Size = s.shape.Size.Max(a.Size)
	s.shape.MaxPerWorker = max(s.shape.MaxPerWorker, a.MaxPerWorker)
	s.weight += weight
	s.seenAt = d.decayedAt
}

// decay brings the weights to the time now and drops the shapes that have not arrived for
// long.
func (d *Demand) decay(now time.Duration) {
	if now <= d.decayedAt {
		return
	}
	factor := math.Exp2(-float64(now-d.decayedAt) / float64(d.halfLife))
	d.decayedAt = now
	for i := range d.shapes {
		d.shapes[i].weight *= factor
	}
	d.shapes = slices.DeleteFunc(d.shapes, func(s shapeWeight) bool { return now-s.seenAt > forgetHalfLives*d.halfLife })
}

// find returns the entry with the key, which it adds if it is missing. A new shape replaces
// the one with the least weight if there are too many. It is kept itself even if its first
// arrival is small, because many small arrivals may follow.
func (d *Demand) find(key shapeKey) *shapeWeight {
	least := 0
	for i := range d.shapes {
		if d.shapes[i].key == key {
			return &d.shapes[i]
		}
		if d.shapes[i].weight < d.shapes[least].weight {
			least = i
		}
	}
	if len(d.shapes) == MaxShapes {
		d.shapes[least] = shapeWeight{key: key}
		return &d.shapes[least]
	}
	d.shapes = append(d.shapes, shapeWeight{key: key})
	return &d.shapes[len(d.shapes)-1]
}

// Shares returns the shapes of the demand with their shares, for the state dump.
func (d *Demand) Shares() []Share {
	sum := d.sum()
	out := make([]Share, 0, len(d.shapes))
	for i := range d.shapes {
		out = append(out, Share{d.shapes[i].shape, d.shapes[i].weight / sum})
	}
	return out
}

// sum returns the total weight of the shapes. It is above 0 if there are any.
func (d *Demand) sum() float64 {
	sum := 0.0
	for i := range d.shapes {
		sum += d.shapes[i].weight
	}
	return sum
}

func keyOf(s Shape) shapeKey {
	return shapeKey{
		cpu:          logStep(s.Size.CPUMillis),
		memory:       logStep(s.Size.MemoryMB),
		accelerators: logStep(s.Size.Accelerators),
		maxPerWorker: logStep(s.MaxPerWorker),
	}
}

// sameSize reports whether shapes with the keys have sizes that are merged.
func (k shapeKey) sameSize(o shapeKey) bool {
	k.maxPerWorker, o.maxPerWorker = 0, 0
	return k == o
}

// logStep returns the logarithmic step of an amount, 0 for no amount.
func logStep(amount int) int {
	if amount <= 0 {
		return 0
	}
	return 1 + int(stepsPerDoubling*math.Log2(float64(amount)))
}

// dominantShare returns the largest share of the capacity that the size takes in any resource.
func dominantShare(size, capacity work.Resources) float64 {
	return max(ratio(size.CPUMillis, capacity.CPUMillis), ratio(size.MemoryMB, capacity.MemoryMB),
		ratio(size.Accelerators, capacity.Accelerators))
}

func ratio(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
