// Package cellnode assembles a node that runs on the users' platform: the entry
// for submitters, the election and, while this node owns the cell, its owner.
package cellnode

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/entry"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/owner"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
	"github.com/endivehill/endivehill/platform"
)

// Timing of a node.
const (
	configWait       = 500 * time.Millisecond // how long a call of the owner or a standby waits for a new configuration
	configWaitRest   = 2 * time.Second        // and one of another node, which hears of it from the owner
	fetchTimeout     = 400 * time.Millisecond
	freshShare       = 0.6 // of the time within which a withdrawn key must stop working
	unreadyTime      = 2300 * time.Millisecond
	handOverTimeout  = 1500 * time.Millisecond
	stopReserve      = 700 * time.Millisecond // before the platform kills the process
	readHeaderTime   = 3 * time.Second
	readTime         = 5 * time.Second
	idleTime         = 20 * time.Second
	maxHeaderBytes   = 16 << 10
	memoryLimitShare = 0.45 // of the VM's memory for the Go heap
)

// Options configures a Node.
type Options struct {
	Settings settings.Cell
	Logger   log.Logger
	Clock    clock.Clock
	// Dropped returns the number of log lines that were dropped; nil if that is not
	// known.
	Dropped func() int64
}

// Node is one process of the cell.
type Node struct {
	options  Options
	settings *settings.Cell
	logger   log.Logger
	clock    clock.Clock

	metrics  *metrics
	gate     *entry.Gate
	entry    *entry.Entry
	owner    *owner.Owner
	election *election.Agent
	peers    *wire.Client
	server   *wire.Server
	store    rows.Store

	document  atomic.Pointer[api.ConfigDocument] // configuration in force
	fetching  atomic.Bool
	storeSeen atomic.Int64 // boot time of the last answer of the table service
	stopping  atomic.Bool

	front, ready, meter *http.Server
	background          sync.WaitGroup
}

// New assembles a node. Run starts it.
func New(o Options) *Node {
	n := &Node{options: o, settings: &o.Settings, clock: o.Clock, logger: log.With(o.Logger, "node", o.Settings.Node)}
	debug.SetMemoryLimit(int64(memoryLimitShare * o.Settings.MemoryMB * (1 << 20)))
	n.metrics = newMetrics()
	n.gate = entry.NewGate(n.clock, time.Duration(freshShare*float64(o.Settings.RevokeTime)))
	n.connect()
	n.assembleFront()
	n.metrics.registry.MustRegister(&nodeCollector{n})
	return n
}

func (n *Node) connect() {
	s := n.settings
	holder := election.Holder{Node: s.Node, Incarnation: uuid.NewString(), Address: s.PeerAdvertise}
	identity := func() wire.Identity { return wire.Identity{Node: holder.Node, Incarnation: holder.Incarnation} }
	n.peers = wire.NewClient(wire.ClientOptions{Identity: identity})
	n.server = wire.NewServer(wire.ServerOptions{Identity: identity, Logger: n.logger})
	store := platform.NewStore(platform.NewClient(platform.ServiceConns), s.Store)
	store.OnServed = func() { n.storeSeen.Store(int64(n.clock.Boot())) }
	n.storeSeen.Store(int64(n.clock.Boot()))
	n.store = &measuredStore{store, n.metrics}
	n.owner = owner.New(owner.Options{
		Settings: s, Store: n.store, Workers: &measuredWorkers{platform.NewExecutors(platform.NewClient(platform.WorkerConns)), n.metrics},
		Adviser: &measuredAdviser{platform.NewAdviser(platform.NewClient(platform.ServiceConns), s.Adviser), n.metrics}, Peers: n.peers,
		Fleet:       &platform.Fleet{Store: n.store, Clock: n.clock, Logger: n.logger},
		SelfAddress: s.PeerAdvertise, Config: n.config, Successor: func() string { return n.election.Successor() }, Clock: n.clock, Logger: n.logger,
	})
	n.election = election.NewAgent(election.Options{
		Holder: holder, Store: n.store, Caller: n.peers, Drop: n.peers.Drop, Clock: n.clock, Logger: n.logger,
		Owner: n.owner, CPUMilli: int(s.CPUShare * 1000),
		Config: n.gate.Version, OnOwnerConfig: n.ownerConfig,
		StoreSeen: func() time.Duration { return time.Duration(n.storeSeen.Load()) },
	})
	n.server.Handle(api.MethodConfigDocument, n.handleConfigDocument)
	n.entry = entry.New(entry.Options{View: n.election.View, Owner: n.owner, Peers: n.peers, Clock: n.clock})
	n.server.Handle(api.MethodOwnerPing, n.election.HandlePing)
	n.server.Handle(api.MethodTakeOver, n.election.HandleTakeOver)
	for method, handler := range n.owner.Handlers() {
		n.server.Handle(method, handler)
	}
}

