package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/event"
)

const (
	vmListInterval = time.Second     // between two reads of the VM list
	vmListTimeout  = 2 * time.Second // for one read
)

// vmLister reads the VM list from the platform.
type vmLister interface {
	Listing(ctx context.Context) (*api.VMListing, error)
}

// fleet polls the VM list and keeps the last one that was read.
type fleet struct {
	lister vmLister
	logger log.Logger
	onRead func() // called after each successful read

	mu      sync.Mutex
	listing api.VMListing
	known   bool
}

// run polls the VM list until ctx ends.
func (f *fleet) run(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := f.poll(ctx)
		if err != nil && ctx.Err() == nil && !failing {
			event.VMListFailed.Log(f.logger, "err", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *fleet) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	listing, err := f.lister.Listing(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.listing = *listing
	f.known = true
	f.mu.Unlock()
	f.onRead()
	return nil
}

// entryVMs returns the IP addresses of the live entry VMs in the last list.
func (f *fleet) entryVMs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listing.EntryVms
}

// byPartition returns the VMs of each partition of a configuration, or nil before
// the first list.
func (f *fleet) byPartition(c *api.Configuration) map[string][]api.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return nil
	}
	out := map[string][]api.VM{}
	for _, vm := range f.listing.Vms {
		if config.FindPool(*c, vm.Pool) == nil {
			continue
		}
		if vm.WorkerAddress != "" {
			name := config.WorkerPartitionName(vm.Pool)
			out[name] = append(out[name], vm)
		}
		if vm.ExecutorAddress != "" {
			name := config.ExecutorPartitionOfVM(*c, vm)
			out[name] = append(out[name], vm)
		}
	}
	return out
}
