package dev

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/standin"
)

// Fault is the fault that a run injects in the middle of its load.
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

// injectFault injects the fault after a third of the load.
func (c *devCell) injectFault(ctx context.Context) {
	if c.options.Fault == NoFault || !clock.Sleep(ctx, c.options.Duration/3) {
		return
	}
	c.printf("fault: %s\n", c.options.Fault)
	c.recorder.Add(history.Record{Kind: history.FaultBegin, Reason: string(c.options.Fault)})
	switch c.options.Fault {
	case NodeStop:
		if err := c.nodes.restartFirstNode(); err != nil {
			c.printf("restart of the first node failed: %v\n", err)
		}
	case StoreOutage:
		c.standins.Table.UpdateFaults(func(f *standin.Faults) { f.Down = true })
		time.Sleep(c.options.Duration / 4)
		c.standins.Table.UpdateFaults(func(f *standin.Faults) { f.Down = false })
	case VMLost:
		for _, pool := range c.config.Pools {
			c.standins.LoseVM(c.firstVM(pool.Name))
		}
	}
	c.recorder.Add(history.Record{Kind: history.FaultEnd, Reason: string(c.options.Fault)})
	c.printf("fault ended: %s\n", c.options.Fault)
}

// firstVM returns the ID of the first recorded VM of a pool.
func (c *devCell) firstVM(pool string) string {
	for _, r := range c.recorder.Records() {
		if r.Kind == history.VMCapacity && len(r.VM) > len(pool) && r.VM[:len(pool)+1] == pool+"-" {
			return r.VM
		}
	}
	return ""
}
