package overload

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Behavior of a crowd. It is fixed: a client that is refused or closed comes again until it
// has made its attempts.
const (
	crowdSize     = 200
	completeEvery = 10      // one client in so many completes its bodies
	attempts      = 3       // of each client
	maxReturns    = 100_000 // attempts of a client that comes again until the crowd stops
	holdTime      = 3 * time.Second
	dialTimeout   = time.Second

	pieceBytes      = 8 << 10
	pieceInterval   = 20 * time.Millisecond
	largeChunkBytes = 64 << 10
	smallChunkBytes = 2
)

// sending is how the clients of a crowd send a body.
type sending struct {
	name    string
	chunked bool
	// write writes the encoded body.
	write func(w io.Writer, encoded []byte) error
	// chunkBytes is the size of the chunks of a chunked body.
	chunkBytes int
}

var sendings = []sending{
	{name: "whole", write: writeAll},
	{name: "piece by piece", write: writePieces},
	{name: "large chunks", chunked: true, chunkBytes: largeChunkBytes, write: writeAll},
	{name: "small chunks", chunked: true, chunkBytes: smallChunkBytes, write: writeAll},
}

func writeAll(w io.Writer, encoded []byte) error {
	_, err := w.Write(encoded)
	return err
}

func writePieces(w io.Writer, encoded []byte) error {
	for len(encoded) > 0 {
		n := min(pieceBytes, len(encoded))
		if _, err := w.Write(encoded[:n]); err != nil {
			return err
		}
		encoded = encoded[n:]
		time.Sleep(pieceInterval)
	}
	return nil
}

// chunk encodes a body with the chunked transfer coding.
func chunk(body []byte, size int) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	out.WriteString("0\r\n\r\n")
	return out.Bytes()
}

// crowd is a number of clients that send large bodies at the same time. Most of them stop
// short of the end of the body and keep the connection open until the server closes it.
type crowd struct {
	address string
	sending sending
	body    []byte
	// header returns the request line and the header of a request, without that of the body.
	header func() string
	// allComplete is set if all clients complete their bodies.
	allComplete bool
	// size is the number of clients; crowdSize if 0.
	size int
	// until, if not nil, is closed when the clients stop; they come again until then.
	until <-chan struct{}

	encoded   []byte
	clients   sync.WaitGroup
	connected atomic.Int64
	statuses  sync.Map // status code -> *atomic.Int64
}

func (c *crowd) encode() {
	c.encoded = c.body
	if c.sending.chunked {
		c.encoded = chunk(c.body, c.sending.chunkBytes)
	}
}

func (c *crowd) start() {
	c.encode()
	for n := range cmp.Or(c.size, crowdSize) {
		complete := c.allComplete || n%completeEvery == 0
		c.clients.Go(func() {
			if c.until != nil {
				c.keepComing(complete)
				return
			}
			for range attempts {
				c.attempt(complete)
			}
		})
	}
}

// keepComing repeats attempts until the crowd stops.
func (c *crowd) keepComing(complete bool) {
	for range maxReturns {
		select {
		case <-c.until:
			return
		default:
			c.attempt(complete)
		}
	}
}

// attempt sends one request, and keeps its connection until the server responds and closes
// it, or holdTime is over.
func (c *crowd) attempt(complete bool) {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	c.connected.Add(1)
	if err := conn.SetDeadline(time.Now().Add(holdTime)); err != nil {
		return
	}
	encoded := c.encoded
	if !complete {
		encoded = encoded[:len(encoded)-1]
		if c.sending.chunked {
			encoded = c.encoded[:len(c.encoded)-len("\r\n0\r\n\r\n")]
		}
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		if writeAll(conn, []byte(c.head())) == nil {
			_ = c.sending.write(conn, encoded) // the server may refuse the rest
		}
	}()
	c.receive(conn, complete)
	_ = conn.Close() // ends the writes
	<-written
}

func (c *crowd) head() string {
	if c.sending.chunked {
		return c.header() + "Transfer-Encoding: chunked\r\n\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", c.header(), len(c.body))
}

func (c *crowd) receive(conn net.Conn, complete bool) {
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return // closed, or held until the end
	}
	defer resp.Body.Close()
	count, _ := c.statuses.LoadOrStore(resp.StatusCode, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
	_, _ = io.Copy(io.Discard, resp.Body) // may be cut short
	if !complete {
		_, _ = io.Copy(io.Discard, in) // until the server closes the connection
	}
}

func (c *crowd) wait() { c.clients.Wait() }

// run starts the crowd, waits until it has gone, and logs the responses that it has received.
func (c *crowd) run(t *testing.T) {
	t.Helper()
	c.start()
	c.wait()
	t.Log(c.summary())
}

// serveBeside starts a crowd and repeats an ordinary call until the crowd has gone. It
// returns how many calls succeeded.
func serveBeside(c *crowd, p *process, call func() bool) int {
	c.start()
	gone := make(chan struct{})
	go func() {
		c.wait()
		close(gone)
	}()
	served := 0
	for p.alive() {
		select {
		case <-gone:
			return served
		default:
		}
		if call() {
			served++
		}
	}
	return served
}

// summary lists how many responses with each status the crowd has received.
func (c *crowd) summary() string {
	out := []string{fmt.Sprintf("%d connections", c.connected.Load())}
	c.statuses.Range(func(status, count any) bool {
		out = append(out, fmt.Sprintf("%v: %d", status, count.(*atomic.Int64).Load()))
		return true
	})
	return strings.Join(out, ", ")
}

// pad returns a JSON object padded with white space to a size.
func pad(object string, size int) []byte {
	return []byte(strings.TrimSuffix(object, "}") + strings.Repeat(" ", size-len(object)) + "}")
}

// manyObjects returns a JSON object of a size whose field is a list of empty objects.
func manyObjects(field string, size int) []byte {
	const element = "{},"
	head := fmt.Sprintf(`{%q:[`, field)
	n := (size - len(head) - len("{}]}")) / len(element)
	return []byte(head + strings.Repeat(element, n) + "{}]}")
}

// maxBodyHeaderBytes is the length of the longest header of a body and the end of the header.
const maxBodyHeaderBytes = len("Transfer-Encoding: chunked\r\n\r\n")

// padHeader adds a field to a header, so that it has a size with the header of the body.
func padHeader(header string, size int) string {
	const name, end = "X-Padding: ", "\r\n"
	return header + name + strings.Repeat("x", size-len(header)-len(name)-len(end)-maxBodyHeaderBytes) + end
}

// single sends one complete request and returns the status of the response.
func (c *crowd) single() (int, error) {
	c.encode()
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	go func() {
		if writeAll(conn, []byte(c.head())) == nil {
			_ = c.sending.write(conn, c.encoded) // the response tells
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
