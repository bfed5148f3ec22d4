// Package client calls the HTTP API for callers and operators. Every call has a
// context, a timeout and a limit on the size of the response.
package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	// DefaultTimeout is the timeout of one call, including all its attempts.
	DefaultTimeout = 30 * time.Second
	// dialTimeout is the timeout of connecting to one address.
	dialTimeout = 2 * time.Second
	// maxResponseBytes is the largest response body that is read. It exceeds the
	// largest response of an upstream that the settings allow.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes is the largest response header that is read.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	Addresses []string      // host:port, optionally with http:// or https://, tried in order
	Key       string        // key sent with each call; may be empty
	TLS       *tls.Config   // for https:// addresses; if not nil, also for addresses without a scheme
	Timeout   time.Duration // timeout of one call; DefaultTimeout if 0
}

// Client calls the API at the first of its addresses that accepts a connection.
// It is safe for concurrent use.
type Client struct {
	baseURLs []string
	key      string
	timeout  time.Duration
	http     *http.Client
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errkind.New(errkind.InvalidArgument, "address", "no address is given")
	}
	c := &Client{key: o.Key, timeout: o.Timeout}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	for _, address := range o.Addresses {
		base, err := baseURL(address, o.TLS != nil)
		if err != nil {
			return nil, err
		}
		c.baseURLs = append(c.baseURLs, base)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			TLSClientConfig:        o.TLS,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		// Redirects are not followed: they would send the key to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func baseURL(address string, secure bool) (string, error) {
	scheme, host := "http", address
	if secure {
		scheme = "https"
	}
	if before, after, ok := strings.Cut(address, "://"); ok {
		scheme, host = before, after
	}
	_, port, err := net.SplitHostPort(host)
	if err != nil || port == "" || (scheme != "http" && scheme != "https") {
		return "", errkind.New(errkind.InvalidArgument, "address", "value %q must be host:port, http://host:port or https://host:port", address)
	}
	return scheme + "://" + host + "/", nil
}

// apiCall is one call of the API, independent of the address it is sent to.
type apiCall struct {
	method string
	path   string
	query  any // struct with url tags, or nil
	body   []byte
	header map[string]string
}

// response is a complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends the call to the first address that accepts a connection.
func (c *Client) send(ctx context.Context, call apiCall) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last error
	for _, base := range c.baseURLs {
		out, err := c.sendTo(ctx, base, call)
		if err == nil || !notConnected(err) || ctx.Err() != nil {
			return out, transportError(err, call.method)
		}
		last = err
	}
	return response{}, transportError(last, call.method)
}

func (c *Client) sendTo(ctx context.Context, base string, call apiCall) (response, error) {
	req, err := c.newRequest(base, call)
	if err != nil {
		return response{}, err
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, errors.Wrap(err, "read the response")
	}
	if len(body) > maxResponseBytes {
		return response{}, errors.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func (c *Client) newRequest(base string, call apiCall) (*http.Request, error) {
	s := sling.New().Base(base).Path(call.path)
	switch call.method {
	case http.MethodPost:
		s = s.Post("")
	case http.MethodDelete:
		s = s.Delete("")
	default:
		s = s.Get("")
	}
	if call.query != nil {
		s = s.QueryStruct(call.query)
	}
	if call.body != nil {
		s = s.Body(strings.NewReader(string(call.body)))
	}
	if c.key != "" {
		s = s.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range call.header {
		s = s.Set(name, value)
	}
	req, err := s.Request()
	return req, errors.Wrap(err, "build the request")
}

// notConnected reports whether err means that no connection was established.
func notConnected(err error) bool {
	var op *net.OpError
	return stderrors.As(err, &op) && op.Op == "dial"
}

// nothingSent reports whether err means that nothing of the request was sent.
func nothingSent(err error) bool {
	var certificate *tls.CertificateVerificationError
	var record tls.RecordHeaderError
	return notConnected(err) || stderrors.As(err, &certificate) || stderrors.As(err, &record)
}

// transportError gives a transport error the kind that tells whether the work has
// run: if nothing was sent, it has not; otherwise a call other than GET may have run.
func transportError(err error, method string) error {
	switch {
	case err == nil:
		return nil
	case stderrors.Is(err, context.Canceled):
		return errkind.Wrap(err, kindOrOutcomeUnknown(method, err, errkind.Canceled), "", "the call was interrupted")
	case notConnected(err):
		return errkind.Wrap(err, errkind.OwnerUnavailable, "address", "no node accepts connections")
	default:
		return errkind.Wrap(err, kindOrOutcomeUnknown(method, err, errkind.OwnerUnavailable), "", "no complete response was received")
	}
}

// kindOrOutcomeUnknown returns kind for a GET or a request that was not sent. For any
// other call it returns OutcomeUnknown, because the call may have changed something.
func kindOrOutcomeUnknown(method string, err error, kind errkind.Kind) errkind.Kind {
	if method == http.MethodGet || nothingSent(err) {
		return kind
	}
	return errkind.OutcomeUnknown
}

// roundTrip encodes in unless it is nil, sends the call and decodes the
// response into out.
func (c *Client) roundTrip(ctx context.Context, call apiCall, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode the request")
		}
		call.body = body
		call.header = map[string]string{"Content-Type": "application/json"}
	}
	resp, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	if err := apiError(resp); err != nil {
		return err
	}
	if resp.status < http.StatusOK || resp.status >= http.StatusMultipleChoices {
		return errkind.New(errkind.ProtocolMismatch, "address", "the response has status %d and no error body", resp.status)
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return errkind.Wrap(err, kindOrOutcomeUnknown(call.method, err, errkind.ProtocolMismatch), "", "the response is not the JSON that the API defines")
	}
	return nil
}
