// Package node assembles an entry node: it opens the listeners, joins the cell, runs
// the partitions that the node owns, and stops in an order that interrupts no request.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/connlimit"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/httpapi"
	"github.com/endivehill/endivehill/internal/jobs"
	"github.com/endivehill/endivehill/internal/membership"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/quota"
	"github.com/endivehill/endivehill/internal/registry"
	"github.com/endivehill/endivehill/internal/requests"
	"github.com/endivehill/endivehill/internal/router"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/wire"
)

const (
	// unreadyDelay is how long the node still accepts callers after it has become
	// unready, until the balancer sends it no more callers.
	unreadyDelay = time.Second
	// shutdownStepTimeout bounds each step of a shutdown that calls the table service.
	shutdownStepTimeout = 5 * time.Second
	// groupCommitTimeout bounds the last batch of record writes.
	groupCommitTimeout = 3 * time.Second
)

// Options configures a Node.
type Options struct {
	Settings api.Settings // with all defaults, as package settings returns them
	TLS      settings.TLS
	Logger   log.Logger
	Clock    clock.Clock // nil for the clock of the system
	Version  string
	// UnreadyDelay is the time between becoming unready and closing the listener in a
	// planned stop; 0 for the default of 1 s.
	UnreadyDelay time.Duration
}

// Node is one entry node.
type Node struct {
	options Options
	logger  log.Logger
	clock   clock.Clock
	started time.Time
	metrics *prometheus.Registry

	httpListener net.Listener
	peerListener net.Listener
	httpServer   *http.Server
	httpAPI      *httpapi.Server
	stopping     atomic.Bool

	table       *platform.StampedTable
	rawTable    *platform.TableClient
	groupCommit *platform.GroupCommit
	objects     *platform.ObjectClient
	vms         *platform.VMClient
	workers     *platform.WorkerClient
	executors   *platform.ExecutorClient
	peers       *wire.Client
	peerServer  *wire.Server

	membership   *membership.Membership
	registry     *registry.Registry
	ownership    *ownership.Ownership
	quotaManager *quota.Manager
	router       *router.Router
	partitions   *partitions
	fleet        *fleet

	jobMetrics     *jobs.Metrics
	requestMetrics *requests.Metrics
}

