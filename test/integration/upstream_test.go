package integration

import (
	"fmt"
	"slices"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/standin"
)

// deskWorkerPartition is the name of the worker partition of the desk pool.
var deskWorkerPartition = config.WorkerPartitionName(poolDesk)

// Faults of workers and VMs. All but vmListDown affect the VM of the desk pool that runs
// the most tasks.
var (
	workerUnreachable = workerFault("cut off", standin.Faults{Hang: true})
	// The worker receives calls, so that the leases of its tasks are renewed and they go
	// on running, but its answers do not reach the owner.
	workerAnswersLost     = workerFault("answers lost", standin.Faults{LoseAnswers: true})
	workerSomeAnswersLost = workerFault("some answers lost", standin.Faults{LoseNextAnswers: 6})
	vmLost                = fault{name: "VM lost", inject: func(c *Cell, _ *Node) func() {
		id := c.busiest(poolDesk)
		vm := c.vm(id)
		c.instantFault("VM %s is lost", id)
		c.Standins.LoseVM(id)
		return func() { c.replaceVM(vm) }
	}}
	vmListDown = fault{name: "VM list down", inject: func(c *Cell, _ *Node) func() {
		c.beginFault("VM list down")
		c.Standins.VMs.SetFaults(standin.Faults{Down: true})
		return func() {
			c.Standins.VMs.SetFaults(standin.Faults{})
			c.endFault("VM list down")
		}
	}}
)

func workerFault(name string, f standin.Faults) fault {
	return fault{name: "worker " + name, inject: func(c *Cell, _ *Node) func() {
		id := c.busiest(poolDesk)
		name := fmt.Sprintf("worker of %s %s", id, name)
		c.beginFault(name)
		c.Standins.Worker(id).SetFaults(f)
		c.setWorkerUnreachable(id, f.Hang)
		return func() {
			c.setWorkerUnreachable(id, false)
			c.Standins.Worker(id).SetFaults(standin.Faults{})
			c.endFault(name)
		}
	}}
}

// vms returns the VMs of a pool in the VM list.
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

// replaceVM adds a VM equal to a lost one but for its ID.
func (c *Cell) replaceVM(vm api.VM) {
	vm.Id += "-replaced"
	c.logEvent("VM %s is added", vm.Id)
	c.Standins.AddVM(vm)
}

// workerReachable reports whether calls reach the worker of a VM.
func (c *Cell) workerReachable(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unreachableWorkers[id]
}

func (c *Cell) setWorkerUnreachable(id string, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableWorkers[id] = unreachable
}
