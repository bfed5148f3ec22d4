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

// MaxObjectBytes is the largest object.
const MaxObjectBytes = 64 << 20

// ObjectClient is the HTTP client of the object store.
type ObjectClient struct{ *service }

// NewObjectClient returns a client of the object store.
func NewObjectClient(o Options) *ObjectClient { return &ObjectClient{newService("objects", o)} }

// Put stores an object, replacing an earlier one.
func (c *ObjectClient) Put(ctx context.Context, key string, data []byte) (err error) {
	defer c.observe("put", time.Now(), &err)
	if len(data) > MaxObjectBytes {
		return fmt.Errorf("%w: object %q has %d bytes, allowed are %d", ErrInvalid, key, len(data), MaxObjectBytes)
	}
	return c.write(ctx, sling.New().Put(c.url(key)).Body(bytes.NewReader(data)))
}

// Get returns an object.
func (c *ObjectClient) Get(ctx context.Context, key string) (data []byte, err error) {
	defer c.observe("get", time.Now(), &err)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a, _, err := call(ctx, c.client, sling.New().Get(c.url(key)), MaxObjectBytes)
	if err != nil {
		return nil, joined(ErrUnavailable, err)
	}
	switch {
	case a.status == http.StatusOK:
		return a.body, nil
	case a.status == http.StatusNotFound:
		return nil, fmt.Errorf("%w: %q", ErrNotFound, key)
	case a.refusedInvalid():
		return nil, joined(ErrInvalid, a.failure())
	}
	return nil, joined(ErrUnavailable, a.failure())
}

// Delete removes an object. Removing a missing object is no error.
func (c *ObjectClient) Delete(ctx context.Context, key string) (err error) {
	defer c.observe("delete", time.Now(), &err)
	return c.write(ctx, sling.New().Delete(c.url(key)))
}

func (c *ObjectClient) url(key string) string { return c.base + PathObjects + url.PathEscape(key) }

func (c *ObjectClient) write(ctx context.Context, req *sling.Sling) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a, sent, err := call(ctx, c.client, req, maxSmallBodyBytes)
	if err != nil {
		return writeError(sent, err)
	}
	if err := refusal(a); err != nil {
		return err
	}
	if a.status != http.StatusNoContent {
		return joined(ErrAmbiguous, a.failure())
	}
	return nil
}
