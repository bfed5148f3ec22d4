package overload

import (
	"context"
	"fmt"
	"net/http"
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

// cellNode is a cell with one node.
type cellNode struct {
	*process
	platform *standin.Platform
	client   *standin.Client
	works    atomic.Int64
}

// startCell starts a cell with one node on a machine with so many descriptors, and waits
// until it is ready.
func startCell(t *testing.T, maxOpenFiles int) *cellNode {
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
	level := api.LogLevelInfo
	s := api.CellSettings{
		Node: "node-0", FailureDomain: "zone-0", LogLevel: &level,
		HttpAddress: loopback.FreeAddress(t), ReadyAddress: loopback.FreeAddress(t), PeerAddress: loopback.FreeAddress(t),
		MetricsAddress: loopback.FreeAddress(t), StoreAddress: p.StoreAddress, AdviserAddress: p.AdviserAddress,
		CpuShare: "1", MemoryMb: fmt.Sprint(cellMemoryMB), MaxOpenFiles: fmt.Sprint(maxOpenFiles),
		DrainTime: "2s", GraceTime: "4s", RevokeTime: "5s",
		MaxTaskLease: "6s", StopTimeout: "200ms", GangTimeout: "3s", HarmTime: "4s", NoticeTime: "4500ms",
		StatusRetention: "120s", RestoreTime: "600ms", RemoteFactor: "1.5",
	}
	c := &cellNode{process: startProcess(t, "cell", s.HttpAddress, &s), platform: p}
	c.client = standin.NewClient(p, []string{s.HttpAddress}, cellTeam, cellSecret)
	until(t, "the node is ready", func() bool {
		resp, err := http.Get("http://" + s.ReadyAddress + platform.PathReady)
		if err != nil {
			return false
		}
		_ = resp.Body.Close() // nothing was read
		return resp.StatusCode == http.StatusOK
	})
	return c
}

// newWork returns the ID of a work that the platform knows.
func (c *cellNode) newWork() string {
	id := fmt.Sprintf("%016x", c.works.Add(1))
	c.platform.RegisterWork(id, cellTeam, "p", taskSteps)
	return id
}

// header returns the header of a submission of a new work.
func (c *cellNode) header() string { return c.client.SubmissionHeader(cellQueue, c.newWork()) }

// submit submits an ordinary work.
func (c *cellNode) submit() bool {
	status, err := c.client.Submit(context.Background(), 0, cellQueue, fmt.Sprintf("%016x", c.works.Add(1)), "p", taskSteps)
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
