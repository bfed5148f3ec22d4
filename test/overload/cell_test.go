package overload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/platform"
	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/loopback"
)

// Limits of the platform for the calls of clients.
const (
	cellBodyBytes   = 256 << 10
	cellHeaderBytes = 16 << 10
)

// Machine of the settings of the nodes under test.
const (
	cellMemoryMB = 96
	cellFiles    = 4096
	fewFiles     = 200 // of the machine of the test that looks at descriptors
)

const (
	cellQueue  = "work"
	cellTeam   = "team"
	cellSecret = "secret"
)

var taskSteps = []standin.Step{{Count: 1, Size: api.Resources{CpuMillis: 10, MemoryMb: 1}, RunTime: 10 * time.Millisecond}}

// cellNode is a node of a cell.
type cellNode struct {
	*process
	number   int
	name     string
	settings *api.CellSettings
	platform *standin.Platform
	client   *standin.Client
	works    atomic.Int64
}

// machine is the part of the settings of a node that describes its machine.
type machine struct {
	memoryMB, files int
	env             []string // additional variables of the environment
}

// startCell starts a cell with one node on a machine with so many descriptors, and waits
// until it is ready.
func startCell(t *testing.T, maxOpenFiles int) *cellNode {
	t.Helper()
	return startNodes(t, 1, machine{memoryMB: cellMemoryMB, files: maxOpenFiles})[0]
}

// startNodes starts a cell with nodes on machines of one kind, and waits until they are ready.
func startNodes(t *testing.T, count int, m machine) []*cellNode {
	t.Helper()
	p := startPlatform(t)
	nodes := make([]*cellNode, 0, count)
	for i := range count {
		nodes = append(nodes, startNode(t, p, i, m))
	}
	for _, n := range nodes {
		until(t, n.name+" is ready", n.isReady)
	}
	return nodes
}

