package quota

import (
	"math"
	"math/bits"

	"github.com/endivehill/endivehill/internal/api"
)

// kinds is the number of kinds of resources.
const kinds = 4

// amount is an amount of each kind of resource, for arithmetic by kind.
type amount [kinds]int

// unlimited is above any amount.
var unlimited = amount{math.MaxInt, math.MaxInt, math.MaxInt, math.MaxInt}

func amountOf(r api.Resources) amount {
	return amount{max(r.CpuMillis, 0), max(r.MemoryMb, 0), max(r.Accelerators, 0), max(r.Slots, 0)}
}

func (a amount) resources() api.Resources {
	return api.Resources{CpuMillis: a[0], MemoryMb: a[1], Accelerators: a[2], Slots: a[3]}
}

func (a amount) plus(b amount) amount {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

func (a amount) lower(b amount) amount {
	for i := range a {
		a[i] = min(a[i], b[i])
	}
	return a
}

func (a amount) upper(b amount) amount {
	for i := range a {
		a[i] = max(a[i], b[i])
	}
	return a
}

// exceeds reports whether a is above b in any kind.
func (a amount) exceeds(b amount) bool {
	for i := range a {
		if a[i] > b[i] {
			return true
		}
	}
	return false
}

// scale returns a*num/den, rounded down, for a <= den.
func scale(a, num, den int) int {
	hi, lo := bits.Mul64(uint64(a), uint64(num))
	q, _ := bits.Div64(hi, lo, uint64(den))
	return int(q)
}
