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

// VMList stands in for the VM list. A change is recorded in the history at once and
// listed after a lag.
type VMList struct {
	faultInjector
	mux      *http.ServeMux
	recorder *history.Recorder

	listMu   sync.Mutex
	lag      time.Duration
	vms      map[string]api.VM
	entryVMs []string
	versions []listVersion // by time; the last is the current state, which may not be listed yet
}

// listVersion is the content of the list from a time on.
type listVersion struct {
	at      time.Time
	content api.VMListing
}

// NewVMList returns an empty list that lags by the given time.
func NewVMList(r *history.Recorder, lag time.Duration) *VMList {
	l := &VMList{recorder: r, lag: lag, vms: map[string]api.VM{}, mux: http.NewServeMux()}
	l.mux.HandleFunc("GET "+platform.PathVMs, l.serve)
	l.versions = []listVersion{{content: api.VMListing{Vms: []api.VM{}, EntryVms: []string{}}}}
	return l
}

// SetLag changes the lag.
func (l *VMList) SetLag(lag time.Duration) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.lag = lag
}

// Add adds live VMs. If the list was empty they are listed without a lag, so that
// tests do not wait at their start.
func (l *VMList) Add(vms ...api.VM) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	wasEmpty := len(l.vms) == 0
	for _, vm := range vms {
		vm.State = api.VMStateLive
		l.vms[vm.Id] = vm
		l.recorder.Add(history.Record{Kind: history.VMCapacity, VM: vm.Id, Resources: vm.Capacity, Connections: vm.Connections})
	}
	if wasEmpty {
		l.versions = nil
		l.addVersion(time.Time{})
		return
	}
	l.addVersion(time.Now())
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
	l.addVersion(time.Now())
}

// Remove removes a VM from the list. Cell.LoseVM records the loss in the history.
func (l *VMList) Remove(id string) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	delete(l.vms, id)
	l.addVersion(time.Now())
}

// SetEntryVMs sets the addresses of live entry VMs.
func (l *VMList) SetEntryVMs(addresses []string) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.entryVMs = slices.Clone(addresses)
	l.addVersion(time.Now())
}

// addVersion appends the current state as a new version.
func (l *VMList) addVersion(now time.Time) {
	content := api.VMListing{Vms: []api.VM{}, EntryVms: append([]string{}, l.entryVMs...)}
	for _, vm := range l.vms {
		content.Vms = append(content.Vms, vm)
	}
	slices.SortFunc(content.Vms, func(a, b api.VM) int { return strings.Compare(a.Id, b.Id) })
	l.versions = append(l.versions, listVersion{now, content})
}

// Listing returns the content that is listed now, and drops older versions.
func (l *VMList) Listing() api.VMListing {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	current := 0
	for i, version := range l.versions {
		if time.Since(version.at) >= l.lag {
			current = i
		}
	}
	l.versions = l.versions[current:]
	return l.versions[0].content
}

// List returns the VMs that are listed now.
func (l *VMList) List(ctx context.Context) ([]api.VM, error) {
	if effect := l.beforeCall(ctx, false); effect != proceed {
		return nil, platform.ErrUnavailable
	}
	vms := slices.Clone(l.Listing().Vms)
	if !l.afterCall(ctx, false) {
		return nil, platform.ErrUnavailable
	}
	return vms, nil
}

// ServeHTTP serves the protocol of the VM list.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *VMList) serve(w http.ResponseWriter, r *http.Request) {
	if effect := l.beforeCall(r.Context(), false); effect != proceed {
		writeFaultEffect(w, effect)
		return
	}
	content := l.Listing()
	if !l.afterCall(r.Context(), false) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, content)
}
