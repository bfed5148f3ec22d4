package scheduler

import "github.com/endivehill/endivehill/internal/api"

// Dimensions of a resourceVec.
const (
	dimCPU = iota
	dimMemory
	dimAccelerators
	dimSlots
	dimCount
)

// resourceVec is an amount of each resource.
type resourceVec [dimCount]int64

func toResourceVec(r api.Resources) resourceVec {
	return resourceVec{int64(r.CpuMillis), int64(r.MemoryMb), int64(r.Accelerators), int64(r.Slots)}
}

func (v resourceVec) resources() api.Resources {
	return api.Resources{
		CpuMillis:    int(v[dimCPU]),
		MemoryMb:     int(v[dimMemory]),
		Accelerators: int(v[dimAccelerators]),
		Slots:        int(v[dimSlots]),
	}
}

func (v resourceVec) add(o resourceVec) resourceVec {
	for d := range v {
		v[d] += o[d]
	}
	return v
}

func (v resourceVec) sub(o resourceVec) resourceVec {
	for d := range v {
		v[d] -= o[d]
	}
	return v
}

func (v resourceVec) times(n int) resourceVec {
	for d := range v {
		v[d] *= int64(n)
	}
	return v
}

// fits reports whether v is at most o in every dimension.
func (v resourceVec) fits(o resourceVec) bool {
	return v[0] <= o[0] && v[1] <= o[1] && v[2] <= o[2] && v[3] <= o[3]
}

// max returns the larger amount of each dimension.
func (v resourceVec) max(o resourceVec) resourceVec {
	for d := range v {
		v[d] = max(v[d], o[d])
	}
	return v
}

func (v resourceVec) negative() bool {
	return v[0] < 0 || v[1] < 0 || v[2] < 0 || v[3] < 0
}

// countFitting returns how many tasks of the given size fit into v, at most
// limit.
func (v resourceVec) countFitting(size resourceVec, limit int) int {
	n := int64(limit)
	for d := range v {
		if size[d] <= 0 {
			continue
		}
		n = min(n, max(0, v[d])/size[d])
	}
	return int(n)
}

// dominantShareOf returns the largest fraction of total that v takes in any
// dimension.
func (v resourceVec) dominantShareOf(total resourceVec) float64 {
	s := 0.0
	for d := range v {
		if total[d] > 0 {
			s = max(s, float64(v[d])/float64(total[d]))
		}
	}
	return s
}
