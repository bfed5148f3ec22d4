package overload

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/standin"
	"github.com/endivehill/endivehill/test/loopback"
)

// Default limits of `endivehill serve` for a call.
const (
	serveBodyBytes   = 1 << 20
	serveHeaderBytes = 16 << 10
)

// Machine of the nodes under test, and their limits on it. The settings of `endivehill serve`
// don't state the memory of the machine.
const (
	serveMemoryMB        = 160
	serveFiles           = 4096
	serveBodyMemoryBytes = 24 << 20
	serveMaxConnections  = 150 // below the size of the crowd
	// otherFiles are the descriptors for everything but callers.
	otherFiles = 200
)

const (
	serveQueue     = "cutting.order"
	serveTeam      = "cutting"
	operatorSecret = "operator-secret"
	callTimeout    = 10 * time.Second
)

// serveNode is a cell with one entry node.
type serveNode struct {
	*process
	secret   string // key of the team
	client   *client.Client
	requests atomic.Int64
}

func serveConfiguration() api.Configuration {
	resources := api.Resources{CpuMillis: 16_000, MemoryMb: 32_000, Slots: 8}
	return api.Configuration{
		Format: 1, Cell: "test",
		Pools: []api.Pool{{
			Name: "desk", Region: "north", VmCapacity: resources, Connections: 64, VmCount: 2, ExecutorPartitions: 1,
			Racks: []api.Rack{{Name: "desk-rack-1", FailureDomain: "north-a", Vms: 2}},
		}},
		Teams: []api.Team{{Name: serveTeam, Share: 1, Limit: api.Resources{CpuMillis: 32_000, MemoryMb: 64_000, Slots: 16}}},
		Queues: []api.Queue{{
			Name: serveQueue, Team: serveTeam, Pool: "desk", Class: api.ClassRequest, Urgency: api.UrgencyNormal, Idempotent: true, DeadlineMs: 8_000,
		}},
	}
}

// startServe starts an entry node with limits, applies a configuration, and waits until an
// ordinary request is answered.
func startServe(t *testing.T, limits map[string]any) *serveNode {
	t.Helper()
	return launchServe(t, limits, launch{})
}

