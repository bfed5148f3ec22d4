package dev

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/standin"
)

// Fault is what a run brings about in the middle of its load.
type Fault string

// Faults of a run.
const (
	NoFault     Fault = ""
	NodeStop    Fault = "node-stop"    // planned stop and restart of one node
	StoreOutage Fault = "store-outage" // the table service is down for a quarter of the load
	VMLost      Fault = "vm-lost"      // one VM of each pool is lost with all its work
)

// Faults returns the names of all faults.
func Faults() []string { return []string{string(NodeStop), string(StoreOutage), string(VMLost)} }

// fault brings the fault about after a third of the load.
func (c *cell) fault(ctx context.Context) {
	if c.opts.Fault == NoFault || !clock.Sleep(ctx, c.opts.Duration/3) {
		return
	}
	c.printf("fault: %s\n", c.opts.Fault)
	c.recorder.Add(history.Record{Kind: history.FaultBegin, Reason: string(c.opts.Fault)})
	switch c.opts.Fault {
	case NodeStop:
		if err := c.nodes.restart(); err != nil {
			c.printf("restart: %v\n", err)
		}
	case StoreOutage:
		c.standins.Table.UpdateFaults(func(f *standin.Faults) { f.Down = true })
		time.Sleep(c.opts.Duration / 4)
		c.standins.Table.UpdateFaults(func(f *standin.Faults) { f.Down = false })
	case VMLost:
		for _, pool := range c.config.Pools {
			c.standins.Lose(c.firstVM(pool.Name))
		}
	}
	c.recorder.Add(history.Record{Kind: history.FaultEnd, Reason: string(c.opts.Fault)})
	c.printf("fault ended: %s\n", c.opts.Fault)
}

// firstVM returns the first VM of a pool.
func (c *cell) firstVM(pool string) string {
	for _, r := range c.recorder.Records() {
		if r.Kind == history.VMCapacity && len(r.VM) > len(pool) && r.VM[:len(pool)+1] == pool+"-" {
			return r.VM
		}
	}
	return ""
}
