package cellnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/event"
)

// sendRateInterval is the time between two measurements of the rate at which the node sends.
const sendRateInterval = time.Second

// traffic measures what the node sends to the services of the platform, the workers and other
// nodes. The peak is a part of the load that decides what an owner of the cell needs, see election.Load.
type traffic struct {
	store, workers, adviser atomic.Int64 // bytes sent
	peak                    election.PeakRate
}

// sentByDestination returns the bytes sent so far.
func (n *Node) sentByDestination() map[string]int64 {
	_, calls := n.peerClient.Bytes()
	_, answers := n.peerServer.Bytes()
	return map[string]int64{
		"store": n.traffic.store.Load(), "workers": n.traffic.workers.Load(), "adviser": n.traffic.adviser.Load(), "nodes": calls + answers,
	}
}

// measureSendRate measures the rate until ctx ends, and logs it while the node owns the cell.
func (n *Node) measureSendRate(ctx context.Context) {
	last, lastAt := n.sentByDestination(), n.clock.Boot()
	for clock.Sleep(ctx, sendRateInterval) {
		sent, now := n.sentByDestination(), n.clock.Boot()
		total := int64(0)
		fields := []any{}
		for _, to := range []string{"workers", "store", "nodes", "adviser"} {
			total += sent[to]
			fields = append(fields, to+"_kbps", election.Kbps(sent[to]-last[to], now-lastAt))
		}
		rate := n.traffic.peak.Observe(total, now)
		last, lastAt = sent, now
		if view, _ := n.election.View(); view.Self && rate > 0 {
			event.OwnerSendRate.Log(n.logger, append([]any{"kbps", rate, "peak_kbps", n.traffic.peak.Kbps(now)}, fields...)...)
		}
	}
}

// ownerLoad returns what this node knows of the load of an owner.
func (n *Node) ownerLoad() election.Load {
	load := election.Load{PeakKbps: n.traffic.peak.Kbps(n.clock.Boot())}
	if s := n.owner.Stats(); s != nil {
		load.Workers = s.Workers
	}
	return load
}

// collectTraffic reports the bytes sent.
func (n *Node) collectTraffic(out chan<- prometheus.Metric) {
	for to, bytes := range n.sentByDestination() {
		out <- prometheus.MustNewConstMetric(descSent, prometheus.CounterValue, float64(bytes), to)
	}
}
