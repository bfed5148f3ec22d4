package measure

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

const (
	formTimeout  = time.Minute // for the nodes to serve and to own all partitions
	formInterval = 100 * time.Millisecond
	callTimeout  = time.Minute
	meanRun      = 5 * time.Second // of tasks whose payload does not tell
	workerSubnet = "127.1.%d.%d"   // each worker has an address of its own, as a VM has
)

// Options of a Cell.
type Options struct {
	Shape Shape
	Nodes int
	// Program is the endivehill program. If it is empty, the nodes run inside
	// this process and nothing of them is counted.
	Program string
	// Processors bounds the processors that each process of a node uses; 0 for no
	// bound.
	Processors int
	// Settings are further fields of the settings of each node.
	Settings map[string]any
	// Work decides on the results of requests; nil for that of the stand-ins.
	Work func(in *api.ExecutorCall) standin.Work
}

// Cell is a running cell. The stand-ins run in this process.
type Cell struct {
	Config   api.Configuration
	Standins *standin.Cell
	Nodes    []*Node
	Workers  Counter // bytes between workers and nodes, if counted
	Operator *client.Client

	options Options
	secret  string // operator key
	version int    // of the configuration in force
	relays  []*relay
	dir     string
}

// Start starts a cell and waits until it serves.
func Start(ctx context.Context, o Options) (*Cell, error) {
	c := &Cell{Config: o.Shape.Configuration(), options: o, secret: "operator-" + rand.Text()}
	var err error
	c.Standins, err = standin.NewCell(&c.Config, standin.CellOptions{Recorder: history.NewWriter(discard{}), Work: o.Work, MeanRun: meanRun})
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-ins")
	}
	if err := c.form(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// discard drops the history without encoding being told of an error.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func (c *Cell) form(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	if c.options.Program != "" {
		if err := c.relayWorkers(); err != nil {
			return err
		}
	}
	var addresses []string
	for i := range c.options.Nodes {
		n, err := c.startNode(i)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
		addresses = append(addresses, n.HTTP)
	}
	var err error
	if c.Operator, err = client.New(client.Options{Addresses: addresses, Key: c.secret, Timeout: callTimeout}); err != nil {
		return err
	}
	if err := c.until(ctx, func() error { return c.Apply(ctx, c.Config) }); err != nil {
		return errors.Wrap(err, "apply the configuration")
	}
	return errors.Wrap(c.until(ctx, func() error { return c.allOwned(ctx) }), "own the partitions")
}

// relayWorkers puts a counting relay with an address of its own before each
// worker.
func (c *Cell) relayWorkers() error {
	vms := c.Standins.VMs.Listing().Vms
	for i := range vms {
		host, path, _ := strings.Cut(vms[i].WorkerAddress, "/")
		r, err := startRelay(fmt.Sprintf(workerSubnet, i/250, 1+i%250), host, &c.Workers)
		if err != nil {
			return err
		}
		c.relays = append(c.relays, r)
		vms[i].WorkerAddress = r.address() + "/" + path
	}
	c.Standins.VMs.Add(vms...)
	return nil
}

// until repeats f until it succeeds or ctx ends.
func (c *Cell) until(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, formInterval) {
			return err
		}
	}
}

// Apply makes a configuration the one in force on all nodes.
func (c *Cell) Apply(ctx context.Context, document api.Configuration) error {
	applied, err := c.Operator.Apply(ctx, api.ConfigApply{BaseVersion: c.version, Document: document})
	if err != nil {
		return err
	}
	if !applied.Confirmed {
		return errors.Errorf("version %d is not confirmed by %v", applied.Version, applied.UnconfirmedNodes)
	}
	c.Config, c.version = document, applied.Version
	return nil
}

func (c *Cell) allOwned(ctx context.Context) error {
	for _, p := range config.Partitions(c.Config) {
		if _, err := c.Owner(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// Owner returns the node that owns a partition.
func (c *Cell) Owner(ctx context.Context, partition string) (*Node, error) {
	row, err := c.Standins.Table.Get(ctx, ownership.RowKey(partition))
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, errors.Errorf("partition %s has no row", partition)
	}
	lease, err := decodeLease(row)
	if err != nil {
		return nil, err
	}
	for _, n := range c.Nodes {
		if n.Name == lease.Node && !lease.Released {
			return n, nil
		}
	}
	return nil, errors.Errorf("partition %s has no owner", partition)
}

// Lease returns the ownership row of a partition.
func (c *Cell) Lease(ctx context.Context, partition string) (api.PartitionLease, error) {
	row, err := c.Standins.Table.Get(ctx, ownership.RowKey(partition))
	if err != nil {
		return api.PartitionLease{}, err
	}
	return decodeLease(row)
}

func decodeLease(row platform.Row) (api.PartitionLease, error) {
	var lease api.PartitionLease
	_, value, err := platform.Decode(row.Value)
	if err == nil {
		_, err = lease.UnmarshalMsg(value)
	}
	return lease, errors.Wrapf(err, "row %s", row.Key)
}

// Key grants a key to a team and returns its secret.
func (c *Cell) Key(ctx context.Context, team string) (string, error) {
	granted, err := c.Operator.GrantKey(ctx, api.KeyGrant{Team: team, Role: api.RoleCaller})
	return granted.Secret, errors.Wrapf(err, "grant a key to %s", team)
}

func (c *Cell) operatorHash() string {
	sum := sha256.Sum256([]byte(c.secret))
	return hex.EncodeToString(sum[:])
}

// Close ends the cell.
func (c *Cell) Close() {
	if c.Operator != nil {
		c.Operator.Close()
	}
	for _, n := range c.Nodes {
		n.stop()
	}
	for _, r := range c.relays {
		r.close()
	}
	c.Standins.Close()
	c.removeDir()
}
