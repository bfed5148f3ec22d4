package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Caller calls methods of other nodes. Errors are *errkind.Error: those whose
// outcome is not_run mean that the other side did not start the call.
type Caller interface {
	Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Identity returns what the handshake tells; it is asked for each connection.
	Identity func() Identity
	// TLS is used for all connections if not nil. The server name is the host of
	// the address unless it is set.
	TLS *tls.Config
}

// Client is a pool of connections to other nodes.
type Client struct {
	options ClientOptions
	traffic traffic

	mu     sync.Mutex
	slots  map[slotKey]*slot
	closed bool
	loops  sync.WaitGroup
}

// lane separates the messages that keep the cluster together from the traffic of
// callers, so that large bodies do not delay them.
type lane int

const (
	laneControl lane = iota
	laneTraffic
)

func laneOf(m api.Method) lane {
	if m == api.MethodPing || m == api.MethodOwnerPing || m == api.MethodRegistryUpdate {
		return laneControl
	}
	return laneTraffic
}

type slotKey struct {
	addr string
	lane lane
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, slots: map[slotKey]*slot{}}
}

// Call sends in to the node at addr and decodes its response into out.
func (c *Client) Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidArgument, "payload", "encode %s", method)
	}
	if len(payload) > MaxFrameBytes {
		return errkind.New(errkind.FrameTooLarge, "payload", "%d bytes, limit %d", len(payload), MaxFrameBytes)
	}
	conn, err := c.connect(ctx, slotKey{addr, laneOf(method)})
	if err != nil {
		return err
	}
	f, err := conn.roundTrip(ctx, method, payload)
	if err != nil {
		return err
	}
	return openResponse(f, out)
}

// openResponse decodes the response of a call, or returns its error.
func openResponse(f api.Frame, out msgp.Unmarshaler) error {
	if f.Kind == api.FrameKindError {
		var we api.WireError
		if err := decode(f.Payload, &we); err != nil {
			return errkind.Wrap(err, errkind.OutcomeUnknown, "", "malformed error from %s", f.Method)
		}
		return remoteError(&we)
	}
	if err := decode(f.Payload, out); err != nil {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "", "malformed response to %s", f.Method)
	}
	return nil
}

// remoteError returns the error that the other side reported. A kind that this
// release does not know has an unknown outcome.
func remoteError(we *api.WireError) error {
	k := errkind.Kind(we.Kind)
	if errkind.AnswerOf(k).Kind != k {
		return errkind.New(errkind.Internal, we.Field, "%s: %s", we.Kind, we.Reason)
	}
	return errkind.New(k, we.Field, "%s", we.Reason)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// connect returns the connection of a slot, dialing if there is none.
func (c *Client) connect(ctx context.Context, key slotKey) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errkind.Wrap(errClosed, errkind.OwnerUnavailable, "", "the client is closed")
	}
	s := c.slots[key]
	if s == nil {
		s = newSlot(c, key.addr)
		c.slots[key] = s
	}
	c.mu.Unlock()
	return s.get(ctx)
}

// start runs the read loop of a new connection, unless the client was closed.
func (c *Client) start(cc *clientConn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cc.fail(errClosed)
		return errClosed
	}
	c.loops.Add(1)
	go func() {
		defer c.loops.Done()
		cc.readLoop()
	}()
	return nil
}

// Close ends all connections. The outcome of running calls is unknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	slots := c.slots
	c.slots = map[slotKey]*slot{}
	c.mu.Unlock()
	for _, s := range slots {
		s.close()
	}
	c.loops.Wait()
}

// Drop ends the connections to a node that does not answer. A connection may fall
// silent without an error, while a new one would work.
func (c *Client) Drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range []lane{laneControl, laneTraffic} {
		if s := c.slots[slotKey{addr, l}]; s != nil {
			s.drop()
		}
	}
}

// Bytes returns the bytes received and sent so far.
func (c *Client) Bytes() (in, out int64) { return c.traffic.in.Load(), c.traffic.out.Load() }

// tlsConfig returns the TLS configuration for addr.
func (c *Client) tlsConfig(addr string) *tls.Config {
	conf := c.options.TLS.Clone()
	if conf.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			host = addr
		}
		conf.ServerName = host
	}
	return conf
}

// IsRefused reports whether err says that nothing listens at the address, which
// means that the process that had it is gone.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
