package runtimes

import "math"

// Bins of the histograms of the ratio of run time to prediction. The first one includes
// all lower ratios, the last one all higher ones.
const (
	binCount      = 24
	binsPerOctave = 3
	lowestOctave  = -3 // binary logarithm of the lower edge of the first bin
	lastBin       = binCount - 1
	tailExponent  = 3.0 // of the Pareto distribution within the last bin
)

// Weights of the histograms.
const (
	histogramDecay  = 0.998 // factor on the weight of older samples with each new one; a tail needs many samples
	histogramFloor  = 50.0  // samples below which age does not reduce a histogram
	parentHistogram = 20.0  // samples that the histogram of the parent counts for
	priorHistogram  = 10.0  // samples that the prior counts for
	priorTailShare  = 0.02  // of the runs, spread evenly over the bins above priorTailFrom
	priorTailFrom   = 2.0   // ratio
)

// histogram is a decayed histogram of the ratio of run time to prediction.
type histogram struct {
	bins  [binCount]float32
	total float64
}

// negligible is the weight below which a bin is emptied. Weights that decay on become
// denormal numbers, which are slow.
const negligible = 1e-6

// shares is the share of the runs in each bin; the sum is 1.
type shares [binCount]float64

// binOf returns the position of a ratio on the scale of the bins, from 0 to binCount.
func binOf(ratio float64) float64 {
	return min(max((math.Log2(ratio)-lowestOctave)*binsPerOctave, 0), binCount)
}

// ratioAt returns the ratio at a position on the scale of the bins.
func ratioAt(position float64) float64 {
	return math.Exp2(lowestOctave + position/binsPerOctave)
}

// add adds a sample, after it has reduced the weight of the older ones.
func (h *histogram) add(ratio float64) {
	h.scale(histogramDecay)
	h.bins[min(int(binOf(ratio)), lastBin)]++
	h.total++
}

func (h *histogram) scale(factor float64) {
	for i, count := range h.bins {
		if count < negligible {
			h.total -= float64(count)
			h.bins[i] = 0
			continue
		}
		h.bins[i] = count * float32(factor)
	}
	h.total *= factor
}

// mix returns the shares of a histogram, whose weight is n, mixed with those of its parent.
func (h *histogram) mix(parent *shares, n, weight float64) shares {
	var out shares
	if h.total <= 0 {
		return *parent
	}
	factor, sum := n/h.total, 0.0
	for i, count := range h.bins {
		out[i] = float64(count)*factor + weight*parent[i]
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// priorShares are the shares that are assumed without samples: a log-normal body and a
// long tail.
var priorShares = func() *shares {
	var out shares
	tailBins := float64(binCount) - binOf(priorTailFrom)
	for i := range out {
		out[i] = (1 - priorTailShare) * (bodyBelow(i+1) - bodyBelow(i))
		if float64(i) >= binOf(priorTailFrom) {
			out[i] += priorTailShare / tailBins
		}
	}
	return &out
}()

// bodyBelow returns the share of the body of the prior below a bin.
func bodyBelow(bin int) float64 {
	switch bin {
	case 0:
		return 0
	case binCount:
		return 1
	}
	z := math.Log(ratioAt(float64(bin))) / defaultSpread
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// binMeans are the mean ratios within the bins.
var binMeans = func() *[binCount]float64 {
	var out [binCount]float64
	for i := range out {
		out[i] = meanAbove(i, ratioAt(float64(i)))
	}
	return &out
}()

// meanAbove returns the mean of the ratios in a bin that are above the given ratio, which
// lies within the bin.
func meanAbove(bin int, ratio float64) float64 {
	if bin == lastBin {
		return ratio * tailExponent / (tailExponent - 1)
	}
	upper := ratioAt(float64(bin + 1))
	const negligibleWidth = 1e-9 // relative; the quotient below is imprecise for a smaller one
	if upper-ratio < negligibleWidth*upper {
		return upper
	}
	return (upper - ratio) / math.Log(upper/ratio)
}

// shareAbove returns the share of the runs of a bin that are above a position within it.
func shareAbove(bin int, position float64) float64 {
	if bin == lastBin {
		return math.Exp2(-tailExponent * (position - lastBin) / binsPerOctave)
	}
	return float64(bin+1) - position
}

// above returns the share of the runs whose ratio is above the given one, and their mean
// ratio.
func (s *shares) above(ratio float64) (share, mean float64) {
	position := max((math.Log2(ratio)-lowestOctave)*binsPerOctave, 0)
	bin := min(int(position), lastBin)
	sum := 0.0
	for i := lastBin; i > bin; i-- {
		share += s[i]
		sum += s[i] * binMeans[i]
	}
	rest := s[bin] * shareAbove(bin, position)
	share += rest
	if share <= 0 {
		// Rounding has removed the last of the tail.
		return 0, ratio * tailExponent / (tailExponent - 1)
	}
	return share, (sum + rest*meanAbove(bin, max(ratio, ratioAt(0)))) / share
}

// ratioExceededBy returns the ratio that the given share of the runs exceeds.
func (s *shares) ratioExceededBy(share float64) float64 {
	sum := 0.0
	for bin := lastBin; bin >= 0; bin-- {
		if sum+s[bin] < share {
			sum += s[bin]
			continue
		}
		part := min(max((share-sum)/s[bin], minTailPart), 1)
		if bin == lastBin {
			return ratioAt(lastBin) * math.Pow(part, -1/tailExponent)
		}
		return ratioAt(float64(bin+1) - part)
	}
	return ratioAt(0)
}

// minTailPart bounds quantiles in the open last bin.
const minTailPart = 1e-3