// New opens the listeners and assembles the node. Run starts it.
func New(o Options) (*Node, error) {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.UnreadyDelay == 0 {
		o.UnreadyDelay = unreadyDelay
	}
	n := &Node{
		options: o,
		logger:  log.With(o.Logger, "node", o.Settings.Node),
		clock:   o.Clock,
		started: o.Clock.Now(),
		metrics: prometheus.NewRegistry(),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.createPlatformClients()
	if err := n.assemble(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	var err error
	if n.httpListener, err = connlimit.Listen(n.options.Settings.HttpAddress, connlimit.DefaultBacklog); err != nil {
		return errors.Wrap(err, "listen at http_address")
	}
	if n.peerListener, err = net.Listen("tcp", n.options.Settings.PeerAddress); err != nil {
		n.httpListener.Close()
		return errors.Wrap(err, "listen at peer_address")
	}
	return nil
}

func (n *Node) closeListeners() {
	n.httpListener.Close()
	n.peerListener.Close()
}

// HTTPAddress returns the address for callers and operators.
func (n *Node) HTTPAddress() string {
	return advertised(n.options.Settings.HttpAdvertiseAddress, n.options.Settings.HttpAddress, n.httpListener)
}

// PeerAddress returns the address for other nodes.
func (n *Node) PeerAddress() string {
	return advertised(n.options.Settings.PeerAdvertiseAddress, n.options.Settings.PeerAddress, n.peerListener)
}

// advertised returns the advertise address of the settings, or the address of the
// listener if the settings only repeat the listen address, whose port the system may
// have chosen.
func advertised(advertise, listen string, l net.Listener) string {
	if advertise != "" && advertise != listen {
		return advertise
	}
	return l.Addr().String()
}

func (n *Node) createPlatformClients() {
	s, tls := n.options.Settings, n.options.TLS.Platform
	callMetrics := newPlatformMetrics(n.metrics)
	options := func(address string) platform.Options {
		return platform.Options{Address: address, TLS: tls, Hook: callMetrics.observe}
	}
	n.rawTable = platform.NewTableClient(options(s.StoreAddress))
	n.table = platform.NewStampedTable(n.rawTable)
	n.groupCommit = platform.NewGroupCommit(n.table, platform.GroupOptions{
		Spacing: func() time.Duration { return platform.BatchSpacing(len(n.membership.Members())) },
		Logger:  n.logger, Hook: callMetrics.observeBatch,
	})
	n.objects = platform.NewObjectClient(options(s.ObjectStoreAddress))
	n.vms = platform.NewVMClient(options(s.VmListAddress))
	upstream := platform.UpstreamOptions{TLS: tls, MaxResponseBytes: int64(s.Limits.MaxAnswerBytes)}
	n.workers = platform.NewWorkerClient(upstream)
	n.executors = platform.NewExecutorClient(upstream)
}

func (n *Node) assemble() error {
	n.fleet = &fleet{lister: n.vms, logger: n.logger, onRead: n.vmListRead}
	n.partitions = newPartitions(n.newRunner)
	identity := func() wire.Identity {
		self := n.membership.Self()
		return wire.Identity{Node: n.options.Settings.Node, Incarnation: self.Incarnation}
	}
	n.peers = wire.NewClient(wire.ClientOptions{Identity: identity, TLS: n.options.TLS.Peer, OnSilent: n.logSilentPeer})
	n.peerServer = wire.NewServer(wire.ServerOptions{Identity: identity, TLS: n.options.TLS.Peer, Logger: n.logger})
	n.membership = membership.New(membership.Options{
		Self: api.Member{
			Node: n.options.Settings.Node, PeerAddress: n.PeerAddress(), HttpAddress: n.HTTPAddress(),
			Region: n.options.Settings.Region, FailureDomain: n.options.Settings.FailureDomain,
		},
		Table: n.table, Caller: n.peers, Clock: n.clock, Logger: n.logger, EntryVMs: n.fleet.entryVMs,
	})
	var err error
	n.registry, err = registry.New(registry.Options{
		Table: n.table, Membership: n.membership, Caller: n.peers, Clock: n.clock, Logger: n.logger,
		OperatorKeySHA256: n.options.Settings.OperatorKeySha256, OnChange: n.registryChanged,
	})
	if err != nil {
		return err
	}
	n.ownership = ownership.New(ownership.Options{
		Table: n.table, Membership: n.membership, Clock: n.clock, Logger: n.logger,
		Partitions: n.partitionNames, NewRunner: n.partitions.addRunner,
	})
	n.quotaManager = quota.NewManager(quota.Options{
		Table: n.table, Clock: n.clock, Logger: n.logger, Limit: n.teamLimit, Unowned: n.ownership.Unowned,
	})
	n.router = router.New(router.Options{
		Local: localOwners{n.partitions}, Directory: n.ownership, Caller: n.peers,
		Config: n.config, Clock: n.clock, Logger: n.logger,
	})
	n.registerMembershipObservers()
	n.registerPeerHandlers()
	if err := n.registerMetrics(); err != nil {
		return err
	}
	return n.assembleHTTP()
}

func (n *Node) registerMembershipObservers() {
	n.membership.SetPingSources(n.registry, n.partitions)
	n.membership.AddPingObserver(n.registry)
	n.membership.AddPingObserver(n.ownership)
	n.membership.OnChange(n.ownership.Wake)
	n.membership.OnLost(n.ownership.DropAll)
}

func (n *Node) registerPeerHandlers() {
	n.peerServer.Handle(api.MethodPing, n.membership.HandlePing)
	n.peerServer.Handle(api.MethodRegistryUpdate, n.registry.HandleUpdate)
	n.peerServer.Handle(api.MethodStateDump, n.handleDump)
	for method, handler := range n.router.Handlers() {
		n.peerServer.Handle(method, handler)
	}
}

// config returns the configuration in force.
func (n *Node) config() *api.Configuration { return n.registry.Snapshot().Config }

func (n *Node) partitionNames() ([]string, bool) {
	snapshot := n.registry.Snapshot()
	if snapshot.ConfigVersion == 0 {
		return nil, false
	}
	return config.Partitions(*snapshot.Config), true
}

func (n *Node) teamLimit(team string) api.Resources {
	for _, t := range n.config().Teams {
		if t.Name == team {
			return t.Limit
		}
	}
	return api.Resources{}
}

func (n *Node) registryChanged(s *registry.Snapshot) {
	n.partitions.setConfigAndFleet(s.Config, n.fleet.byPartition(s.Config))
	n.quotaManager.LimitsChanged()
	n.ownership.Wake()
}

func (n *Node) vmListRead() {
	c := n.config()
	n.partitions.setConfigAndFleet(c, n.fleet.byPartition(c))
}

// Ready returns nil if the balancer should send callers to this node.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return errkind.New(errkind.ShuttingDown, "", "the node is stopping")
	}
	if n.membership.Isolated() {
		return errkind.New(errkind.OwnerUnavailable, "", "no other node answers the pings of this node")
	}
	return n.registry.CheckFresh()
}