func launchServe(t *testing.T, limits map[string]any, how launch) *serveNode {
	t.Helper()
	configuration := serveConfiguration()
	standins, err := standin.NewCell(&configuration, standin.CellOptions{Execute: func(*api.ExecutorCall) standin.ExecutionResult {
		return standin.ExecutionResult{Status: http.StatusOK, Body: []byte("done")}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standins.Close)
	httpAddress, peerAddress := loopback.FreeAddress(t), loopback.FreeAddress(t)
	host, _, err := net.SplitHostPort(httpAddress)
	if err != nil {
		t.Fatal(err)
	}
	standins.VMs.SetEntryVMs([]string{host})
	hash := sha256.Sum256([]byte(operatorSecret))
	s := &serveNode{process: startProcess(t, "serve", httpAddress, map[string]any{
		"node": "node-1", "region": "north", "failure_domain": "north-a",
		"http_address": httpAddress, "peer_address": peerAddress, "store_address": standins.PlatformAddress,
		"operator_key_sha256": hex.EncodeToString(hash[:]), "limits": limits,
	}, how)}
	operator := s.newClient(operatorSecret)
	until(t, "the configuration is applied", func() bool {
		_, err := operator.Apply(context.Background(), api.ConfigApply{Document: configuration})
		return err == nil
	})
	until(t, "a key is granted", func() bool {
		granted, err := operator.GrantKey(context.Background(), api.KeyGrant{Team: serveTeam, Role: api.RoleCaller})
		s.secret = granted.Secret
		return err == nil
	})
	s.client = s.newClient(s.secret)
	until(t, "an ordinary request is answered", s.send)
	return s
}

func (s *serveNode) newClient(secret string) *client.Client {
	s.t.Helper()
	c, err := client.New(client.Options{Addresses: []string{s.address}, Key: secret, Timeout: callTimeout})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// send sends an ordinary request.
func (s *serveNode) send() bool {
	resp, err := s.client.Send(context.Background(), client.Request{Queue: serveQueue, ID: s.newID(), Body: []byte("ordinary")})
	return err == nil && resp.Status == http.StatusOK
}

func (s *serveNode) newID() string { return fmt.Sprintf("r-%d", s.requests.Add(1)) }

// header returns the header of a new request.
func (s *serveNode) header() string { return s.headerOf("/v1/queues/" + serveQueue + "/requests") }

func (s *serveNode) headerOf(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\n", path, s.address, s.secret, s.newID())
}

// lowLimits are the limits of the nodes that meet a crowd.
func lowLimits() map[string]any {
	return map[string]any{"max_body_memory_bytes": serveBodyMemoryBytes}
}

// checkAfterwards checks the process after a crowd has gone.
func (s *serveNode) checkAfterwards(b bounds) {
	s.t.Helper()
	s.check(b)
	if s.alive() {
		until(s.t, "an ordinary request is answered after the crowd", s.send)
	}
}

// Guards against bodies that together exceed the memory of a node: each is within the
// limits, most stop one byte short of their end.
func TestServeSurvivesManyLargeBodies(t *testing.T) {
	for _, sending := range sendings {
		t.Run(sending.name, func(t *testing.T) {
			s := startServe(t, lowLimits())
			crowd := &crowd{address: s.address, sending: sending, body: make([]byte, serveBodyBytes-1), header: s.header}
			crowd.run(t)
			s.checkAfterwards(bounds{memoryMB: serveMemoryMB, files: serveFiles})
		})
	}
}

// Guards against complete bodies that decode to many times their size.
func TestServeSurvivesBodiesThatDecodeToManyObjects(t *testing.T) {
	s := startServe(t, lowLimits())
	crowd := &crowd{address: s.address, sending: sendings[0], body: manyObjects("resources", serveBodyBytes), allComplete: true}
	crowd.header = func() string { return s.headerOf("/v1/jobs") }
	crowd.run(t)
	s.checkAfterwards(bounds{memoryMB: serveMemoryMB, files: serveFiles})
}

// Guards against callers that take more connections than the node may serve.
func TestServeSurvivesMoreConnectionsThanItsLimit(t *testing.T) {
	limits := lowLimits()
	limits["max_connections"] = serveMaxConnections
	s := startServe(t, limits)
	crowd := &crowd{address: s.address, sending: sendings[1], body: make([]byte, serveBodyBytes-1), header: s.header}
	crowd.run(t)
	s.checkAfterwards(bounds{memoryMB: serveMemoryMB, files: serveMaxConnections + otherFiles})
}

// Guards against callers that take the descriptors that a node needs for its upstreams, the
// platform and other nodes, because the system allows fewer than max_connections.
func TestServeKeepsDescriptorsForUpstreams(t *testing.T) {
	const files = crowdSize // fewer than the crowd and the node need together
	s := launchServe(t, lowLimits(), launch{files: files})
	crowd := &crowd{address: s.address, sending: sendings[1], body: make([]byte, serveBodyBytes-1), header: s.header}
	crowd.run(t)
	if strings.Contains(s.logText(), "too many open files") {
		t.Errorf("the node could not open a descriptor\n%s", s.logTail())
	}
	s.checkAfterwards(bounds{memoryMB: serveMemoryMB, files: files})
}

// Guards against a crowd that leaves no room for the small bodies of ordinary callers.
func TestServeAnswersOrdinaryCallersBesideACrowd(t *testing.T) {
	s := startServe(t, lowLimits())
	crowd := &crowd{address: s.address, sending: sendings[0], body: make([]byte, serveBodyBytes-1), header: s.header}
	served := serveBeside(crowd, s.process, s.send)
	t.Log(crowd.summary())
	if served == 0 {
		t.Error("no ordinary request was answered beside the crowd")
	}
	s.checkAfterwards(bounds{memoryMB: serveMemoryMB, files: serveFiles})
}

// Guards against limits that refuse a single request whose header and body are as large as
// the limits allow.
func TestServeAnswersALargeRequestInCalm(t *testing.T) {
	s := startServe(t, lowLimits())
	for _, sending := range sendings {
		t.Run(sending.name, func(t *testing.T) {
			crowd := &crowd{address: s.address, sending: sending, body: make([]byte, serveBodyBytes)}
			crowd.header = func() string { return padHeader(s.header(), serveHeaderBytes) }
			if status, err := crowd.single(); err != nil || status != http.StatusOK {
				t.Errorf("status %d, error %v", status, err)
			}
		})
	}
	s.check(bounds{memoryMB: serveMemoryMB, files: serveFiles})
}

// Guards against a planned stop that waits for clients that have stopped in the middle of a body,
// up to the time limit for a body.
func TestServeStopsBesideStalledBodies(t *testing.T) {
	s := startServe(t, lowLimits())
	body := make([]byte, serveBodyBytes)
	for _, sending := range sendings {
		c := crowd{address: s.address, sending: sending, body: body, header: s.header}
		c.encode()
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := writeAll(conn, append([]byte(c.head()), c.encoded[:len(c.encoded)/2]...)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	until(t, "the node has stopped", func() bool { return !s.alive() })
	if state := s.cmd.ProcessState; !state.Success() {
		t.Errorf("the node has ended with %v\n%s", state, s.logTail())
	}
}
