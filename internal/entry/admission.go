// Package entry handles the calls of submitters on a node: it checks them against the
// configuration and the keys, and forwards them to the owner of the cell.
package entry

import (
	"crypto/sha256"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// KeyHash is the SHA-256 hash of a key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// Declarations is one version of the configuration, together with the keys.
type Declarations struct {
	Config *work.Config
	Keys   map[KeyHash]string // team by key
}

// Admission admits calls by the declarations in force. It tracks how fresh these are.
type Admission struct {
	clock       clock.Clock
	maxAge      time.Duration // age of the declarations up to which keys are accepted
	installing  sync.Mutex
	current     atomic.Pointer[routedDeclarations] // stored under installing
	confirmedAt atomic.Int64                       // boot time at which the declarations were last known to be the newest
}

// routedDeclarations are the declarations in force, with an index of the queues.
type routedDeclarations struct {
	*Declarations
	routes map[string][]*work.Queue // queues by host, longest prefix first
}

// NewAdmission returns an Admission without declarations. Keys are accepted if the
// declarations were known to be the newest at most maxAge ago.
func NewAdmission(c clock.Clock, maxAge time.Duration) *Admission {
	a := &Admission{clock: c, maxAge: maxAge}
	a.confirmedAt.Store(int64(-1 << 62))
	return a
}

// Install puts a version in force. It reports false if the version is not newer than
// the one in force: a node never goes back to an older version.
func (a *Admission) Install(d *Declarations) bool {
	a.installing.Lock()
	defer a.installing.Unlock()
	if old := a.current.Load(); old != nil && old.Config.Version >= d.Config.Version {
		return false
	}
	current := &routedDeclarations{Declarations: d, routes: map[string][]*work.Queue{}}
	for _, q := range d.Config.Queues {
		current.routes[q.Host] = append(current.routes[q.Host], q)
	}
	for _, list := range current.routes {
		sort.Slice(list, func(i, k int) bool {
			if len(list[i].Prefix) != len(list[k].Prefix) {
				return len(list[i].Prefix) > len(list[k].Prefix)
			}
			return list[i].Name < list[k].Name
		})
	}
	a.current.Store(current)
	return true
}

// ConfirmCurrent records that the declarations in force were the newest at a boot time.
func (a *Admission) ConfirmCurrent(asOf time.Duration) {
	for {
		old := a.confirmedAt.Load()
		if int64(asOf) <= old || a.confirmedAt.CompareAndSwap(old, int64(asOf)) {
			return
		}
	}
}

// Config returns the configuration in force, nil if there is none yet.
func (a *Admission) Config() *work.Config {
	if current := a.current.Load(); current != nil {
		return current.Config
	}
	return nil
}

// Version returns the version in force, 0 if there is none yet, and the boot time at
// which it was last known to be the newest.
func (a *Admission) Version() (int, time.Duration) {
	if current := a.current.Load(); current != nil {
		return current.Config.Version, time.Duration(a.confirmedAt.Load())
	}
	return 0, time.Duration(a.confirmedAt.Load())
}

// Fresh reports whether the declarations are recent enough for keys to be accepted.
func (a *Admission) Fresh() bool {
	return a.current.Load() != nil && a.clock.Boot()-time.Duration(a.confirmedAt.Load()) <= a.maxAge
}

// AdmittedCall is a call that was admitted, with its queue and the team of its caller.
type AdmittedCall struct {
	Queue   *work.Queue
	Team    string // empty for a call without a known key to an open queue
	Version int    // of the configuration with which the call was admitted
	WorkID  string // path after the prefix of the queue
}

// Admit selects the queue of a call by its host and path, and checks its key.
func (a *Admission) Admit(host, path, key string) (AdmittedCall, error) {
	current := a.current.Load()
	if current == nil {
		return AdmittedCall{}, errkind.New(errkind.NodeNotFresh, "", "the node has no configuration yet")
	}
	for _, q := range current.routes[host] {
		if !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		call := AdmittedCall{Queue: q, Version: current.Config.Version, WorkID: path[len(q.Prefix):]}
		if q.Open && key == "" {
			return call, nil
		}
		return a.authenticate(current, call, key)
	}
	return AdmittedCall{}, errkind.New(errkind.NotFound, "path", "no queue of the host has a prefix of this path")
}

func (a *Admission) authenticate(current *routedDeclarations, call AdmittedCall, key string) (AdmittedCall, error) {
	team, ok := current.Keys[HashKey(key)]
	if call.Queue.Open {
		call.Team = team // a known key assigns the work to its team; an open queue needs no key
		return call, nil
	}
	if !a.Fresh() {
		return AdmittedCall{}, errkind.New(errkind.NodeNotFresh, "", "the node can't tell whether the key is still valid")
	}
	if !ok {
		return AdmittedCall{}, errkind.New(errkind.Unauthenticated, "key", "the key is unknown")
	}
	call.Team = team
	return call, nil
}
