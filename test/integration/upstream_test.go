package integration

import (
	"fmt"
	"slices"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/standin"
)

// deskWorkers is the worker partition of the desk pool.
var deskWorkers = config.WorkerPartitionName(poolDesk)

// Faults of workers and VMs. They hit the VM of the desk pool that runs the most
// tasks.
var (
	workerCut = workerFault("cut off", standin.Faults{Hang: true})
	// The tasks on a deaf worker go on, because their leases are renewed, but their
	// owner does not hear of them.
	workerDeaf  = workerFault("answers lost", standin.Faults{LoseAnswers: true})
	workerLossy = workerFault("some answers lost", standin.Faults{LoseNextAnswers: 6})
	vmLost      = fault{name: "VM lost", begin: func(c *Cell, _ *Node) func() {
		id := c.busiest(poolDesk)
		vm := c.vm(id)
		c.fault("VM %s is lost", id)
		c.Standins.Lose(id)
		return func() { c.replaceVM(vm) }
	}}
	listDown = fault{name: "VM list down", begin: func(c *Cell, _ *Node) func() {
		c.begin("VM list down")
		c.Standins.VMs.SetFaults(standin.Faults{Down: true})
		return func() {
			c.Standins.VMs.SetFaults(standin.Faults{})
			c.end("VM list down")
		}
	}}
)

func workerFault(name string, f standin.Faults) fault {
	return fault{name: "worker " + name, begin: func(c *Cell, _ *Node) func() {
		id := c.busiest(poolDesk)
		name := fmt.Sprintf("worker of %s %s", id, name)
		c.begin(name)
		c.Standins.Worker(id).SetFaults(f)
		c.setSilent(id, f.Hang)
		return func() {
			c.setSilent(id, false)
			c.Standins.Worker(id).SetFaults(standin.Faults{})
			c.end(name)
		}
	}}
}

// vms returns the VMs of a pool that the list shows.
func (c *Cell) vms(pool string) []api.VM {
	return slices.DeleteFunc(slices.Clone(c.Standins.VMs.Listing().Vms), func(vm api.VM) bool { return vm.Pool != pool })
}

func (c *Cell) vm(id string) api.VM {
	c.t.Helper()
	for _, vm := range c.Standins.VMs.Listing().Vms {
		if vm.Id == id {
			return vm
		}
	}
	c.t.Fatalf("VM %q is not listed", id)
	return api.VM{}
}

// busiest returns the VM of a pool that runs the most tasks.
func (c *Cell) busiest(pool string) string {
	most := slices.MaxFunc(c.vms(pool), func(a, b api.VM) int {
		return len(c.Standins.Worker(a.Id).Running()) - len(c.Standins.Worker(b.Id).Running())
	})
	return most.Id
}

// replaceVM adds a VM like one that is gone. Its ID is another one.
func (c *Cell) replaceVM(vm api.VM) {
	vm.Id += "-replaced"
	c.note("VM %s is added", vm.Id)
	c.Standins.AddVM(vm)
}

// reachable reports whether the worker of a VM gets calls.
func (c *Cell) reachable(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.silent[id]
}

func (c *Cell) setSilent(id string, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[id] = silent
}