// Run serves until ctx ends or a listener fails, then shuts the node down.
func (n *Node) Run(ctx context.Context) error {
	event.NodeStarted.Log(n.logger, "version", n.options.Version, "http", n.HTTPAddress(), "peer", n.PeerAddress())
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	claimCtx, stopClaims := context.WithCancel(background)
	defer stopClaims()
	serveErr := make(chan error, 2)
	var loops, claimLoop sync.WaitGroup
	for _, run := range []func(context.Context){n.fleet.run, n.membership.Run, n.registry.Run, n.quotaManager.Run} {
		loops.Go(func() { run(background) })
	}
	claimLoop.Go(func() { n.ownership.Run(claimCtx) })
	go func() { serveErr <- errors.Wrap(n.peerServer.Serve(n.peerListener), "peer listener") }()
	go func() { serveErr <- n.serveHTTP() }()

	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErr:
	}
	n.shutdown(stopClaims, &claimLoop)
	cancel()
	loops.Wait()
	n.close()
	event.NodeStopped.Log(n.logger)
	return err
}

// shutdown stops the node in an order that interrupts no request: the node first
// becomes unready for the balancer, then calls in flight finish while the partitions
// still run, then the partitions are handed over, and the session is released last.
func (n *Node) shutdown(stopClaims func(), claimLoop *sync.WaitGroup) {
	event.NodeStopping.Log(n.logger)
	n.stopping.Store(true)
	n.httpAPI.Drain()
	timeout := time.Duration(n.options.Settings.ShutdownTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, shutdownStepTimeout)
	n.membership.Leave(leaveCtx)
	cancelLeave()
	clock.Sleep(ctx, n.options.UnreadyDelay)
	if err := n.httpAPI.Shutdown(ctx, n.httpServer); err != nil {
		event.StopTimedOut.Log(n.logger, "err", err)
	}
	stopClaims()
	claimLoop.Wait()
	n.ownership.Stop(ctx)
	commitCtx, cancelCommit := context.WithTimeout(context.Background(), groupCommitTimeout)
	n.groupCommit.Close(commitCtx)
	cancelCommit()
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancelRelease()
	if err := n.membership.Release(releaseCtx); err != nil {
		event.ReleaseFailed.Log(n.logger, "err", err)
	}
	_ = n.peerServer.Shutdown(ctx) // the only error is a timeout of ctx
}

func (n *Node) close() {
	n.partitions.close()
	n.peers.Close()
	n.httpServer.Close()
	n.rawTable.Close()
	n.objects.Close()
	n.vms.Close()
	n.executors.CloseIdleConnections()
	n.workers.CloseIdleConnections()
}

func (n *Node) handleDump(ctx context.Context, _ []byte) (msgp.Marshaler, error) {
	return n.StateDump(ctx)
}

// ConfigVersion returns the version of the configuration in force at this node.
func (n *Node) ConfigVersion() int { return int(n.registry.Snapshot().ConfigVersion) }

// PartitionCount returns the number of partitions that this node owns.
func (n *Node) PartitionCount() int { return len(n.ownership.Held()) }

func (n *Node) logSilentPeer(s wire.SilentConn) {
	event.PeerSilent.Log(n.logger, s.LogFields()...)
}
