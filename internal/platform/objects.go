package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
)

// MaxObjectBytes is the maximum size of an object.
const MaxObjectBytes = 64 << 20

// ObjectClient is the HTTP client of the object store.
type ObjectClient struct{ *serviceClient }

// NewObjectClient returns a client of the object store.
func NewObjectClient(o Options) *ObjectClient { return &ObjectClient{newServiceClient("objects", o)} }

// Put stores an object and replaces an existing one.
func (c *ObjectClient) Put(ctx context.Context, key string, data []byte) (err error) {
	defer c.observe("put", time.Now(), &err)
	if len(data) > MaxObjectBytes {
		return fmt.Errorf("%w: object %q has %d bytes, limit %d", ErrInvalid, key, len(data), MaxObjectBytes)
	}
	return c.write(ctx, sling.New().Put(c.url(key)).Body(bytes.NewReader(data)))
}

// Get returns an object.
func (c *ObjectClient) Get(ctx context.Context, key string) (data []byte, err error) {
	defer c.observe("get", time.Now(), &err)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, _, err := call(ctx, c.client, sling.New().Get(c.url(key)), MaxObjectBytes)
	if err != nil {
		return nil, withCause(ErrUnavailable, err)
	}
	switch {
	case resp.status == http.StatusOK:
		return resp.body, nil
	case resp.status == http.StatusNotFound:
		return nil, fmt.Errorf("%w: %q", ErrNotFound, key)
	case resp.invalid():
		return nil, withCause(ErrInvalid, resp.statusError())
	}
	return nil, withCause(ErrUnavailable, resp.statusError())
}

// Delete removes an object. A missing object is not an error.
func (c *ObjectClient) Delete(ctx context.Context, key string) (err error) {
	defer c.observe("delete", time.Now(), &err)
	return c.write(ctx, sling.New().Delete(c.url(key)))
}

func (c *ObjectClient) url(key string) string { return c.base + PathObjects + url.PathEscape(key) }

func (c *ObjectClient) write(ctx context.Context, req *sling.Sling) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, sent, err := call(ctx, c.client, req, maxSmallBodyBytes)
	if err != nil {
		return writeCallError(sent, err)
	}
	if err := rejectionError(resp); err != nil {
		return err
	}
	if resp.status != http.StatusNoContent {
		return withCause(ErrAmbiguous, resp.statusError())
	}
	return nil
}