func startPlatform(t *testing.T) *standin.Platform {
	t.Helper()
	p, err := standin.Start(standin.Options{
		Pools:  []standin.Pool{{Name: "desk", Count: 4, Capacity: api.Resources{CpuMillis: 64000, MemoryMb: 65536}}},
		Queues: []standin.Queue{{Name: cellQueue, Pool: "desk"}},
		Teams:  []standin.Team{{Name: cellTeam, Keys: []string{cellSecret}, Weight: 1, Limit: api.Resources{CpuMillis: 256000, MemoryMb: 262144}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

func startNode(t *testing.T, p *standin.Platform, number int, m machine) *cellNode {
	t.Helper()
	level := api.LogLevelInfo
	s := api.CellSettings{
		Node: fmt.Sprintf("node-%d", number), FailureDomain: fmt.Sprintf("zone-%d", number), LogLevel: &level,
		HttpAddress: loopback.FreeAddress(t), ReadyAddress: loopback.FreeAddress(t), PeerAddress: loopback.FreeAddress(t),
		MetricsAddress: loopback.FreeAddress(t), StoreAddress: p.StoreAddress, AdviserAddress: p.AdviserAddress,
		CpuShare: "1", MemoryMb: fmt.Sprint(m.memoryMB), MaxOpenFiles: fmt.Sprint(m.files),
		DrainTime: "2s", GraceTime: "4s", RevokeTime: "5s",
		MaxTaskLease: "6s", StopTimeout: "200ms", GangTimeout: "3s", HarmTime: "4s", NoticeTime: "4500ms",
		StatusRetention: "120s", RestoreTime: "600ms", RemoteFactor: "1.5",
	}
	c := &cellNode{process: startProcess(t, "cell", s.HttpAddress, &s, launch{env: m.env}), number: number, name: s.Node, settings: &s, platform: p}
	c.client = standin.NewClient(p, []string{s.HttpAddress}, cellTeam, cellSecret)
	return c
}

func (c *cellNode) isReady() bool {
	status, _ := get("http://" + c.settings.ReadyAddress + platform.PathReady)
	return status == http.StatusOK
}

// ownsCell reports whether the node says that it owns the cell.
func (c *cellNode) ownsCell() bool {
	_, text := get("http://" + c.settings.MetricsAddress + "/metrics")
	return strings.Contains(text, "\nendivehill_cell_owner 1")
}

// get returns the status, 0 for none, and the body of a response.
func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// newID returns the ID of a work that no node of the cell has.
func (c *cellNode) newID() string {
	const maxWorks = 1 << 32 // of one node
	return fmt.Sprintf("%016x", int64(c.number)*maxWorks+c.works.Add(1))
}

// newWork returns the ID of a work that the platform knows.
func (c *cellNode) newWork() string {
	id := c.newID()
	c.platform.RegisterWork(id, cellTeam, "p", taskSteps)
	return id
}

// header returns the header of a submission of a new work.
func (c *cellNode) header() string { return c.client.SubmissionHeader(cellQueue, c.newWork()) }

// submit submits an ordinary work.
func (c *cellNode) submit() bool {
	status, err := c.client.Submit(context.Background(), 0, cellQueue, c.newID(), "p", taskSteps)
	return err == nil && status == http.StatusOK
}

// workBody returns a valid submission of a size.
func workBody(size int) []byte {
	return pad(`{"spec":"p","steps":[{"count":1,"cpu":10,"memMb":1,"estimateMs":10}]}`, size)
}

// checkAfterwards checks the process after a crowd has gone.
func (c *cellNode) checkAfterwards(b bounds) {
	c.t.Helper()
	c.check(b)
	if c.alive() {
		until(c.t, "an ordinary submission is accepted after the crowd", c.submit)
	}
}

// Guards against bodies that together exceed the memory of a node: each is within the
// limits, most stop one byte short of their end.
func TestCellSurvivesManyLargeBodies(t *testing.T) {
	for _, s := range sendings {
		t.Run(s.name, func(t *testing.T) {
			c := startCell(t, cellFiles)
			crowd := &crowd{address: c.address, sending: s, body: workBody(cellBodyBytes - 1), header: c.header}
			crowd.run(t)
			c.checkAfterwards(bounds{memoryMB: cellMemoryMB, files: cellFiles})
		})
	}
}

// Guards against complete bodies that decode to many times their size.
func TestCellSurvivesBodiesThatDecodeToManyObjects(t *testing.T) {
	c := startCell(t, cellFiles)
	crowd := &crowd{address: c.address, sending: sendings[0], body: manyObjects("steps", cellBodyBytes), header: c.header, allComplete: true}
	crowd.run(t)
	c.checkAfterwards(bounds{memoryMB: cellMemoryMB, files: cellFiles})
}

// Guards against connections of callers that take the descriptors that a node needs for the
// platform, its workers and the other nodes.
func TestCellSurvivesMoreConnectionsThanDescriptors(t *testing.T) {
	c := startCell(t, fewFiles)
	crowd := &crowd{address: c.address, sending: sendings[1], body: workBody(cellBodyBytes - 1), header: c.header}
	crowd.run(t)
	c.checkAfterwards(bounds{memoryMB: cellMemoryMB, files: fewFiles})
}

// Guards against a crowd that leaves no room for the small bodies of ordinary callers.
func TestCellServesOrdinaryCallersBesideACrowd(t *testing.T) {
	c := startCell(t, cellFiles)
	crowd := &crowd{address: c.address, sending: sendings[0], body: workBody(cellBodyBytes - 1), header: c.header}
	served := serveBeside(crowd, c.process, c.submit)
	t.Log(crowd.summary())
	if served == 0 {
		t.Error("no ordinary submission was accepted beside the crowd")
	}
	c.checkAfterwards(bounds{memoryMB: cellMemoryMB, files: cellFiles})
}

// Guards against limits that refuse a single request whose header and body are as large as
// the platform allows.
func TestCellServesALargeRequestInCalm(t *testing.T) {
	c := startCell(t, cellFiles)
	for _, s := range sendings {
		t.Run(s.name, func(t *testing.T) {
			crowd := &crowd{address: c.address, sending: s, body: workBody(cellBodyBytes)}
			crowd.header = func() string { return padHeader(c.header(), cellHeaderBytes) }
			if status, err := crowd.single(); err != nil || status != http.StatusOK {
				t.Errorf("status %d, error %v", status, err)
			}
		})
	}
	c.check(bounds{memoryMB: cellMemoryMB, files: cellFiles})
}
