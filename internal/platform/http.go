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
)

// Bounds of every call.
const (
	defaultCallTimeout     = 3 * time.Second
	dialTimeout            = 2 * time.Second
	keepAlivePeriod        = 15 * time.Second
	maxResponseHeaderBytes = 16 << 10
	maxErrorTextBytes      = 256
	maxSmallBodyBytes      = 1 << 20
	// Services keep idle connections at least 30 s (docs/platform.md), so that a
	// call is not written to a connection that the other side has just closed.
	idleTimeout = 10 * time.Second
	// Idle connections kept to one service.
	idleConnsPerHost = 16
)

// Options of a client.
type Options struct {
	// Address is host:port, optionally followed by a path prefix.
	Address string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Timeout bounds each call; 0 for 3 s.
	Timeout time.Duration
	// Hook, if not nil, is called after each call.
	Hook func(Call)
}

// Call describes a finished call, for metrics.
type Call struct {
	Service string // table, objects or vms
	Op      string // get, scan, commit, put, delete or list
	Elapsed time.Duration
	Err     error // as the caller gets it
}

// service is the part that the clients have in common.
type service struct {
	name    string
	base    string
	client  *http.Client
	timeout time.Duration
	hook    func(Call)
}

func newService(name string, o Options) *service {
	if o.Timeout <= 0 {
		o.Timeout = defaultCallTimeout
	}
	if o.Hook == nil {
		o.Hook = func(Call) {}
	}
	return &service{
		name:    name,
		base:    baseURL(o.Address, o.TLS),
		client:  newClient(o.TLS, 0),
		timeout: o.Timeout,
		hook:    o.Hook,
	}
}

// Close closes the idle connections.
func (s *service) Close() { s.client.CloseIdleConnections() }

// observe reports a call to the hook. It is deferred with the start time.
func (s *service) observe(op string, start time.Time, err *error) {
	s.hook(Call{Service: s.name, Op: op, Elapsed: time.Since(start), Err: *err})
}

// baseURL returns the URL of an address that may end in a path prefix.
func baseURL(address string, config *tls.Config) string {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return scheme + strings.TrimSuffix(address, "/")
}

// newClient returns an HTTP/1.1 client that follows no redirects, so that a
// call is never sent to another place. maxConns is per host; 0 for no bound.
func newClient(config *tls.Config, maxConns int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialTracked(dialTimeout),
			TLSClientConfig:        config,
			TLSHandshakeTimeout:    dialTimeout,
			TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{}, // no HTTP/2
			DisableCompression:     true,
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    idleConnsPerHost,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends the request of s once and reads the whole answer. sent tells, if
// there is an error, whether the request may have reached the service.
func call(ctx context.Context, client *http.Client, s *sling.Sling, limit int64) (a answer, sent bool, err error) {
	req, err := s.Request()
	if err != nil {
		return answer{}, false, errors.Wrap(err, "build the request")
	}
	if req.Method == http.MethodPost {
		req.GetBody = nil // net/http must not resend it
	}
	var d delivery
	resp, err := client.Do(req.WithContext(d.context(ctx)))
	if err != nil {
		return answer{}, d.sent(), err
	}
	defer resp.Body.Close()
	body, err := readAnswer(resp, limit)
	if err != nil {
		return answer{}, true, err
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, true, nil
}

// readAnswer reads a body of at most limit bytes and checks its length.
func readAnswer(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("the answer has no length, so a cut could not be noticed")
	}
	if resp.ContentLength > limit {
		return nil, errors.Errorf("the answer has %d bytes, allowed are %d", resp.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("the answer has more than %d bytes", limit)
	}
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return nil, errors.Errorf("the answer has %d bytes, announced were %d", len(body), resp.ContentLength)
	}
	return body, nil
}

// decode parses the body of an answer with status 200.
func (a answer) decode(v any) error {
	if a.status != http.StatusOK {
		return a.failure()
	}
	return errors.Wrap(json.Unmarshal(a.body, v), "decode the answer")
}

// failure describes an answer that is not a success.
func (a answer) failure() error {
	text := a.body[:min(len(a.body), maxErrorTextBytes)]
	return fmt.Errorf("status %d: %q", a.status, strings.TrimSpace(string(text)))
}

// refusedUnapplied reports whether the status says that a service did nothing
// and may do the same call later.
func (a answer) refusedUnapplied() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
}

// refusedInvalid reports whether the status says that the call is malformed.
func (a answer) refusedInvalid() bool {
	return a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError &&
		a.status != http.StatusTooManyRequests
}

// joined returns an error that is kind and tells cause.
func joined(kind, cause error) error { return fmt.Errorf("%w: %w", kind, cause) }
