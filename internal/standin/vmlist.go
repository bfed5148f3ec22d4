package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/platform"
)

// VMList stands in for the VM list. Changes are recorded at once and listed after
// a lag.
type VMList struct {
	faultSwitch
	mux      *http.ServeMux
	recorder *history.Recorder

	listMu  sync.Mutex
	lag     time.Duration
	vms     map[string]api.VM
	entries []string
	past    []listing // by time; the last is the present
}

// listing is the state of the list from a time on.
type listing struct {
	at      time.Time
	content api.VMListing
}

// NewVMList returns an empty list that lags by the given time.
func NewVMList(r *history.Recorder, lag time.Duration) *VMList {
	l := &VMList{recorder: r, lag: lag, vms: map[string]api.VM{}, mux: http.NewServeMux()}
	l.mux.HandleFunc("GET "+platform.PathVMs, l.serve)
	l.past = []listing{{content: api.VMListing{Vms: []api.VM{}, EntryVms: []string{}}}}
	return l
}

// SetLag changes the lag.
func (l *VMList) SetLag(lag time.Duration) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.lag = lag
}

// Add adds live VMs. They are listed without a lag if the list was empty, so
// that a test does not have to wait at its start.
func (l *VMList) Add(vms ...api.VM) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	first := len(l.vms) == 0
	for _, vm := range vms {
		vm.State = api.VMStateLive
		l.vms[vm.Id] = vm
		l.recorder.Add(history.Record{Kind: history.VMCapacity, VM: vm.Id, Resources: vm.Capacity, Connections: vm.Connections})
	}
	if first {
		l.past = nil
		l.changed(time.Time{})
		return
	}
	l.changed(time.Now())
}

// SetLeaving marks a VM as leaving.
func (l *VMList) SetLeaving(id string) { l.setState(id, api.VMStateLeaving, history.VMLeaving) }

// SetLive marks a VM as live again.
func (l *VMList) SetLive(id string) { l.setState(id, api.VMStateLive, history.VMLive) }

func (l *VMList) setState(id string, state api.VMState, kind history.Kind) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	vm, ok := l.vms[id]
	if !ok {
		return
	}
	vm.State = state
	l.vms[id] = vm
	l.recorder.Add(history.Record{Kind: kind, VM: id})
	l.changed(time.Now())
}

// Remove takes a VM off the list. Its loss is recorded by Cell.Lose.
func (l *VMList) Remove(id string) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	delete(l.vms, id)
	l.changed(time.Now())
}

// SetEntryVMs sets the addresses of live entry VMs.
func (l *VMList) SetEntryVMs(addresses []string) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.entries = slices.Clone(addresses)
	l.changed(time.Now())
}

// changed notes the present state and forgets states that are never listed
// again.
func (l *VMList) changed(now time.Time) {
	content := api.VMListing{Vms: []api.VM{}, EntryVms: append([]string{}, l.entries...)}
	for _, vm := range l.vms {
		content.Vms = append(content.Vms, vm)
	}
	slices.SortFunc(content.Vms, func(a, b api.VM) int { return strings.Compare(a.Id, b.Id) })
	l.past = append(l.past, listing{now, content})
}

// Listing returns what the list shows now.
func (l *VMList) Listing() api.VMListing {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	shown := 0
	for i, p := range l.past {
		if time.Since(p.at) >= l.lag {
			shown = i
		}
	}
	l.past = l.past[shown:]
	return l.past[0].content
}

// List returns the VMs that the list shows now.
func (l *VMList) List(ctx context.Context) ([]api.VM, error) {
	if v := l.before(ctx, false); v != proceed {
		return nil, platform.ErrUnavailable
	}
	vms := slices.Clone(l.Listing().Vms)
	if !l.after(ctx, false) {
		return nil, platform.ErrUnavailable
	}
	return vms, nil
}

// ServeHTTP serves the protocol of the VM list.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *VMList) serve(w http.ResponseWriter, r *http.Request) {
	if v := l.before(r.Context(), false); v != proceed {
		writeVerdict(w, v)
		return
	}
	content := l.Listing()
	if !l.after(r.Context(), false) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, content)
}
