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

// pathVM precedes the ID of a VM in the address of its worker and executor. All
// workers share one listener and all executors another.
const pathVM = "/vm/"

// CellOptions of a Cell.
type CellOptions struct {
	Recorder *history.Recorder // nil for one in memory
	Seed     uint64
	MeanRun  time.Duration // of tasks whose payload does not tell
	UsageLag time.Duration // of the workers' measurements
	ListLag  time.Duration // of the VM list
	// Work decides on the results of requests; nil for WorkOfBody.
	Work func(in *api.ExecutorCall) Work
}

// Cell holds the stand-ins for a whole cell on loopback ports.
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

	mu        sync.Mutex
	workers   map[string]*Worker
	executors map[string]*Executor
	made      uint64 // VMs made, for their seeds
}

// NewCell starts the stand-ins for all VMs of a configuration.
func NewCell(c *api.Configuration, o CellOptions) (*Cell, error) {
	if o.Recorder == nil {
		o.Recorder = history.New()
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
				vms = append(vms, cell.make(vmOf(pool, rack, i)))
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
	workers := perVM(func(id string) http.Handler {
		if w := c.Worker(id); w != nil {
			return w
		}
		return nil
	})
	executors := perVM(func(id string) http.Handler {
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

// perVM passes a call to the handler of the VM in its path.
func perVM(find func(id string) http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathVM+"{id}/", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		h := find(id)
		if h == nil {
			panic(http.ErrAbortHandler) // as if the VM were not there
		}
		http.StripPrefix(pathVM+id, h).ServeHTTP(w, r)
	})
	return mux
}

func vmOf(pool api.Pool, rack api.Rack, i int) api.VM {
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

// make starts the worker of a VM, and its executor if the VM has slots.
func (c *Cell) make(vm api.VM) api.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made++
	vm.WorkerAddress = c.workerAddress + pathVM + vm.Id
	if vm.Capacity.Slots > 0 {
		vm.ExecutorAddress = c.executorAddress + pathVM + vm.Id
		c.executors[vm.Id] = NewExecutor(ExecutorOptions{VM: vm.Id, Recorder: c.Recorder, Work: c.options.Work})
	}
	c.workers[vm.Id] = NewWorker(WorkerOptions{
		VM: vm, Recorder: c.Recorder, Objects: c.Objects, Seed: c.options.Seed + c.made,
		MeanRun: c.options.MeanRun, UsageLag: c.options.UsageLag,
	})
	return vm
}

// AddVM starts a further VM. Its ID must be new: one that replaces a lost VM is
// another VM, because it has not seen the epochs of the lost one.
func (c *Cell) AddVM(vm api.VM) api.VM {
	vm = c.make(vm)
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

// Leave marks a VM as leaving. If refuse is set, it also refuses new work at
// once; if not, only the VM list tells.
func (c *Cell) Leave(id string, refuse bool) {
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

// Lose ends a VM with all its work and takes it off the VM list.
func (c *Cell) Lose(id string) {
	if w := c.Worker(id); w != nil {
		w.Lose()
	}
	if e := c.Executor(id); e != nil {
		e.Lose()
	}
	c.Recorder.Add(history.Record{Kind: history.VMGone, VM: id})
	c.VMs.Remove(id)
}

// Close ends all VMs and closes the listeners.
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
