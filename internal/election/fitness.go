package election

import "time"

// Size is the resources of a node, or those that an owner needs. A value of 0 is unknown and
// imposes no constraint.
type Size struct {
	CPUMillis    int // thousandths of a core
	LinkKbps     int // bandwidth of the network link in kbit/s
	MemoryMB     int // MiB
	MaxOpenFiles int // files and sockets
}

// Load is what an owner of the cell serves. A value of 0 is unknown.
type Load struct {
	Workers  int
	PeakKbps int // highest recent rate at which the owner has sent data, in kbit/s
}

// What the owner of a cell needs. docs/design/ownership.md has the reasons.
const (
	// cpuMillisPerWorker applies to the first smallCellWorkers. Beyond them, one thousandth of a
	// core serves workersPerCPUMilli workers, because the processor time of an owner grows much
	// more slowly than the number of workers.
	cpuMillisPerWorker  = 1
	smallCellWorkers    = 500
	workersPerCPUMilli  = 10
	linkKbpsPerWorker   = 40  // two starts or polls a second of some 1 KB, and the commits for them
	linkPeakMargin      = 1.5 // a saturated owner measures a peak no higher than its own link
	baseMemoryMB        = 60
	workersPerMemoryMB  = 10
	baseOpenFiles       = 200 // files, listeners, connections to the table service and the adviser
	openFilesPerWorker  = 2   // a held poll and a start
	openFilesPerNode    = 3   // control and data connections, and one that replaces another
	fitRatio            = 1.0 // of size to need, from which on a node is fit
	unknownFitnessRatio = 1e9 // of a node without a resource of which size and need are known
)

// needOf returns the size that an owner needs under a load in a cell of so many nodes. It is
// unknown without the number of workers, except for what the peak rate shows.
func needOf(load Load, nodes int) Size {
	need := Size{LinkKbps: max(linkKbpsPerWorker*load.Workers, int(linkPeakMargin*float64(load.PeakKbps)))}
	if load.Workers == 0 {
		return need
	}
	small := min(load.Workers, smallCellWorkers)
	need.CPUMillis = cpuMillisPerWorker*small + (load.Workers-small)/workersPerCPUMilli
	need.MemoryMB = baseMemoryMB + load.Workers/workersPerMemoryMB
	need.MaxOpenFiles = baseOpenFiles + openFilesPerWorker*load.Workers + openFilesPerNode*nodes
	return need
}

// ratio returns the smallest ratio of size to need over the resources of which both are known,
// unknownFitnessRatio if there are none.
func (s Size) ratio(need Size) float64 {
	smallest := unknownFitnessRatio
	for _, r := range [...]struct{ have, need int }{
		{s.CPUMillis, need.CPUMillis}, {s.LinkKbps, need.LinkKbps}, {s.MemoryMB, need.MemoryMB}, {s.MaxOpenFiles, need.MaxOpenFiles},
	} {
		if r.have > 0 && r.need > 0 {
			smallest = min(smallest, float64(r.have)/float64(r.need))
		}
	}
	return smallest
}

// fitness returns how far the size covers the need: 1 for a node that is fit to own the cell,
// otherwise its ratio.
func (s Size) fitness(need Size) float64 { return min(s.ratio(need), fitRatio) }

// keepRatio is the ratio from which on an owner keeps the cell although another node is fit,
// unless that one is much fitter. The needs have margins, and a handover costs time too.
const keepRatio = 0.9

// yieldsTo reports whether an owner of this size should hand the cell over to a node of
// another size because it isn't fit. It never holds in both directions for one need.
func (s Size) yieldsTo(other, need Size) bool {
	own, others := s.ratio(need), other.ratio(need)
	if own >= fitRatio {
		return false
	}
	return others >= fitRatio && own < keepRatio || own < minRelativeCPU*others
}

// Additional claim delay of a node that isn't fit: the least, and what is added in proportion
// to what the node lacks. The least exceeds the random part of the delays of fit nodes.
const (
	unfitClaimDelay      = 300 * time.Millisecond
	unfitClaimDelayRange = 400 * time.Millisecond
)

// unfitDelay returns the additional claim delay of a node.
func (s Size) unfitDelay(need Size) time.Duration {
	fitness := s.fitness(need)
	if fitness >= fitRatio {
		return 0
	}
	return unfitClaimDelay + time.Duration((1-fitness)*float64(unfitClaimDelayRange))
}

// loadInheritedFor is the time for which the load that the earlier owners recorded counts. The
// first measurements of a new owner are low.
const loadInheritedFor = 10 * time.Minute

// loadRecord is the load that an owner knows. It does not change.
type loadRecord struct {
	inherited Load
	until     time.Duration // boot time up to which inherited counts
	measured  func() Load   // nil for none
}

// newLoadRecord returns the load of an owner that claims the cell now, after an owner that
// recorded an earlier one.
func newLoadRecord(inherited Load, now time.Duration, measured func() Load) *loadRecord {
	return &loadRecord{inherited: inherited, until: now + loadInheritedFor, measured: measured}
}

// at returns the load at a boot time; unknown for a nil record.
func (r *loadRecord) at(now time.Duration) Load {
	if r == nil {
		return Load{}
	}
	var load Load
	if r.measured != nil {
		load = r.measured()
	}
	if now < r.until {
		load.Workers, load.PeakKbps = max(load.Workers, r.inherited.Workers), max(load.PeakKbps, r.inherited.PeakKbps)
	}
	return load
}
