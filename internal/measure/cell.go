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
	formationTimeout    = time.Minute // until the configuration is applied and all partitions have an owner
	retryInterval       = 100 * time.Millisecond
	callTimeout         = time.Minute
	meanRun             = 5 * time.Second // mean run time of tasks whose payload sets none
	workerAddressFormat = "127.1.%d.%d"   // each worker has its own address, like a VM
)

// Options configures a Cell.
type Options struct {
	Shape Shape
	Nodes int
	// Program is the path of the endivehill program. If it is empty, the nodes run
	// in this process and their usage and traffic are not measured.
	Program string
	// Processors is GOMAXPROCS of each node process; 0 leaves the default.
	Processors int
	// Settings are additional fields in the settings of each node.
	Settings map[string]any
	// Execute returns the result of a request; nil for the default of the stand-ins.
	Execute func(in *api.ExecutorCall) standin.ExecutionResult
}

// Cell is a running cell. Its stand-ins run in this process.
type Cell struct {
	Config         api.Configuration
	Standins       *standin.Cell
	Nodes          []*Node
	WorkerTraffic  Counter // traffic between nodes and workers, if measured
	OperatorClient *client.Client

	options       Options
	operatorKey   string
	configVersion int // of the configuration in force
	relays        []*relay
	settingsDir   string
}

// Start starts a cell and waits until all its partitions have an owner.
func Start(ctx context.Context, o Options) (*Cell, error) {
	c := &Cell{Config: o.Shape.Configuration(), options: o, operatorKey: "operator-" + rand.Text()}
	var err error
	c.Standins, err = standin.NewCell(&c.Config, standin.CellOptions{Recorder: history.NewStreamRecorder(discardWriter{}), Execute: o.Execute, MeanRun: meanRun})
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-ins")
	}
	if err := c.startNodes(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// discardWriter discards the history.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// startNodes starts the nodes, applies the configuration and waits until every
// partition has an owner.
func (c *Cell) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, formationTimeout)
	defer cancel()
	if c.options.Program != "" {
		if err := c.startWorkerRelays(); err != nil {
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
		addresses = append(addresses, n.HTTPAddress)
	}
	var err error
	if c.OperatorClient, err = client.New(client.Options{Addresses: addresses, Key: c.operatorKey, Timeout: callTimeout}); err != nil {
		return err
	}
	if err := c.retryUntilDone(ctx, func() error { return c.Apply(ctx, c.Config) }); err != nil {
		return errors.Wrap(err, "apply the configuration")
	}
	return errors.Wrap(c.retryUntilDone(ctx, func() error { return c.checkAllOwned(ctx) }), "wait for owners of all partitions")
}

// startWorkerRelays starts a relay with its own address in front of each worker, to
// count the traffic.
func (c *Cell) startWorkerRelays() error {
	vms := c.Standins.VMs.Listing().Vms
	for i := range vms {
		host, path, _ := strings.Cut(vms[i].WorkerAddress, "/")
		r, err := startRelay(fmt.Sprintf(workerAddressFormat, i/250, 1+i%250), host, &c.WorkerTraffic)
		if err != nil {
			return err
		}
		c.relays = append(c.relays, r)
		vms[i].WorkerAddress = r.address() + "/" + path
	}
	c.Standins.VMs.Add(vms...)
	return nil
}

// retryUntilDone calls f until it succeeds or ctx ends.
func (c *Cell) retryUntilDone(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, retryInterval) {
			return err
		}
	}
}

// Apply applies a configuration. It fails unless all nodes confirm it.
func (c *Cell) Apply(ctx context.Context, document api.Configuration) error {
	applied, err := c.OperatorClient.Apply(ctx, api.ConfigApply{BaseVersion: c.configVersion, Document: document})
	if err != nil {
		return err
	}
	if !applied.Confirmed {
		return errors.Errorf("version %d is not confirmed by %v", applied.Version, applied.UnconfirmedNodes)
	}
	c.Config, c.configVersion = document, applied.Version
	return nil
}

func (c *Cell) checkAllOwned(ctx context.Context) error {
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

// PartitionLease returns the ownership row of a partition.
func (c *Cell) PartitionLease(ctx context.Context, partition string) (api.PartitionLease, error) {
	row, err := c.Standins.Table.Get(ctx, ownership.RowKey(partition))
	if err != nil {
		return api.PartitionLease{}, err
	}
	return decodeLease(row)
}

func decodeLease(row platform.Row) (api.PartitionLease, error) {
	var lease api.PartitionLease
	_, value, err := platform.DecodeStamped(row.Value)
	if err == nil {
		_, err = lease.UnmarshalMsg(value)
	}
	return lease, errors.Wrapf(err, "row %s", row.Key)
}

// GrantKey grants a key to a team and returns its secret.
func (c *Cell) GrantKey(ctx context.Context, team string) (string, error) {
	granted, err := c.OperatorClient.GrantKey(ctx, api.KeyGrant{Team: team, Role: api.RoleCaller})
	return granted.Secret, errors.Wrapf(err, "grant a key to %s", team)
}

func (c *Cell) operatorHash() string {
	sum := sha256.Sum256([]byte(c.operatorKey))
	return hex.EncodeToString(sum[:])
}

// Close stops the nodes, the relays and the stand-ins.
func (c *Cell) Close() {
	if c.OperatorClient != nil {
		c.OperatorClient.Close()
	}
	for _, n := range c.Nodes {
		n.stop()
	}
	for _, r := range c.relays {
		r.close()
	}
	c.Standins.Close()
	c.removeSettingsDir()
}
