package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/node"
	"github.com/endivehill/endivehill/internal/settings"
)

const (
	unreadyDelay         = 200 * time.Millisecond // no load balancer has to see the node unready in this mode
	anyLoopbackPort      = "127.0.0.1:0"
	serveBasePort        = 7400                   // first port in the settings files for serve processes
	configRecordInterval = 500 * time.Millisecond // between records of the configuration in force
)

// runningNode is a node that runs in this process.
type runningNode struct {
	name     string
	settings api.Settings
	node     *node.Node
	cancel   context.CancelFunc
	done     chan struct{}
}

// nodeGroup holds the nodes that run in this process.
type nodeGroup struct {
	cell *devCell

	mu      sync.Mutex
	running []*runningNode
}

func newNodeGroup(c *devCell) *nodeGroup { return &nodeGroup{cell: c} }

// start starts n nodes on free ports.
func (g *nodeGroup) start(n int) error {
	domains := g.cell.failureDomains()
	for i := range n {
		name := fmt.Sprintf("node-%d", i+1)
		s, err := g.cell.settings(name, domains[i%len(domains)])
		if err != nil {
			return err
		}
		if err := g.startNode(name, s); err != nil {
			return err
		}
	}
	return nil
}

func (g *nodeGroup) startNode(name string, s api.Settings) error {
	n, err := node.New(node.Options{Settings: s, Logger: g.cell.options.Logger, Version: g.cell.options.Version, UnreadyDelay: unreadyDelay})
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	// After a restart the node must listen on the same addresses, which the callers
	// know.
	s.HttpAddress, s.PeerAddress = n.HTTPAddress(), n.PeerAddress()
	s.HttpAdvertiseAddress, s.PeerAdvertiseAddress = s.HttpAddress, s.PeerAddress
	r := &runningNode{name: name, settings: s, node: n, cancel: cancel, done: make(chan struct{})}
	g.mu.Lock()
	g.running = append(g.running, r)
	g.mu.Unlock()
	go func() {
		defer close(r.done)
		if err := n.Run(ctx); err != nil {
			g.cell.printf("%s ended with an error: %v\n", name, err)
		}
	}()
	go g.recordConfigInForce(ctx, r)
	return nil
}

// recordConfigInForce records the configuration version that the node serves until ctx
// ends, for the checker.
func (g *nodeGroup) recordConfigInForce(ctx context.Context, r *runningNode) {
	for clock.Sleep(ctx, configRecordInterval) {
		version := r.node.ConfigVersion()
		if version == 0 {
			continue
		}
		g.cell.recorder.Add(history.Record{Kind: history.ConfigInForce, Node: r.name, Version: version, Serving: r.node.Ready() == nil})
	}
}

// addresses returns the HTTP addresses of the running nodes.
func (g *nodeGroup) addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, r := range g.running {
		out = append(out, r.settings.HttpAddress)
	}
	return out
}

// partitionCounts returns the number of partitions that each node owns, without
// nodes that own none.
func (g *nodeGroup) partitionCounts() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for _, r := range g.running {
		if n := r.node.PartitionCount(); n > 0 {
			out[r.name] = n
		}
	}
	return out
}

// stop stops all nodes by a planned stop.
func (g *nodeGroup) stop() {
	g.mu.Lock()
	running := g.running
	g.running = nil
	g.mu.Unlock()
	for _, r := range running {
		g.stopNode(r)
	}
}

func (g *nodeGroup) stopNode(r *runningNode) {
	g.cell.recorder.Add(history.Record{Kind: history.NodeStopping, Node: r.name})
	r.cancel()
	<-r.done
	g.cell.recorder.Add(history.Record{Kind: history.NodeStopped, Node: r.name})
}

// restartFirstNode restarts the first node by a planned stop.
func (g *nodeGroup) restartFirstNode() error {
	g.mu.Lock()
	r := g.running[0]
	g.running = g.running[1:]
	g.mu.Unlock()
	g.stopNode(r)
	return g.startNode(r.name, r.settings)
}

func (c *devCell) failureDomains() []string {
	seen := map[string]bool{}
	var out []string
	for _, pool := range c.config.Pools {
		for _, rack := range pool.Racks {
			if !seen[rack.FailureDomain] {
				seen[rack.FailureDomain] = true
				out = append(out, rack.FailureDomain)
			}
		}
	}
	return out
}

// settings returns the settings of a node, validated like a settings file, with
// free ports.
func (c *devCell) settings(name, failureDomain string) (api.Settings, error) {
	data, err := c.settingsFile(name, failureDomain, serveBasePort)
	if err != nil {
		return api.Settings{}, err
	}
	s, err := settings.Parse(data, ".")
	if err != nil {
		return api.Settings{}, err
	}
	s.HttpAddress, s.PeerAddress = anyLoopbackPort, anyLoopbackPort
	s.HttpAdvertiseAddress, s.PeerAdvertiseAddress = anyLoopbackPort, anyLoopbackPort
	return s, nil
}

// settingsFile returns the settings file of a node that listens on port and
// port + 1.
func (c *devCell) settingsFile(name, failureDomain string, port int) ([]byte, error) {
	data, err := json.MarshalIndent(map[string]string{
		"node":                name,
		"region":              c.config.Pools[0].Region,
		"failure_domain":      failureDomain,
		"http_address":        fmt.Sprintf("127.0.0.1:%d", port),
		"peer_address":        fmt.Sprintf("127.0.0.1:%d", port+1),
		"store_address":       c.standins.PlatformAddress,
		"operator_key_sha256": c.operatorHash(),
	}, "", "  ")
	return append(data, '\n'), errors.Wrap(err, "encode settings")
}

// writeSettings writes settings files for serve processes that are started by hand,
// and prints the operator key.
func (c *devCell) writeSettings() error {
	if err := os.MkdirAll(c.options.WriteSettings, 0o755); err != nil {
		return errors.Wrap(err, "create the settings directory")
	}
	domains := c.failureDomains()
	for i := range 3 {
		name := fmt.Sprintf("node-%d", i+1)
		data, err := c.settingsFile(name, domains[i%len(domains)], serveBasePort+10*i)
		if err != nil {
			return err
		}
		path := filepath.Join(c.options.WriteSettings, name+".json")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
		c.printf("wrote %s\n", path)
	}
	c.printf("operator key: %s\n", c.operatorKey)
	return nil
}
