package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/node"
	"github.com/endivehill/endivehill/internal/settings"
)

const loopback = "127.0.0.1"

// Node is one node of a Cell.
type Node struct {
	Name        string
	HTTPAddress string // address for callers

	PeerTraffic   Counter // traffic on connections that other nodes opened to this node
	StoreTraffic  Counter // traffic with the table service
	VMListTraffic Counter // traffic with the VM list

	process *exec.Cmd
	cancel  context.CancelFunc
	done    chan struct{}
}

// Usage returns the resource usage of the node's process.
func (n *Node) Usage() (Usage, error) { return processUsage(n.process.Process.Pid) }

func (c *Cell) startNode(i int) (*Node, error) {
	n := &Node{Name: fmt.Sprintf("node-%02d", i+1), done: make(chan struct{})}
	if c.options.Program == "" {
		return n, c.startInProcess(n)
	}
	return n, c.startSubprocess(n)
}

// startInProcess starts a node in this process.
func (c *Cell) startInProcess(n *Node) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	data, err := c.settings(n, ports, nil)
	if err != nil {
		return err
	}
	s, err := settings.Parse(data, ".")
	if err != nil {
		return err
	}
	running, err := node.New(node.Options{Settings: s, Logger: log.NewNopLogger(), Version: "measured"})
	if err != nil {
		return errors.Wrapf(err, "start %s", n.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.HTTPAddress, n.cancel = running.HTTPAddress(), cancel
	go func() {
		defer close(n.done)
		_ = running.Run(ctx) // a failure shows in the measurement
	}()
	return nil
}

// startSubprocess starts a node as a separate process behind relays that count its
// traffic.
func (c *Cell) startSubprocess(n *Node) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	n.HTTPAddress = ports[0]
	relayed, err := c.startNodeRelays(n, ports[1])
	if err != nil {
		return err
	}
	data, err := c.settings(n, ports, relayed)
	if err != nil {
		return err
	}
	path, err := c.writeSettingsFile(n.Name+".json", data)
	if err != nil {
		return err
	}
	n.process = exec.Command(c.options.Program, "serve", "--settings", path)
	n.process.Stderr = os.Stderr
	if c.options.Processors > 0 {
		n.process.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(c.options.Processors))
	}
	if err := n.process.Start(); err != nil {
		n.process = nil
		return errors.Wrapf(err, "start %s", n.Name)
	}
	go func() {
		defer close(n.done)
		_ = n.process.Wait() // ended by a signal from stop
	}()
	return nil
}

// startNodeRelays starts the relays of a node and returns the settings with their
// addresses.
func (c *Cell) startNodeRelays(n *Node, peerAddress string) (map[string]any, error) {
	fields := map[string]any{}
	for _, r := range []struct {
		field, target string
		counter       *Counter
	}{
		{"peer_advertise_address", peerAddress, &n.PeerTraffic},
		{"store_address", c.Standins.PlatformAddress, &n.StoreTraffic},
		{"vm_list_address", c.Standins.PlatformAddress, &n.VMListTraffic},
	} {
		started, err := startRelay(loopback, r.target, r.counter)
		if err != nil {
			return nil, err
		}
		c.relays = append(c.relays, started)
		fields[r.field] = started.address()
	}
	return fields, nil
}

// settings returns the settings file of a node that listens on the two addresses in
// ports. The fields of overrides take precedence.
func (c *Cell) settings(n *Node, ports []string, overrides map[string]any) ([]byte, error) {
	fields := map[string]any{
		"node": n.Name, "region": region, "failure_domain": region + "-a",
		"http_address": ports[0], "peer_address": ports[1], "store_address": c.Standins.PlatformAddress,
		"operator_key_sha256": c.operatorHash(), "log_level": string(api.LogLevelError),
	}
	maps.Copy(fields, c.options.Settings)
	maps.Copy(fields, overrides)
	data, err := json.Marshal(fields)
	return data, errors.Wrap(err, "encode settings")
}

// writeSettingsFile writes a settings file to a temporary directory of the cell and
// returns its path.
func (c *Cell) writeSettingsFile(name string, data []byte) (string, error) {
	if c.settingsDir == "" {
		dir, err := os.MkdirTemp("", "endivehill-measure-")
		if err != nil {
			return "", errors.Wrap(err, "create a directory for settings")
		}
		c.settingsDir = dir
	}
	path := filepath.Join(c.settingsDir, name)
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "write settings")
}

// freePorts returns n loopback addresses whose ports were free when checked.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// stop ends the node. A process is killed without a planned stop, because nothing is
// measured any more.
func (n *Node) stop() {
	if n.process != nil {
		_ = n.process.Process.Signal(syscall.SIGKILL) // fails if the process has already ended
	} else if n.cancel != nil {
		n.cancel()
	}
	if n.process != nil || n.cancel != nil {
		<-n.done
	}
}

func (c *Cell) removeSettingsDir() {
	if c.settingsDir != "" {
		os.RemoveAll(c.settingsDir)
	}
}
