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

// NodeSample is what one node used and exchanged in a window.
type NodeSample struct {
	Name       string
	CPU        float64 // percent of a core
	Resident   float64 // MiB at the end
	PeerBytes  float64 // a second, on connections that others opened
	StoreBytes float64 // a second
	ListBytes  float64 // a second
}

// Sample is what a cell used and exchanged in a window.
type Sample struct {
	Nodes       []NodeSample
	WorkerBytes float64 // a second, all workers
	Writes      float64 // transactions of the table service a second
	Reads       float64 // gets and scans a second
}

// reading holds the counters at one time.
type reading struct {
	at      time.Time
	usage   []Usage
	traffic [][3]Traffic
	workers Traffic
	writes  int
	reads   int
}

func (c *Cell) read() (reading, error) {
	counts := c.Standins.Table.Counts()
	r := reading{at: time.Now(), workers: c.Workers.Read(), writes: counts.Commits, reads: counts.Gets + counts.Scans}
	for _, n := range c.Nodes {
		u, err := n.Usage()
		if err != nil {
			return reading{}, err
		}
		r.usage = append(r.usage, u)
		r.traffic = append(r.traffic, [3]Traffic{n.Peer.Read(), n.Store.Read(), n.List.Read()})
	}
	return r, nil
}

// Sample measures the cell for a time while during runs; during may be nil.
func (c *Cell) Sample(ctx context.Context, window time.Duration, during func(ctx context.Context) error) (Sample, error) {
	before, err := c.read()
	if err != nil {
		return Sample{}, err
	}
	if during == nil {
		during = func(ctx context.Context) error { return pause(ctx, window) }
	}
	if err := during(ctx); err != nil {
		return Sample{}, err
	}
	after, err := c.read()
	if err != nil {
		return Sample{}, err
	}
	return c.difference(before, after), nil
}

func (c *Cell) difference(a, b reading) Sample {
	seconds := b.at.Sub(a.at).Seconds()
	s := Sample{
		WorkerBytes: b.workers.Bytes(a.workers) / seconds,
		Writes:      float64(b.writes-a.writes) / seconds,
		Reads:       float64(b.reads-a.reads) / seconds,
	}
	for i, n := range c.Nodes {
		s.Nodes = append(s.Nodes, NodeSample{
			Name:       n.Name,
			CPU:        percent * (b.usage[i].CPU - a.usage[i].CPU).Seconds() / seconds,
			Resident:   float64(b.usage[i].Resident) / mebibyte,
			PeerBytes:  b.traffic[i][0].Bytes(a.traffic[i][0]) / seconds,
			StoreBytes: b.traffic[i][1].Bytes(a.traffic[i][1]) / seconds,
			ListBytes:  b.traffic[i][2].Bytes(a.traffic[i][2]) / seconds,
		})
	}
	return s
}

// Of returns the sample of one node.
func (s Sample) Of(n *Node) NodeSample {
	for _, sample := range s.Nodes {
		if sample.Name == n.Name {
			return sample
		}
	}
	return NodeSample{}
}

// Mean returns the mean of all nodes, or of all but one.
func (s Sample) Mean(without *Node) NodeSample {
	var out NodeSample
	n := 0.0
	for _, sample := range s.Nodes {
		if without != nil && sample.Name == without.Name {
			continue
		}
		n++
		out.CPU += sample.CPU
		out.Resident += sample.Resident
		out.PeerBytes += sample.PeerBytes
		out.StoreBytes += sample.StoreBytes
		out.ListBytes += sample.ListBytes
	}
	out.CPU /= n
	out.Resident /= n
	out.PeerBytes /= n
	out.StoreBytes /= n
	out.ListBytes /= n
	return out
}

// pause waits for d.
func pause(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
