// Package cellnode assembles a node of a cell on the external platform (package
// platform): the HTTP server for submitters, the election of the owner and, while this
// node owns the cell, the owner that schedules the works.
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
	"github.com/endivehill/endivehill/internal/bodybudget"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/connlimit"
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
	standbyConfigWait   = 500 * time.Millisecond // long poll for a new configuration by the owner or a standby
	otherNodeConfigWait = 2 * time.Second        // the same by another node, which also gets it from the owner
	storeTransferPause  = 300 * time.Millisecond // between two parts of a response of the table service that is still arriving
	storeTransferLimit  = 3 * time.Second        // of such a response; a link of 10 Mbit/s transfers 3.7 MB in it
	maxConfigAgeShare   = 0.6                    // share of the time within which a withdrawn key must stop working
	readHeaderTimeout   = 3 * time.Second
	readTimeout         = 5 * time.Second
	idleTimeout         = 20 * time.Second
	maxHeaderBytes      = 16 << 10
)

// Options configures a Node.
type Options struct {
	Settings settings.Cell
	Logger   log.Logger
	Clock    clock.Clock
	// DroppedLogLines returns the number of dropped log lines; nil if it is not known.
	DroppedLogLines func() int64
}

// Node is one node process of the cell.
type Node struct {
	options  Options
	settings *settings.Cell
	logger   log.Logger
	clock    clock.Clock

	metrics     *metrics
	traffic     traffic
	admission   *entry.Admission
	evacuations *entry.Evacuations
	forwarder   *entry.Forwarder
	owner       *owner.Owner
	adviser     *countingAdviser
	election    *election.Agent
	peerClient  *wire.Client
	peerServer  *wire.Server
	store       rows.Store

	configFollower  *rows.Follower
	installing      sync.Mutex                         // held while declarations are put in force
	configDocument  atomic.Pointer[api.ConfigDocument] // configuration in force
	fetchingConfig  atomic.Bool
	configTransfer  configTransfer // used while fetchingConfig is set
	storeAnsweredAt atomic.Int64   // boot time at which the table service last answered
	stopping        atomic.Bool

	callerServer                   *callerServer
	readinessServer, metricsServer *serviceServer
	bodies                         *bodybudget.Budget
	bodyRefusals                   *bodybudget.RefusalLog
	callerConns                    *connlimit.Limiter
	goroutines                     sync.WaitGroup
}

// New assembles a node; Run starts it.
func New(o Options) *Node {
	n := &Node{options: o, settings: &o.Settings, clock: o.Clock, logger: log.With(o.Logger, "node", o.Settings.Node)}
	debug.SetMemoryLimit(heapLimit(n.settings))
	n.metrics = newMetrics()
	n.admission = entry.NewAdmission(n.clock, time.Duration(maxConfigAgeShare*float64(o.Settings.RevokeTime)))
	n.evacuations = entry.NewEvacuations(n.settings.EvacuateTime)
	n.assembleComponents()
	n.assembleHTTPServers()
	n.metrics.registry.MustRegister(&nodeCollector{n}, bodybudget.Collector{Budget: n.bodies}, connlimit.Collector{Limiter: n.callerConns})
	return n
}

func (n *Node) assembleComponents() {
	s := n.settings
	holder := election.Holder{Node: s.Node, Incarnation: uuid.NewString(), Address: s.PeerAdvertiseAddress}
	identity := func() wire.Identity { return wire.Identity{Node: holder.Node, Incarnation: holder.Incarnation} }
	n.peerClient = wire.NewClient(wire.ClientOptions{Identity: identity, Silence: silencePolicy, OnSilent: n.recordSilentPeer})
	limits := limitsFor(s.MaxOpenFiles, s.MemoryMB)
	n.peerServer = wire.NewServer(wire.ServerOptions{
		Identity: identity, Logger: n.logger, MaxConns: limits.peers, MaxInflightBytes: peerCallMemory(s),
	})
	store := platform.NewStore(n.newPlatformClient("store", platform.ClientOptions{
		ConnsPerAddress: platform.ServiceConns, Sent: &n.traffic.store,
	}), s.StoreAddress)
	store.OnServed = func() { n.storeAnsweredAt.Store(int64(n.clock.Boot())) }
	n.storeAnsweredAt.Store(int64(n.clock.Boot()))
	n.store = &instrumentedStore{store, n.metrics}
	n.configFollower = n.newConfigFollower()
	workers := n.newPlatformClient("worker", platform.ClientOptions{
		ConnsPerAddress: platform.WorkerConns, Conns: limits.workers, DialTimeout: cell.CallTimeLimit, Sent: &n.traffic.workers,
	})
	adviser := n.newPlatformClient("adviser", platform.ClientOptions{ConnsPerAddress: platform.ServiceConns, Sent: &n.traffic.adviser})
	n.adviser = &countingAdviser{Adviser: platform.NewAdviser(adviser, s.AdviserAddress), clock: n.clock}
	executors := platform.NewExecutors(workers)
	executors.Clock = n.clock
	n.owner = owner.New(owner.Options{
		Settings: s, Store: n.store, Workers: &instrumentedWorkers{executors, n.metrics},
		Adviser: &instrumentedAdviser{n.adviser, n.metrics}, Peers: n.peerClient,
		Fleet:       &platform.ExecutorWatcher{Store: n.store, Clock: n.clock, Logger: n.logger, HeartbeatInterval: s.HeartbeatInterval},
		SelfAddress: s.PeerAdvertiseAddress, Config: n.currentConfig, Evacuations: n.evacuations.Current, Successors: func() []string { return n.election.Successors() },
		View:  func() (election.View, <-chan struct{}) { return n.election.View() },
		Clock: n.clock, Logger: n.logger,
	})
	n.election = election.NewAgent(election.Options{
		Holder: holder, Store: n.store, Caller: n.peerClient, ReportUnanswered: n.peerClient.ReportUnanswered, Clock: n.clock, Logger: n.logger,
		Owner: n.owner, CPUMillis: int(s.CPUShare * 1000), LinkKbps: int(s.LinkMbps * 1000), MemoryMB: int(s.MemoryMB), MaxOpenFiles: s.MaxOpenFiles,
		Load:   n.ownerLoad,
		Config: n.admission.Version, OnOwnerConfig: n.observeOwnerConfig,
		LastStoreAnswer: func() time.Duration { return time.Duration(n.storeAnsweredAt.Load()) },
	})
	n.peerServer.Handle(api.MethodConfigDocument, n.handleConfigDocument)
	n.forwarder = entry.NewForwarder(entry.Options{View: n.election.View, Owner: n.owner, Peers: n.peerClient, Clock: n.clock})
	n.peerServer.Handle(api.MethodOwnerPing, n.election.HandlePing)
	n.peerServer.Handle(api.MethodTakeOver, n.election.HandleTakeOver)
	for method, handler := range n.owner.Handlers() {
		n.peerServer.Handle(method, handler)
	}
}

