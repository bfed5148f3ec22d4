package runtimes

import "math"

// Parameters of the regressions.
const (
	rootDecay     = 0.985 // factor on the weight of older samples with each new one, in the most general group
	refinedDecay  = 0.97  // the same in the others, which learn a changed program sooner
	rootPrior     = 0.15  // added to the sum of squared deviations, to flatten the slope while samples are few
	refinedPrior  = 1.0   // the same in the other groups, where it draws the slope to that of the parent
	parentWeight  = 3.0   // samples that the line of the parent counts for
	minFitSamples = 4.0   // the most general group is used from this number of samples
	defaultSpread = 0.5   // of the logarithm of a run time, while there are fewer samples than minFitSamples
)

// sums holds the decayed number of samples, and decayed sums of the logarithms x of the
// estimates and y of the run times, of their squares and of their products.
type sums struct {
	n, x, y, xx, xy, yy float64
}

// add adds a sample, after it has reduced the weight of the older ones.
func (s *sums) add(x, y, decay float64) {
	s.scale(decay)
	s.n++
	s.x += x
	s.y += y
	s.xx += x * x
	s.xy += x * y
	s.yy += y * y
}

func (s *sums) scale(factor float64) {
	s.n *= factor
	s.x *= factor
	s.y *= factor
	s.xx *= factor
	s.xy *= factor
	s.yy *= factor
}

// moments are the means, variances and the covariance of the samples of a group.
type moments struct {
	x, y, varX, varY, cov float64
}

func (s *sums) moments() moments {
	m := moments{x: s.x / s.n, y: s.y / s.n}
	m.varX = max(0, s.xx/s.n-m.x*m.x)
	m.varY = max(0, s.yy/s.n-m.y*m.y)
	m.cov = s.xy/s.n - m.x*m.y
	return m
}

// varianceAround returns the mean squared distance of the samples from a line.
func (m moments) varianceAround(l line) float64 {
	offset := m.y - l.at(m.x)
	return max(0, m.varY-2*l.slope*m.cov+l.slope*l.slope*m.varX) + offset*offset
}

// line predicts the logarithm of a run time from that of the estimate.
type line struct {
	slope, x, y float64 // the line goes through (x, y)
	variance    float64 // of the logarithms of the run times around the line
}

func (l line) at(x float64) float64 { return l.y + l.slope*(x-l.x) }

// estimateLine predicts that run times exceed the estimates by a factor with the given
// logarithm.
func estimateLine(offset float64) line {
	return line{slope: 1, y: offset, variance: defaultSpread * defaultSpread}
}

// fit returns the regression line of the samples, whose weight is n. If the estimates
// explain little, the slope is near 0 and the prediction near the mean run time.
func (s *sums) fit(n float64) line {
	m := s.moments()
	l := line{slope: clampSlope(m.cov / (m.varX + rootPrior/n)), x: m.x, y: m.y}
	l.variance = m.varianceAround(l)
	return l
}

// refine returns the line of a group whose parent has the given line, as far as the
// samples, whose weight is n, carry the difference.
func (s *sums) refine(parent line, n float64) line {
	m := s.moments()
	at := parent.at(m.x)
	l := line{
		slope: clampSlope((n*m.cov + refinedPrior*parent.slope) / (n*m.varX + refinedPrior)),
		x:     m.x,
		y:     at + (m.y-at)*n/(n+parentWeight),
	}
	l.variance = (n*m.varianceAround(l) + parentWeight*parent.variance) / (n + parentWeight)
	return l
}

func clampSlope(slope float64) float64 { return min(max(slope, 0), 1) }

// longestOffset returns the logarithm of the expected ratio of the longest of a number of
// run times to the median one, by Blom's approximation of normal order statistics.
func longestOffset(tasks int) float64 {
	n := float64(min(max(tasks, 1), maxTasks))
	p := (n - 0.375) / (n + 0.25)
	return defaultSpread * math.Sqrt2 * math.Erfinv(2*p-1)
}

// maxTasks bounds the number of tasks in longestOffset.
const maxTasks = 1 << 20
