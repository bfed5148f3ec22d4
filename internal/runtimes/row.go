package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
)

// Bounds of the row.
const (
	MaxRowBytes      = 16 << 10 // marshalled
	storedHistograms = 32       // of the most used groups
	binUnit          = 100      // stored bins are in hundredths of a sample
	sumCount         = 5        // x, y, xx, xy and yy of a group
)

// Bounds of the numbers in the row.
const (
	maxSamples        = 1/(1-rootDecay) + 1      // decayed number of samples
	maxHistogram      = 1/(1-histogramDecay) + 1 // the same of a histogram
	minLog            = -8.0                     // of a run time in milliseconds, that of a step reduced by longestOffset
	roundingTolerance = 1e-9                     // of sums that were rounded; of variances, relative to maxLog squared
)

// maxLog bounds the logarithms of estimates and run times in milliseconds.
var maxLog = math.Log(milliseconds(maxRunTime)) + roundingTolerance

// Row returns the stored form of the model: the most used groups, as many as MaxRowBytes
// allows. now is the time since boot, unixMs the time of day in milliseconds.
func (m *Model) Row(now time.Duration, unixMs int64) *api.RunTimeRow {
	row := &api.RunTimeRow{SavedUnixMs: int(unixMs)}
	size := row.Msgsize() + msgp.ArrayHeaderSize
	var buffer []byte
	for i, g := range m.groups.mostUsed(now) {
		stored := g.stored(now, i < storedHistograms)
		var err error
		buffer, err = stored.MarshalMsg(buffer[:0])
		if err != nil || size+len(buffer) > MaxRowBytes {
			break
		}
		size += len(buffer)
		row.Groups = append(row.Groups, stored)
	}
	return row
}

// mostUsed returns the groups, the most used first; parents precede their children.
func (gs *groups) mostUsed(now time.Duration) []*group {
	type usage struct {
		group *group
		uses  float64
	}
	list := make([]usage, 0, len(gs.byID))
	for _, g := range gs.byID {
		list = append(list, usage{g, g.uses * ageFactor(max(0, now-g.updatedAt))})
	}
	slices.SortFunc(list, func(a, b usage) int {
		if a.uses != b.uses {
			return cmp.Compare(b.uses, a.uses)
		}
		return a.group.id.compare(b.group.id)
	})
	out := make([]*group, len(list))
	for i := range list {
		out[i] = list[i].group
	}
	return out
}

// stored returns the stored form of a group, aged to now.
func (g *group) stored(now time.Duration, withHistogram bool) api.RunTimeGroup {
	aged := *g
	aged.age(now)
	s := &aged.sums
	out := api.RunTimeGroup{Key: g.id.String(), Samples: s.n, Sums: []float64{s.x, s.y, s.xx, s.xy, s.yy}}
	if withHistogram && aged.histogram.total > 0 {
		out.Bins = make([]int, binCount)
		for i, count := range aged.histogram.bins {
			out.Bins[i] = int(math.Round(float64(count) * binUnit))
		}
	}
	return out
}

// Load returns the model that a row holds, and the number of groups that it has dropped
// because they are invalid or beyond the bounds. The time since the row was written counts as age.
func Load(row *api.RunTimeRow, now time.Duration, unixMs int64) (m *Model, dropped int) {
	m = New()
	if row == nil {
		return m, 0
	}
	updatedAt := now - rowAge(row, unixMs)
	// From the least to the most used, so that the order of use is restored.
	for _, stored := range slices.Backward(row.Groups) {
		g, ok := groupOf(&stored, updatedAt)
		if ok && m.groups.byID[g.id] == nil {
			m.groups.insert(g)
		}
	}
	return m, len(row.Groups) - m.Groups()
}

// rowAge returns the time since a row was written.
func rowAge(row *api.RunTimeRow, unixMs int64) time.Duration {
	saved := int64(row.SavedUnixMs)
	if saved <= 0 || saved >= unixMs {
		return 0
	}
	return time.Duration(min(unixMs-saved, maxIdle.Milliseconds())) * time.Millisecond
}

// groupOf returns the group that is stored, unless it is invalid.
func groupOf(stored *api.RunTimeGroup, updatedAt time.Duration) (*group, bool) {
	id, ok := parseGroupID(stored.Key)
	if !ok || len(stored.Sums) != sumCount {
		return nil, false
	}
	v := stored.Sums
	g := &group{id: id.clone(), updatedAt: updatedAt, uses: stored.Samples}
	g.sums = sums{n: stored.Samples, x: v[0], y: v[1], xx: v[2], xy: v[3], yy: v[4]}
	g.proven = g.sums.n >= minFitSamples
	return g, g.sums.valid() && g.histogram.load(stored.Bins)
}

// valid reports whether the sums can come from samples within the bounds.
func (s *sums) valid() bool {
	if !within(s.n, math.SmallestNonzeroFloat32, maxSamples) {
		return false
	}
	x, y, squares := s.x/s.n, s.y/s.n, maxLog*maxLog
	if !within(x, math.Log(milliseconds(MinModeled))-roundingTolerance, maxLog) || !within(y, minLog, maxLog) {
		return false
	}
	varX, varY, cov := s.xx/s.n-x*x, s.yy/s.n-y*y, s.xy/s.n-x*y
	tolerance := roundingTolerance * squares
	return within(varX, -tolerance, squares) && within(varY, -tolerance, squares) &&
		within(cov*cov, 0, max(0, varX)*max(0, varY)+tolerance*squares)
}

// load sets a histogram from stored bins, unless they are invalid.
func (h *histogram) load(bins []int) bool {
	if len(bins) != 0 && len(bins) != binCount {
		return false
	}
	for i, count := range bins {
		if count < 0 || count > maxHistogram*binUnit {
			return false
		}
		h.bins[i] = float32(count) / binUnit
		h.total += float64(h.bins[i])
	}
	return h.total <= maxHistogram+1
}

// within reports whether a number is within bounds; NaN is not.
func within(v, lowest, highest float64) bool { return v >= lowest && v <= highest }
