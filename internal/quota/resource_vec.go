package quota

import (
	"math"
	"math/bits"

	"github.com/endivehill/endivehill/internal/api"
)

// resourceKinds is the number of kinds of resources.
const resourceKinds = 4

// resourceVec is an amount of each kind of resource.
type resourceVec [resourceKinds]int

// unlimited is the largest value of each kind.
var unlimited = resourceVec{math.MaxInt, math.MaxInt, math.MaxInt, math.MaxInt}

func toResourceVec(r api.Resources) resourceVec {
	return resourceVec{max(r.CpuMillis, 0), max(r.MemoryMb, 0), max(r.Accelerators, 0), max(r.Slots, 0)}
}

func (a resourceVec) resources() api.Resources {
	return api.Resources{CpuMillis: a[0], MemoryMb: a[1], Accelerators: a[2], Slots: a[3]}
}

func (a resourceVec) add(b resourceVec) resourceVec {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

func (a resourceVec) min(b resourceVec) resourceVec {
	for i := range a {
		a[i] = min(a[i], b[i])
	}
	return a
}

func (a resourceVec) max(b resourceVec) resourceVec {
	for i := range a {
		a[i] = max(a[i], b[i])
	}
	return a
}

// exceeds reports whether a is above b in any kind.
func (a resourceVec) exceeds(b resourceVec) bool {
	for i := range a {
		if a[i] > b[i] {
			return true
		}
	}
	return false
}

// mulDiv returns a*num/den, rounded down, for a <= den.
func mulDiv(a, num, den int) int {
	hi, lo := bits.Mul64(uint64(a), uint64(num))
	q, _ := bits.Div64(hi, lo, uint64(den))
	return int(q)
}
