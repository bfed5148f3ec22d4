package cellnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/endivehill/endivehill/platform/standin"
)

// Guards against a planned stop that reads a request and closes the connection without a
// response.
func TestPlannedStopAnswersTheRequestsThatItReads(t *testing.T) {
	c := startCell(t, 2, testOptions(2))
	n := c.nodes[0]
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
