package platform

import (
	"context"
	"time"

	"github.com/dghubble/sling"

	"github.com/endivehill/endivehill/internal/api"
)

// VMClient is the HTTP client of the VM list.
type VMClient struct{ *serviceClient }

// NewVMClient returns a client of the VM list.
func NewVMClient(o Options) *VMClient { return &VMClient{newServiceClient("vms", o)} }

// List returns the live and leaving upstream VMs.
func (c *VMClient) List(ctx context.Context) ([]api.VM, error) {
	listing, err := c.Listing(ctx)
	if err != nil {
		return nil, err
	}
	return listing.Vms, nil
}

// Listing returns the live and leaving upstream VMs and the addresses of the live entry
// VMs.
func (c *VMClient) Listing(ctx context.Context) (listing *api.VMListing, err error) {
	defer c.observe("list", time.Now(), &err)
	listing = new(api.VMListing)
	if err := c.read(ctx, sling.New().Get(c.base+PathVMs), maxScanBodyBytes, listing); err != nil {
		return nil, err
	}
	return listing, nil
}
