package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/httpapi"
)

// assembleHTTP creates the HTTP server for callers and operators.
func (n *Node) assembleHTTP() error {
	limits := *n.options.Settings.Limits
	limits.MaxConnections = callerConnections(limits.MaxConnections, maxOpenFiles())
	server, err := httpapi.New(httpapi.Options{
		Requests: n.router,
		Jobs:     n.router,
		Admin:    adminAPI{n.registry},
		State:    n,
		Registry: n.registry,
		Ready:    n.Ready,
		Metrics:  n.metrics,
		Limits:   limits,
		Clock:    n.clock,
		Logger:   n.logger,
	})
	if err != nil {
		return err
	}
	n.httpAPI = server
	n.httpServer = server.HTTPServer()
	return nil
}

// serveHTTP serves until the server is shut down.
func (n *Node) serveHTTP() error {
	listener := n.httpAPI.Listener(n.httpListener)
	if n.options.TLS.HTTP != nil {
		listener = tls.NewListener(listener, n.options.TLS.HTTP)
	}
	err := n.httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "HTTP listener")
}

// StateDump returns the state of the node as JSON text.
func (n *Node) StateDump(ctx context.Context) (*api.StateDump, error) {
	state, err := json.Marshal(n.Dump(ctx))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "", "the state cannot be encoded")
	}
	return &api.StateDump{Json: string(state)}, nil
}
