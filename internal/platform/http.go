package platform

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/hostpool"
)

// Limits of every call.
const (
	defaultCallTimeout     = 3 * time.Second
	dialTimeout            = 2 * time.Second
	keepAlivePeriod        = 15 * time.Second
	maxResponseHeaderBytes = 16 << 10
	maxErrorTextBytes      = 256
	maxSmallBodyBytes      = 1 << 20
	// idleConnTimeout is below 30 s, because services keep idle connections for at least
	// that long (docs/platform.md). A call is then not written to a connection that the
	// service has just closed.
	idleConnTimeout  = 10 * time.Second
	idleConnsPerHost = 16
)

// Options configures a client.
type Options struct {
	// Address is host:port, optionally followed by a path prefix.
	Address string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Timeout limits each call; 0 for 3 s.
	Timeout time.Duration
	// Hook, if not nil, is called after each call.
	Hook func(Call)
}

// Call describes a finished call, for metrics.
type Call struct {
	Service string // table, objects or vms
	Op      string // get, scan, commit, put, delete or list
	Elapsed time.Duration
	Err     error // as returned to the caller
}

// serviceClient is the common part of the clients of the platform's services.
type serviceClient struct {
	name    string
	base    string
	client  *http.Client
	timeout time.Duration
	hook    func(Call)
}

func newServiceClient(name string, o Options) *serviceClient {
	if o.Timeout <= 0 {
		o.Timeout = defaultCallTimeout
	}
	if o.Hook == nil {
		o.Hook = func(Call) {}
	}
	return &serviceClient{
		name:    name,
		base:    baseURL(o.Address, o.TLS),
		client:  newClient(o.TLS, 0),
		timeout: o.Timeout,
		hook:    o.Hook,
	}
}

// Close closes the idle connections.
func (s *serviceClient) Close() { s.client.CloseIdleConnections() }

// observe reports a finished call to the hook. Callers defer it with the start time.
func (s *serviceClient) observe(op string, start time.Time, err *error) {
	s.hook(Call{Service: s.name, Op: op, Elapsed: time.Since(start), Err: *err})
}

// baseURL returns the base URL for an address, which may include a path prefix.
func baseURL(address string, config *tls.Config) string {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return scheme + strings.TrimSuffix(address, "/")
}

// newClient returns an HTTP/1.1 client that follows no redirects, so that a call is
// never sent to another server. maxConns is per host; 0 for no limit.
func newClient(config *tls.Config, maxConns int) *http.Client {
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext:            dialTracked(dialTimeout),
			TLSClientConfig:        config,
			TLSHandshakeTimeout:    dialTimeout,
			TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{}, // no HTTP/2
			DisableCompression:     true,
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    idleConnsPerHost,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}
	}
	return &http.Client{
		Transport:     &hostpool.Transport{New: newTransport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// response is a completely read HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// call sends the request of s once and reads the complete response. If there is an
// error, sent tells whether the request may have reached the service.
func call(ctx context.Context, client *http.Client, s *sling.Sling, limit int64) (out response, sent bool, err error) {
	req, err := s.Request()
	if err != nil {
		return response{}, false, errors.Wrap(err, "build the request")
	}
	if req.Method == http.MethodPost {
		req.GetBody = nil // net/http must not resend the request
	}
	var d deliveryTracker
	resp, err := client.Do(req.WithContext(d.context(ctx)))
	if err != nil {
		return response{}, d.maybeWritten(), err
	}
	defer resp.Body.Close()
	body, err := readResponseBody(resp, limit)
	if err != nil {
		return response{}, true, err
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, true, nil
}

// readResponseBody reads a body of at most limit bytes and checks its length.
func readResponseBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("the response has no length, so truncation could not be detected")
	}
	if resp.ContentLength > limit {
		return nil, errors.Errorf("the response has %d bytes, limit %d", resp.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the response")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("the response exceeds %d bytes", limit)
	}
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return nil, errors.Errorf("the response has %d bytes, but Content-Length is %d", len(body), resp.ContentLength)
	}
	return body, nil
}

// decode parses the body of a response with status 200.
func (r response) decode(v any) error {
	if r.status != http.StatusOK {
		return r.statusError()
	}
	return errors.Wrap(json.Unmarshal(r.body, v), "decode the response")
}

// statusError returns an error with the status and the start of the body.
func (r response) statusError() error {
	text := r.body[:min(len(r.body), maxErrorTextBytes)]
	return fmt.Errorf("status %d: %q", r.status, strings.TrimSpace(string(text)))
}

// retryable reports whether the service rejected the call without executing it, so
// that the call can be retried later.
func (r response) retryable() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

// invalid reports whether the service rejected the call as malformed.
func (r response) invalid() bool {
	return r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError &&
		r.status != http.StatusTooManyRequests
}

// withCause returns an error that wraps both kind and cause.
func withCause(kind, cause error) error { return fmt.Errorf("%w: %w", kind, cause) }
