package scheduler

import "github.com/endivehill/endivehill/internal/api"

// Dimensions of a vec.
const (
	dimCPU = iota
	dimMemory
	dimAccelerators
	dimSlots
	dims
)

// vec is an amount of each resource.
type vec [dims]int64

func toVec(r api.Resources) vec {
	return vec{int64(r.CpuMillis), int64(r.MemoryMb), int64(r.Accelerators), int64(r.Slots)}
}

func (v vec) resources() api.Resources {
	return api.Resources{
		CpuMillis:    int(v[dimCPU]),
		MemoryMb:     int(v[dimMemory]),
		Accelerators: int(v[dimAccelerators]),
		Slots:        int(v[dimSlots]),
	}
}

func (v vec) add(o vec) vec {
	for d := range v {
		v[d] += o[d]
	}
	return v
}

func (v vec) sub(o vec) vec {
	for d := range v {
		v[d] -= o[d]
	}
	return v
}

func (v vec) times(n int) vec {
	for d := range v {
		v[d] *= int64(n)
	}
	return v
}

// fits reports whether v is at most o in every dimension.
func (v vec) fits(o vec) bool {
	return v[0] <= o[0] && v[1] <= o[1] && v[2] <= o[2] && v[3] <= o[3]
}

// max returns the larger amount of each dimension.
func (v vec) max(o vec) vec {
	for d := range v {
		v[d] = max(v[d], o[d])
	}
	return v
}

func (v vec) negative() bool {
	return v[0] < 0 || v[1] < 0 || v[2] < 0 || v[3] < 0
}

// copies returns how many tasks of the given size fit into v, at most limit.
func (v vec) copies(size vec, limit int) int {
	n := int64(limit)
	for d := range v {
		if size[d] <= 0 {
			continue
		}
		n = min(n, max(0, v[d])/size[d])
	}
	return int(n)
}

// shareOf returns the largest fraction that v is of total.
func (v vec) shareOf(total vec) float64 {
	s := 0.0
	for d := range v {
		if total[d] > 0 {
			s = max(s, float64(v[d])/float64(total[d]))
		}
	}
	return s
}
