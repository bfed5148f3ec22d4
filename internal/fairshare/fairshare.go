// Package fairshare computes weighted dominant shares and divides a capacity
// among claimants by max-min fairness over their dominant resources.
package fairshare

// ResourceCount is the number of resources.
const ResourceCount = 4

// Vector is an amount of each resource.
type Vector [ResourceCount]float64

// Claimant is a team that shares the capacity, with its weight and demand.
type Claimant struct {
	Weight float64
	Demand Vector
}

// epsilon is the tolerance for rounding errors when amounts are compared with
// their bounds.
const epsilon = 1e-9

// DominantShare returns the largest fraction of total that used takes in any
// resource. Resources with a total of 0 are ignored.
func DominantShare(used, total Vector) float64 {
	share := 0.0
	for d := range used {
		if total[d] > 0 {
			share = max(share, used[d]/total[d])
		}
	}
	return share
}

// Entitlements returns the dominant share of each claimant when total is
// divided by progressive filling: all shares grow in proportion to the weights
// until a claimant has its whole demand or a resource it needs is used up.
func Entitlements(total Vector, claimants []Claimant) []float64 {
	f := newProgressiveFilling(total, claimants)
	for f.growingCount > 0 {
		f.raise(f.nextRise())
	}
	return f.shares
}

// progressiveFilling is the state of a progressive filling.
type progressiveFilling struct {
	claimants     []Claimant
	fullShare     []float64 // dominant share of the whole demand
	usagePerShare []Vector  // fraction of each resource used per unit of dominant share
	shares        []float64
	fixed         []bool // claimants whose share does not grow further
	growingCount  int    // claimants that are not fixed
	remaining     Vector // unused fraction of each resource
}

func newProgressiveFilling(total Vector, claimants []Claimant) *progressiveFilling {
	n := len(claimants)
	f := &progressiveFilling{
		claimants:     claimants,
		fullShare:     make([]float64, n),
		usagePerShare: make([]Vector, n),
		shares:        make([]float64, n),
		fixed:         make([]bool, n),
	}
	for d := range f.remaining {
		f.remaining[d] = 1
	}
	for i, claimant := range claimants {
		f.fullShare[i] = DominantShare(claimant.Demand, total)
		if f.fullShare[i] <= 0 || claimant.Weight <= 0 {
			f.fixed[i] = true
			continue
		}
		f.growingCount++
		for d := range total {
			if total[d] > 0 {
				f.usagePerShare[i][d] = claimant.Demand[d] / total[d] / f.fullShare[i]
			}
		}
	}
	return f
}

// nextRise returns by how much the share per unit of weight can rise until a
// growing claimant has its whole demand or a resource is used up.
func (f *progressiveFilling) nextRise() float64 {
	rate := f.usageRate()
	step := -1.0
	for i := range f.claimants {
		if f.fixed[i] {
			continue
		}
		rise := (f.fullShare[i] - f.shares[i]) / f.claimants[i].Weight
		if step < 0 || rise < step {
			step = rise
		}
	}
	for d := range rate {
		if rate[d] > 0 {
			step = min(step, max(0, f.remaining[d])/rate[d])
		}
	}
	return step
}

// usageRate returns the fraction of each resource that the growing claimants use
// when their share per unit of weight rises by 1.
func (f *progressiveFilling) usageRate() Vector {
	var rate Vector
	for i, claimant := range f.claimants {
		if f.fixed[i] {
			continue
		}
		for d := range rate {
			rate[d] += claimant.Weight * f.usagePerShare[i][d]
		}
	}
	return rate
}

// raise raises the share per unit of weight by step and fixes the shares that
// cannot grow further.
func (f *progressiveFilling) raise(step float64) {
	for i, claimant := range f.claimants {
		if f.fixed[i] {
			continue
		}
		growth := claimant.Weight * step
		f.shares[i] += growth
		for d := range f.remaining {
			f.remaining[d] -= growth * f.usagePerShare[i][d]
		}
	}
	for i := range f.claimants {
		if !f.fixed[i] && (f.shares[i] >= f.fullShare[i]-epsilon || f.exhausted(i)) {
			f.fixed[i] = true
			f.growingCount--
		}
	}
}

// exhausted reports whether a resource that the claimant needs is used up.
func (f *progressiveFilling) exhausted(i int) bool {
	for d := range f.remaining {
		if f.usagePerShare[i][d] > 0 && f.remaining[d] <= epsilon {
			return true
		}
	}
	return false
}
