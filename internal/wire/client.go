package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Caller calls methods of other nodes. Errors are *errkind.Error; outcome not_run means
// that the other node did not start the call.
type Caller interface {
	Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Identity returns what the client sends in the handshake. It is called for each
	// connection.
	Identity func() Identity
	// TLS is used for all connections if not nil. The server name is the host of
	// the address unless it is set.
	TLS *tls.Config
	// Silence is the policy for silent connections; DefaultSilencePolicy if zero.
	Silence SilencePolicy
	// OnSilent, if not nil, is called for each connection that is closed as silent.
	OnSilent func(SilentConn)
}

// Client is a pool of connections to other nodes.
type Client struct {
	options  ClientOptions
	counters byteCounters
	link     *linkMonitor

	mu         sync.Mutex
	conns      map[connKey]*reconnectingConn
	closed     bool
	goroutines sync.WaitGroup
}

// trafficClass selects one of the connections to an address. Cluster control messages
// have their own connection, so that large request bodies do not delay them.
type trafficClass int

const (
	classControl trafficClass = iota
	classData
)

// String returns the name of the class in logs and metrics.
func (c trafficClass) String() string {
	if c == classControl {
		return "control"
	}
	return "data"
}

func classOf(m api.Method) trafficClass {
	if m == api.MethodPing || m == api.MethodOwnerPing || m == api.MethodRegistryUpdate {
		return classControl
	}
	return classData
}

// answeredAtOnce reports whether the other node answers a method without a wait, so that the
// time until the answer shows the round trip.
func answeredAtOnce(m api.Method) bool {
	return m == api.MethodPing || m == api.MethodOwnerPing || m == api.MethodKeepalive
}

type connKey struct {
	addr  string
	class trafficClass
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.Silence == (SilencePolicy{}) {
		o.Silence = DefaultSilencePolicy
	}
	return &Client{options: o, link: newLinkMonitor(o.Silence), conns: map[connKey]*reconnectingConn{}}
}

// Call calls a method of the node at addr with in and decodes the response into out.
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
	conn, err := c.connection(ctx, connKey{addr, classOf(method)})
	if err != nil {
		return err
	}
	f, err := conn.roundTrip(ctx, method, payload)
	if err != nil {
		return err
	}
	return decodeResponse(f, out)
}

// decodeResponse decodes the response of a call into out, or returns the error that the
// response carries.
func decodeResponse(f api.Frame, out msgp.Unmarshaler) error {
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

// remoteError returns the error that the other node reported. If this release does not
// know its kind, the outcome is unknown.
func remoteError(we *api.WireError) error {
	k := errkind.Kind(we.Kind)
	if errkind.ResponseOf(k).Kind != k {
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

// connection returns the connection of a key and dials if there is none.
func (c *Client) connection(ctx context.Context, key connKey) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errkind.Wrap(errClosed, errkind.OwnerUnavailable, "", "the client is closed")
	}
	rc := c.conns[key]
	if rc == nil {
		rc = newReconnectingConn(c, key)
		c.conns[key] = rc
	}
	c.mu.Unlock()
	return rc.get(ctx)
}

// startReading starts the read loop of a new connection, unless the client was closed.
func (c *Client) startReading(cc *clientConn) error {
	if !c.runAsync(cc.readLoop) {
		cc.closeWithError(errClosed)
		return errClosed
	}
	return nil
}

// runAsync runs f in a goroutine that Close waits for. It reports false if the client was
// closed.
func (c *Client) runAsync(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		f()
	}()
	return true
}

// Close closes all connections. The outcome of running calls is unknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = map[connKey]*reconnectingConn{}
	c.mu.Unlock()
	for _, rc := range conns {
		rc.close()
	}
	c.goroutines.Wait()
}

// minPingSilence is the silence of a control connection after which an unanswered ping
// shows that it is silent. A shorter one means that the connection is new.
const minPingSilence = 200 * time.Millisecond

// ReportUnanswered closes the control connection to a node that did not answer a ping on it
// in time, because a ping is answered at once. If the path to the node is slow, the connection
// is only probed. Its data connection is probed in both cases.
func (c *Client) ReportUnanswered(addr string) {
	if cc := c.openConn(connKey{addr, classControl}); cc != nil {
		cc.closeUnanswered(time.Now())
	}
	c.probe(connKey{addr, classData})
}

// silent handles a connection that was closed as silent: the other connections to the
// address may be silent too.
func (c *Client) silent(key connKey, s SilentConn) {
	for _, class := range []trafficClass{classControl, classData} {
		if class != key.class {
			c.probe(connKey{key.addr, class})
		}
	}
	s.Address, s.Class = key.addr, key.class.String()
	if c.options.OnSilent != nil {
		c.options.OnSilent(s)
	}
}

func (c *Client) probe(key connKey) {
	if cc := c.openConn(key); cc != nil {
		cc.probe()
	}
}

// openConn returns the open connection of a key, nil if there is none.
func (c *Client) openConn(key connKey) *clientConn {
	c.mu.Lock()
	rc := c.conns[key]
	c.mu.Unlock()
	if rc == nil {
		return nil
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.conn
}

// Bytes returns the bytes received and sent so far.
func (c *Client) Bytes() (in, out int64) { return c.counters.in.Load(), c.counters.out.Load() }

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

// IsConnectionRefused reports whether err is a refused connection: no process listens at
// the address, so the previous one has ended.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
