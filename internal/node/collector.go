package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivehill/endivehill/internal/api"
)

// collector exports the state of the node as metrics at each scrape.
type collector struct {
	node *Node

	ready, lead, members, configVersion, keyRevision *prometheus.Desc
	queued, active, capacity, epoch                  *prometheus.Desc
	peerBytes                                        *prometheus.Desc
}

func newCollector(n *Node) *collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("endivehill_"+name, help, labels, nil)
	}
	return &collector{
		node:          n,
		ready:         desc("node_ready", "1 if the balancer should send callers to this node, else 0."),
		lead:          desc("node_may_lead", "1 if this node may place work and renew task leases, else 0."),
		members:       desc("node_members", "Live members that this node knows, itself included."),
		configVersion: desc("config_version", "Version of the configuration in force at this node."),
		keyRevision:   desc("key_revision", "Revision of the keys in force at this node."),
		queued:        desc("partition_queued", "Requests or tasks that wait in a partition that this node owns.", "partition"),
		active:        desc("partition_active", "Requests or tasks that run in a partition that this node owns.", "partition"),
		capacity:      desc("partition_capacity", "Slots of an executor partition, or VMs of a worker partition, that this node owns.", "partition"),
		epoch:         desc("partition_epoch", "Epoch of the ownership of a partition that this node owns.", "partition"),
		peerBytes:     desc("peer_bytes_total", "Bytes exchanged with other nodes.", "direction"),
	}
}

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, out) }

// Collect sends the present values.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	n := c.node
	snapshot := n.registry.Snapshot()
	gauge(c.ready, boolGauge(n.Ready() == nil))
	gauge(c.lead, boolGauge(n.membership.CheckLead() == nil))
	gauge(c.members, float64(len(n.membership.Members())))
	gauge(c.configVersion, float64(snapshot.ConfigVersion))
	gauge(c.keyRevision, float64(snapshot.KeyRevision))
	for _, load := range n.partitions.Loads() {
		c.collectLoad(gauge, load)
	}
	clientIn, clientOut := n.peers.Bytes()
	serverIn, serverOut := n.peerServer.Bytes()
	out <- prometheus.MustNewConstMetric(c.peerBytes, prometheus.CounterValue, float64(clientIn+serverIn), "in")
	out <- prometheus.MustNewConstMetric(c.peerBytes, prometheus.CounterValue, float64(clientOut+serverOut), "out")
}

func (c *collector) collectLoad(gauge func(*prometheus.Desc, float64, ...string), load api.PartitionLoad) {
	gauge(c.queued, float64(load.Queued), load.Partition)
	gauge(c.active, float64(load.Active), load.Partition)
	gauge(c.capacity, float64(load.Capacity), load.Partition)
	gauge(c.epoch, float64(load.Epoch), load.Partition)
}

func boolGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
