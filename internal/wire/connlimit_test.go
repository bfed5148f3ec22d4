package wire

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Guards against an owner that closes the connections of the nodes beyond a fixed number
// without a word: those nodes retried until the time of their callers was over.
func TestConnectionsOfALargeCell(t *testing.T) {
	const nodes = 300
	server, addr := serve(t, ServerOptions{MaxConns: nodes}, map[api.Method]Handler{api.MethodJobStatus: echo})
	clients := make([]*Client, nodes+1)
	for i := range clients {
		clients[i] = client(t, ClientOptions{})
	}
	var calls sync.WaitGroup
	for _, c := range clients[:nodes] {
		calls.Go(func() {
			if _, err := call(t.Context(), c, addr, "a"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	began := time.Now()
	_, err := call(ctx, clients[nodes], addr, "b")
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind != errkind.OwnerUnavailable || e.Outcome() != errkind.NotRun || !strings.Contains(err.Error(), string(errkind.ConnectionLimit)) {
		t.Errorf("beyond the limit: %v", err)
	}
	if took := time.Since(began); took > dialTimeout {
		t.Errorf("refused after %v", took)
	}
	if got := server.ConnStats(); got.Open != nodes || got.Refused == 0 {
		t.Errorf("connections: %+v", got)
	}
	clients[0].Close()
	for {
		if _, err = call(ctx, clients[nodes], addr, "b"); err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(minDialBackoff)
	}
	if err != nil {
		t.Errorf("after another connection was closed: %v", err)
	}
}

// Guards against connections that clients have lost without notice and that take the places
// of new ones.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	server, addr := serve(t, ServerOptions{MaxConns: 1}, map[api.Method]Handler{api.MethodJobStatus: echo})
	first, second := client(t, ClientOptions{}), client(t, ClientOptions{})
	if _, err := call(t.Context(), first, addr, "a"); err != nil {
		t.Fatal(err)
	}
	server.mu.Lock()
	for sc := range server.conns {
		sc.usedAt.Store(time.Now().Add(-unusedAfter).UnixNano())
	}
	server.mu.Unlock()
	if _, err := call(t.Context(), second, addr, "b"); err != nil {
		t.Errorf("the second client: %v", err)
	}
}