func (n *Node) currentConfig() *work.Config { return n.admission.Config() }

func (n *Node) assembleHTTPServers() {
	n.bodies = bodybudget.New(bodybudget.Options{Bytes: bodyMemory(n.settings), MaxBodyBytes: platform.MaxBodyBytes, Now: n.clock.Boot})
	n.bodyRefusals = &bodybudget.RefusalLog{Budget: n.bodies, Logger: n.logger}
	n.callerConns = connlimit.New(connlimit.Options{Limit: callerLimit(n.settings), MaxBodyBytes: platform.MaxBodyBytes, Logger: n.logger})
	clientAPI := &platform.ClientAPI{
		Admission: n.admission, Submissions: n.forwarder, Bodies: n.bodies, CloseConnections: n.stopping.Load, OnResponse: n.recordAnswer,
	}
	n.callerServer = newCallerServer(n.newServer(clientAPI), n.callerConns)
	n.readinessServer = n.newServiceServer(platform.ReadinessHandler(n.isReady))
	n.metricsServer = n.newServiceServer(n.metricsHandler())
}

// newServiceServer returns a server for the platform and operators.
func (n *Node) newServiceServer(h http.Handler) *serviceServer {
	s := &serviceServer{n.newServer(h), connlimit.New(connlimit.Options{Limit: maxServiceConns, Logger: n.logger})}
	s.conns.Install(s.Server)
	return s
}

// serviceServer is a server with few connections.
type serviceServer struct {
	*http.Server
	conns *connlimit.Limiter
}

func (s *serviceServer) serve(l net.Listener) error { return s.Serve(s.conns.Listener(l)) }

func (n *Node) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.admission.Fresh() && n.forwarder.Ready()
}

func (n *Node) recordAnswer(method, id string, call entry.AdmittedCall, status int, took time.Duration, err error) {
	n.metrics.recordAnswer(method, status, took)
	n.bodyRefusals.Report(err)
	if method == http.MethodGet && status == http.StatusOK {
		return // successful polls are frequent and change nothing
	}
	queue := ""
	if call.Queue != nil {
		queue = call.Queue.Name
	}
	event.CallerAnswered.Log(n.logger, "method", method, "work", id, "queue", queue, "team", call.Team, "config", call.Version,
		"status", status, "took_ms", took.Milliseconds(), "err", err)
}

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	if err := n.listen(); err != nil {
		return err
	}
	event.NodeStarted.Log(n.logger, "http", n.settings.HTTPAddress, "peer", n.settings.PeerAddress, "metrics", n.settings.MetricsAddress,
		"cpu_share", n.settings.CPUShare, "memory_mb", n.settings.MemoryMB)
	event.CallerLimits.Log(n.logger, "body_bytes", n.bodies.Stats().Limit, "connections", n.callerConns.Stats().Limit, "heap_bytes", heapLimit(n.settings))
	running, stop := context.WithCancel(context.Background())
	n.runAsync(func() { n.configFollower.Run(running) })
	n.runAsync(func() { n.election.Run(running) })
	n.runAsync(func() { n.measureSendRate(running) })
	<-ctx.Done()
	event.NodeStopping.Log(n.logger)
	n.shutdown()
	stop()
	n.goroutines.Wait()
	event.NodeStopped.Log(n.logger)
	return nil
}

func (n *Node) runAsync(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

// endpoint is a listen address and the server for it.
type endpoint struct {
	address string
	listen  func(address string) (net.Listener, error)
	serve   func(net.Listener) error
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (n *Node) listen() error {
	endpoints := []endpoint{
		{n.settings.PeerAddress, listenTCP, n.peerServer.Serve},
		{n.settings.ReadyAddress, n.readinessServer.conns.Listen, n.readinessServer.serve},
	}
	if n.settings.MetricsAddress != "" {
		endpoints = append(endpoints, endpoint{n.settings.MetricsAddress, n.metricsServer.conns.Listen, n.metricsServer.serve})
	}
	for _, e := range endpoints {
		l, err := e.listen(e.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", e.address)
		}
		go func() { _ = e.serve(l) }() // ends when the server is shut down
	}
	return errors.Wrapf(n.callerServer.start(n.settings.HTTPAddress), "listen on %s", n.settings.HTTPAddress)
}
