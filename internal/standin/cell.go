package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/platform"
)

// pathVM is the path prefix before the VM's ID in the address of its worker or
// executor. All workers share one listener and all executors share another.
const pathVM = "/vm/"

// CellOptions configures a Cell.
type CellOptions struct {
	Recorder *history.Recorder // nil for a new in-memory recorder
	Seed     uint64
	MeanRun  time.Duration // mean run time of tasks whose payload sets none
	UsageLag time.Duration // age of the usage that workers report
	ListLag  time.Duration // delay until the VM list shows a change
	// Execute returns the result of a request; nil for ResultFromBody.
	Execute func(in *api.ExecutorCall) ExecutionResult
}

// Cell holds the stand-ins for the platform services and VMs of one cell, served
// on loopback ports.
type Cell struct {
	Recorder *history.Recorder
	Table    *Table
	Objects  *Objects
	VMs      *VMList

	// PlatformAddress serves the table service, the object store and the VM list.
	PlatformAddress string

	options         CellOptions
	workerAddress   string
	executorAddress string
	listeners       []*listener

	mu         sync.Mutex
	workers    map[string]*Worker
	executors  map[string]*Executor
	vmsStarted uint64 // number of VMs started, for their seeds
}

// NewCell starts the stand-ins for the platform services and for all VMs of a
// configuration.
func NewCell(c *api.Configuration, o CellOptions) (*Cell, error) {
	if o.Recorder == nil {
		o.Recorder = history.NewRecorder()
	}
	cell := &Cell{
		Recorder:  o.Recorder,
		Table:     NewTable(),
		Objects:   NewObjects(),
		VMs:       NewVMList(o.Recorder, o.ListLag),
		options:   o,
		workers:   map[string]*Worker{},
		executors: map[string]*Executor{},
	}
	if err := cell.listen(); err != nil {
		cell.Close()
		return nil, err
	}
	var vms []api.VM
	for _, pool := range c.Pools {
		for _, rack := range pool.Racks {
			for i := range rack.Vms {
				vms = append(vms, cell.startVM(vmOfRack(pool, rack, i)))
			}
		}
	}
	cell.VMs.Add(vms...)
	return cell, nil
}

func (c *Cell) listen() error {
	services := http.NewServeMux()
	services.Handle("/v1/table/", c.Table)
	services.Handle(platform.PathObjects, c.Objects)
	services.Handle(platform.PathVMs, c.VMs)
	workers := routeByVM(func(id string) http.Handler {
		if w := c.Worker(id); w != nil {
			return w
		}
		return nil
	})
	executors := routeByVM(func(id string) http.Handler {
		if e := c.Executor(id); e != nil {
			return e
		}
		return nil
	})
	for _, l := range []struct {
		address *string
		handler http.Handler
	}{{&c.PlatformAddress, services}, {&c.workerAddress, workers}, {&c.executorAddress, executors}} {
		started, err := listen(l.handler, c.Recorder)
		if err != nil {
			return err
		}
		c.listeners = append(c.listeners, started)
		*l.address = started.address
	}
	return nil
}

// routeByVM forwards a call to the handler of the VM named in its path.
func routeByVM(find func(id string) http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathVM+"{id}/", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		h := find(id)
		if h == nil {
			panic(http.ErrAbortHandler) // the VM does not exist
		}
		http.StripPrefix(pathVM+id, h).ServeHTTP(w, r)
	})
	return mux
}

func vmOfRack(pool api.Pool, rack api.Rack, i int) api.VM {
	return api.VM{
		Id:            fmt.Sprintf("%s-%s-%d", pool.Name, rack.Name, i),
		Pool:          pool.Name,
		Region:        pool.Region,
		FailureDomain: rack.FailureDomain,
		Rack:          rack.Name,
		Capacity:      pool.VmCapacity,
		Connections:   pool.Connections,
		State:         api.VMStateLive,
	}
}

// startVM starts the worker of a VM, and its executor if the VM has slots.
func (c *Cell) startVM(vm api.VM) api.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vmsStarted++
	vm.WorkerAddress = c.workerAddress + pathVM + vm.Id
	if vm.Capacity.Slots > 0 {
		vm.ExecutorAddress = c.executorAddress + pathVM + vm.Id
		c.executors[vm.Id] = NewExecutor(ExecutorOptions{VM: vm.Id, Recorder: c.Recorder, Execute: c.options.Execute})
	}
	c.workers[vm.Id] = NewWorker(WorkerOptions{
		VM: vm, Recorder: c.Recorder, Objects: c.Objects, Seed: c.options.Seed + c.vmsStarted,
		MeanRun: c.options.MeanRun, UsageLag: c.options.UsageLag,
	})
	return vm
}

// AddVM starts another VM. Its ID must be new, even if the VM replaces a lost one,
// because the new VM does not know the highest epochs that the lost VM has seen.
func (c *Cell) AddVM(vm api.VM) api.VM {
	vm = c.startVM(vm)
	c.VMs.Add(vm)
	return vm
}

// Worker returns the worker of a VM, or nil.
func (c *Cell) Worker(id string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id]
}

// Executor returns the executor of a VM, or nil.
func (c *Cell) Executor(id string) *Executor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executors[id]
}

// SetVMLeaving marks a VM as leaving in the VM list. If refuse is set, the VM also
// refuses new work at once.
func (c *Cell) SetVMLeaving(id string, refuse bool) {
	c.VMs.SetLeaving(id)
	if !refuse {
		return
	}
	if w := c.Worker(id); w != nil {
		w.UpdateMode(func(m *WorkerMode) { m.Draining = true })
	}
	if e := c.Executor(id); e != nil {
		e.UpdateMode(func(m *ExecutorMode) { m.Draining = true })
	}
}

// LoseVM simulates the loss of a VM: its work ends, calls to it are no longer answered
// and it is removed from the VM list.
func (c *Cell) LoseVM(id string) {
	if w := c.Worker(id); w != nil {
		w.Lose()
	}
	if e := c.Executor(id); e != nil {
		e.Lose()
	}
	c.Recorder.Add(history.Record{Kind: history.VMGone, VM: id})
	c.VMs.Remove(id)
}

// Close stops all VMs, clears all faults and closes the listeners.
func (c *Cell) Close() {
	c.mu.Lock()
	for _, e := range c.executors {
		e.Lose()
	}
	for _, w := range c.workers {
		w.Lose()
	}
	c.mu.Unlock()
	c.Table.SetFaults(Faults{})
	c.Objects.SetFaults(Faults{})
	c.VMs.SetFaults(Faults{})
	for _, l := range c.listeners {
		l.close()
	}
}
