// Package fairshare computes weighted dominant shares and divides a capacity
// between claimants by max-min fairness over their dominant resources.
package fairshare

// Dims is the number of resources.
const Dims = 4

// Vector is an amount of each resource.
type Vector [Dims]float64

// Claim is what one claimant asks for.
type Claim struct {
	Weight float64
	Demand Vector
}

// epsilon absorbs rounding when amounts are compared with their bounds.
const epsilon = 1e-9

// Dominant returns the largest fraction that used is of total. A resource of
// which there is none does not count.
func Dominant(used, total Vector) float64 {
	share := 0.0
	for d := range used {
		if total[d] > 0 {
			share = max(share, used[d]/total[d])
		}
	}
	return share
}

// Entitlements returns the dominant share of each claim when total is divided by
// progressive filling: all shares grow in proportion to the weights until a claim
// has its whole demand or a resource it needs is used up.
func Entitlements(total Vector, claims []Claim) []float64 {
	f := newFilling(total, claims)
	for f.open > 0 {
		f.advance(f.step())
	}
	return f.share
}

// filling is the state of a progressive filling.
type filling struct {
	claims []Claim
	goal   []float64 // dominant share of the whole demand
	slope  []Vector  // fraction of each resource used per unit of dominant share
	share  []float64
	done   []bool
	open   int
	free   Vector // fraction of each resource that is left
}

func newFilling(total Vector, claims []Claim) *filling {
	n := len(claims)
	f := &filling{
		claims: claims,
		goal:   make([]float64, n),
		slope:  make([]Vector, n),
		share:  make([]float64, n),
		done:   make([]bool, n),
	}
	for d := range f.free {
		f.free[d] = 1
	}
	for i, claim := range claims {
		f.goal[i] = Dominant(claim.Demand, total)
		if f.goal[i] <= 0 || claim.Weight <= 0 {
			f.done[i] = true
			continue
		}
		f.open++
		for d := range total {
			if total[d] > 0 {
				f.slope[i][d] = claim.Demand[d] / total[d] / f.goal[i]
			}
		}
	}
	return f
}

// step returns by how much the level can rise until a claim is satisfied or a
// resource is used up.
func (f *filling) step() float64 {
	rate := f.rate()
	step := -1.0
	for i := range f.claims {
		if f.done[i] {
			continue
		}
		rise := (f.goal[i] - f.share[i]) / f.claims[i].Weight
		if step < 0 || rise < step {
			step = rise
		}
	}
	for d := range rate {
		if rate[d] > 0 {
			step = min(step, max(0, f.free[d])/rate[d])
		}
	}
	return step
}

// rate returns the fraction of each resource used per unit of the level.
func (f *filling) rate() Vector {
	var rate Vector
	for i, claim := range f.claims {
		if f.done[i] {
			continue
		}
		for d := range rate {
			rate[d] += claim.Weight * f.slope[i][d]
		}
	}
	return rate
}

// advance raises the level and closes the claims that cannot grow further.
func (f *filling) advance(step float64) {
	for i, claim := range f.claims {
		if f.done[i] {
			continue
		}
		grow := claim.Weight * step
		f.share[i] += grow
		for d := range f.free {
			f.free[d] -= grow * f.slope[i][d]
		}
	}
	for i := range f.claims {
		if !f.done[i] && (f.share[i] >= f.goal[i]-epsilon || f.blocked(i)) {
			f.done[i] = true
			f.open--
		}
	}
}

// blocked reports whether a resource that the claim needs is used up.
func (f *filling) blocked(i int) bool {
	for d := range f.free {
		if f.slope[i][d] > 0 && f.free[d] <= epsilon {
			return true
		}
	}
	return false
}
