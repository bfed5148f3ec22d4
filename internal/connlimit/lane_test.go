package connlimit

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// allSlotsFree reports whether no connection holds a slot of a lane.
func (l *lane) allSlotsFree() bool {
	n := int64(newLaneSlots())
	if !l.slots.TryAcquire(n) {
		return false
	}
	l.slots.Release(n)
	return true
}

func (s *testServer) waitForFreeSlots() {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !s.limiter.newcomers.allSlotsFree() || !s.limiter.bulk.allSlotsFree(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("slots are held although all connections wait")
		}
	}
}

// Guards against connections that hold a slot while they wait for their clients, so that others
// are not served.
func TestConnectionsThatWaitHoldNoSlot(t *testing.T) {
	for name, text := range map[string]string{
		"no byte":                "",
		"part of a header":       "GET / HTTP/1.1\r\nHost",
		"part of a body":         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx",
		"part of a large body":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 20000),
		"part of a chunked body": "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2\r\nxx\r\n", 5000),
		"request being served":   blockedRequest,
		"response not read":      "POST /rejected HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nx",
		"header too large":       "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 2<<20),
	} {
		t.Run(name, func(t *testing.T) {
			const noLimit = 0
			s := newServerWithLimit(t, false, noLimit)
			defer close(s.release)
			go func() {
				for range s.blocked { // else their handlers wait before they are served
				}
			}()
			for range 2*newLaneSlots() + 1 {
				go func() { _, _ = io.WriteString(s.dial(""), text) }() // the server may not read all of it
			}
			time.Sleep(20 * time.Millisecond) // for the bytes to arrive
			if got := status(s.dial(ordinaryRequest)); got != 200 {
				t.Errorf("another request got status %d", got)
			}
			s.waitForFreeSlots()
		})
	}
}

// Guards against a slot that is lost or released twice when net/http reads ahead of a request
// that is being served, or when a client goes away.
func TestSlotsAreFreeAfterAllConnections(t *testing.T) {
	const limit = 8 // below the number of clients
	s := newServerWithLimit(t, false, limit)
	requests := []string{
		ordinaryRequest,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nxxxxx",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxxxxx\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000),
		"POST /rejected HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2\r\nxx\r\n", 3000),
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\nx",
	}
	const clients, rounds = 16, 30
	var group sync.WaitGroup
	for n := range clients {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		group.Go(func() {
			for range rounds {
				conn, err := net.Dial("tcp", s.Server.Listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				for range 1 + random.IntN(3) { // pipelined
					_, _ = fmt.Fprint(conn, requests[random.IntN(len(requests))]) // the server may have closed it
				}
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
				_, _ = io.Copy(io.Discard, conn) // ends at the deadline
				_ = conn.Close()
			}
		})
	}
	group.Wait()
	s.waitForFreeSlots()
	if got := status(s.dial(ordinaryRequest)); got != 200 {
		t.Errorf("a request afterwards got status %d", got)
	}
}
