package measure

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

const (
	percent  = 100.0
	mebibyte = 1 << 20
)

// NodeSample is the resource usage and traffic of one node in a window.
type NodeSample struct {
	Name        string
	CPU         float64 // percent of a core
	Resident    float64 // MiB at the end of the window
	PeerBytes   float64 // per second, on connections that other nodes opened to this one
	StoreBytes  float64 // per second
	VMListBytes float64 // per second
}

// Sample is the resource usage and traffic of a cell in a window.
type Sample struct {
	Nodes       []NodeSample
	WorkerBytes float64 // per second, all workers
	Writes      float64 // applied transactions of the table service per second
	Reads       float64 // gets and scans of the table service per second
}

// snapshot holds the values of all counters at one time.
type snapshot struct {
	at      time.Time
	usage   []Usage
	traffic [][3]Traffic // of each node with its peers, the table service and the VM list
	workers Traffic
	writes  int
	reads   int
}

func (c *Cell) readCounters() (snapshot, error) {
	counts := c.Standins.Table.Counts()
	r := snapshot{at: time.Now(), workers: c.WorkerTraffic.Read(), writes: counts.Commits, reads: counts.Gets + counts.Scans}
	for _, n := range c.Nodes {
		u, err := n.Usage()
		if err != nil {
			return snapshot{}, err
		}
		r.usage = append(r.usage, u)
		r.traffic = append(r.traffic, [3]Traffic{n.PeerTraffic.Read(), n.StoreTraffic.Read(), n.VMListTraffic.Read()})
	}
	return r, nil
}

// Sample measures the cell while during runs, or for the duration of window if
// during is nil.
func (c *Cell) Sample(ctx context.Context, window time.Duration, during func(ctx context.Context) error) (Sample, error) {
	before, err := c.readCounters()
	if err != nil {
		return Sample{}, err
	}
	if during == nil {
		during = func(ctx context.Context) error { return sleep(ctx, window) }
	}
	if err := during(ctx); err != nil {
		return Sample{}, err
	}
	after, err := c.readCounters()
	if err != nil {
		return Sample{}, err
	}
	return c.sampleBetween(before, after), nil
}

func (c *Cell) sampleBetween(before, after snapshot) Sample {
	seconds := after.at.Sub(before.at).Seconds()
	s := Sample{
		WorkerBytes: after.workers.Bytes(before.workers) / seconds,
		Writes:      float64(after.writes-before.writes) / seconds,
		Reads:       float64(after.reads-before.reads) / seconds,
	}
	for i, n := range c.Nodes {
		s.Nodes = append(s.Nodes, NodeSample{
			Name:        n.Name,
			CPU:         percent * (after.usage[i].CPU - before.usage[i].CPU).Seconds() / seconds,
			Resident:    float64(after.usage[i].Resident) / mebibyte,
			PeerBytes:   after.traffic[i][0].Bytes(before.traffic[i][0]) / seconds,
			StoreBytes:  after.traffic[i][1].Bytes(before.traffic[i][1]) / seconds,
			VMListBytes: after.traffic[i][2].Bytes(before.traffic[i][2]) / seconds,
		})
	}
	return s
}

// ForNode returns the sample of a node.
func (s Sample) ForNode(n *Node) NodeSample {
	for _, sample := range s.Nodes {
		if sample.Name == n.Name {
			return sample
		}
	}
	return NodeSample{}
}

// Mean returns the mean over all nodes except the given one, which may be nil.
func (s Sample) Mean(except *Node) NodeSample {
	var out NodeSample
	n := 0.0
	for _, sample := range s.Nodes {
		if except != nil && sample.Name == except.Name {
			continue
		}
		n++
		out.CPU += sample.CPU
		out.Resident += sample.Resident
		out.PeerBytes += sample.PeerBytes
		out.StoreBytes += sample.StoreBytes
		out.VMListBytes += sample.VMListBytes
	}
	out.CPU /= n
	out.Resident /= n
	out.PeerBytes /= n
	out.StoreBytes /= n
	out.VMListBytes /= n
	return out
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
