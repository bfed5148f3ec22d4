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
	Name string
	HTTP string // address for callers

	Peer  Counter // bytes that other nodes exchange with it
	Store Counter // bytes that it exchanges with the table service
	List  Counter // bytes that it exchanges with the VM list

	process *exec.Cmd
	cancel  context.CancelFunc
	done    chan struct{}
}

// Usage returns what the process of the node has used.
func (n *Node) Usage() (Usage, error) { return processUsage(n.process.Process.Pid) }

func (c *Cell) startNode(i int) (*Node, error) {
	n := &Node{Name: fmt.Sprintf("node-%02d", i+1), done: make(chan struct{})}
	if c.options.Program == "" {
		return n, c.startInside(n)
	}
	return n, c.startProcess(n)
}

// startInside runs a node in this process.
func (c *Cell) startInside(n *Node) error {
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
	n.HTTP, n.cancel = running.HTTPAddress(), cancel
	go func() {
		defer close(n.done)
		_ = running.Run(ctx) // what breaks shows in what is measured
	}()
	return nil
}

// startProcess runs a node as a process of its own behind relays that count.
func (c *Cell) startProcess(n *Node) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	n.HTTP = ports[0]
	relayed, err := c.relayNode(n, ports[1])
	if err != nil {
		return err
	}
	data, err := c.settings(n, ports, relayed)
	if err != nil {
		return err
	}
	path, err := c.write(n.Name+".json", data)
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
		_ = n.process.Wait() // it ends by stop
	}()
	return nil
}

// relayNode starts the relays of a node and returns the settings that lead
// through them.
func (c *Cell) relayNode(n *Node, peer string) (map[string]any, error) {
	fields := map[string]any{}
	for _, r := range []struct {
		field, target string
		counter       *Counter
	}{
		{"peer_advertise_address", peer, &n.Peer},
		{"store_address", c.Standins.PlatformAddress, &n.Store},
		{"vm_list_address", c.Standins.PlatformAddress, &n.List},
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

// settings returns the settings file of a node that listens on two addresses.
func (c *Cell) settings(n *Node, ports []string, more map[string]any) ([]byte, error) {
	fields := map[string]any{
		"node": n.Name, "region": region, "failure_domain": region + "-a",
		"http_address": ports[0], "peer_address": ports[1], "store_address": c.Standins.PlatformAddress,
		"operator_key_sha256": c.operatorHash(), "log_level": string(api.LogLevelError),
	}
	maps.Copy(fields, c.options.Settings)
	maps.Copy(fields, more)
	data, err := json.Marshal(fields)
	return data, errors.Wrap(err, "encode settings")
}

// write writes a file to the directory of the cell and returns its name.
func (c *Cell) write(name string, data []byte) (string, error) {
	if c.dir == "" {
		dir, err := os.MkdirTemp("", "endivehill-measure-")
		if err != nil {
			return "", errors.Wrap(err, "directory for settings")
		}
		c.dir = dir
	}
	path := filepath.Join(c.dir, name)
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "write settings")
}

// freePorts returns loopback addresses that were free a moment ago.
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

// stop ends the node without a planned stop when it is a process, because
// nothing is measured any more.
func (n *Node) stop() {
	if n.process != nil {
		_ = n.process.Process.Signal(syscall.SIGKILL) // it may have ended
	} else if n.cancel != nil {
		n.cancel()
	}
	if n.process != nil || n.cancel != nil {
		<-n.done
	}
}

func (c *Cell) removeDir() {
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
}
