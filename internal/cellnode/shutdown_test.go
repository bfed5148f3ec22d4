package cellnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/platform/standin"
)

// Guards against a planned stop that reads a request and closes the connection without a
// response.
func TestPlannedStopAnswersTheRequestsThatItReads(t *testing.T) {
	c := startCell(t, 2, testOptions(2))
	c.stopAndRequest(t, c.nodes[0])
}

// Guards against a planned stop whose handover takes so long, because the table service is
// slow, that no time is left for requests.
func TestPlannedStopWithASlowHandover(t *testing.T) {
	c := startCell(t, 2, testOptions(2))
	owner := c.nodes[0]
	if view, _ := owner.node.election.View(); !view.Self {
		owner = c.nodes[1]
	}
	c.platform.Store.Faults.SetDelay(1200 * time.Millisecond)
	c.stopAndRequest(t, owner)
	c.platform.Store.Faults.SetDelay(0)
}

// stopAndRequest stops a node, sends it a request on an open connection once it accepts no
// more, and checks the response.
func (c *testCell) stopAndRequest(t *testing.T, n *testNode) {
	t.Helper()
	conn, err := net.Dial("tcp", n.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	n.stop()
	c.eventually(5*time.Second, "refusing connections", func() bool {
		probe, err := net.Dial("tcp", n.callerAddress)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	})
	if _, err := io.WriteString(conn, "GET /open/ HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response to a request during a planned stop: %v", err)
	}
	_ = resp.Body.Close()
	if !resp.Close {
		t.Error("the response does not close the connection")
	}
}

// stopLog keeps the log line of the end of a planned stop.
type stopLog struct {
	mu   sync.Mutex
	line map[any]any
}

// Log implements log.Logger.
func (l *stopLog) Log(keyvals ...any) error {
	line := map[any]any{}
	for i := 0; i+1 < len(keyvals); i += 2 {
		line[keyvals[i]] = keyvals[i+1]
	}
	if line["event"] == event.StopEnded.Number {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.line = line
	}
	return nil
}

// Guards against a planned stop that does not log what it cuts and how long its phases took.
func TestPlannedStopLogsItsPhases(t *testing.T) {
	var logged stopLog
	c := startLoggingCell(t, 1, testOptions(2), &logged)
	c.nodes[0].stop()
	<-c.nodes[0].done
	logged.mu.Lock()
	defer logged.mu.Unlock()
	for _, key := range []string{"in_progress", "unread", "release_ms", "unready_ms", "callers_ms", "release_rest_ms", "adviser_ms", "peers_ms"} {
		if _, ok := logged.line[key]; !ok {
			t.Errorf("%s is missing: %v", key, logged.line)
		}
	}
}