func (n *Node) config() *work.Config { return n.gate.Config() }

func (n *Node) assembleFront() {
	front := &platform.Front{
		Admission: n.gate, Submissions: n.entry, Closing: n.stopping.Load, Answered: n.answered,
	}
	n.front = n.newServer(front)
	n.ready = n.newServer(platform.Ready(n.isReady))
	n.meter = n.newServer(n.metricsHandler())
}

func (n *Node) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTime, ReadTimeout: readTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (n *Node) isReady() bool { return !n.stopping.Load() && n.gate.Fresh() && n.entry.Ready() }

func (n *Node) answered(method, id string, c entry.Caller, status int, took time.Duration, err error) {
	n.metrics.answer(method, status, took)
	if method == http.MethodGet && status == http.StatusOK {
		return // polls are frequent and change nothing
	}
	queue := ""
	if c.Queue != nil {
		queue = c.Queue.Name
	}
	event.CallerAnswered.Log(n.logger, "method", method, "work", id, "queue", queue, "team", c.Team, "config", c.Version,
		"status", status, "took_ms", took.Milliseconds(), "err", err)
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	if err := n.listen(); err != nil {
		return err
	}
	event.NodeStarted.Log(n.logger, "http", n.settings.HTTPAddress, "peer", n.settings.PeerAddress, "metrics", n.settings.Metrics,
		"cpu_share", n.settings.CPUShare, "memory_mb", n.settings.MemoryMB)
	running, stop := context.WithCancel(context.Background())
	n.goRun(func() { n.followConfig(running) })
	n.goRun(func() { n.election.Run(running) })
	<-ctx.Done()
	event.NodeStopping.Log(n.logger)
	n.shutdown()
	stop()
	n.background.Wait()
	event.NodeStopped.Log(n.logger)
	return nil
}

func (n *Node) goRun(f func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f()
	}()
}

// listening is an address and what is served there.
type listening struct {
	address string
	serve   func(net.Listener) error
}

func (n *Node) listen() error {
	serve := []listening{
		{n.settings.PeerAddress, n.server.Serve},
		{n.settings.HTTPAddress, n.front.Serve},
		{n.settings.ReadyAddress, n.ready.Serve},
	}
	if n.settings.Metrics != "" {
		serve = append(serve, listening{n.settings.Metrics, n.meter.Serve})
	}
	for _, s := range serve {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		go func() { _ = s.serve(l) }() // ends when the server is shut down
	}
	return nil
}

// shutdown hands the cell over, lets the balancer notice that the node is not
// ready, and answers what has been read.
func (n *Node) shutdown() {
	grace := n.settings.GraceTime - stopReserve
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	n.stopping.Store(true)
	n.election.Stop()
	handOver, done := context.WithTimeout(ctx, handOverTimeout)
	n.owner.HandOver(handOver)
	done()
	clock.Sleep(ctx, unreadyTime)
	if err := n.front.Shutdown(ctx); err != nil {
		event.StopTimedOut.Log(n.logger, "err", err)
	}
	_ = n.ready.Close()
	_ = n.meter.Close()
	_ = n.server.Shutdown(ctx)
	n.peers.Close()
}
