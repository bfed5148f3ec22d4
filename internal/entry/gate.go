// Package entry is the part of a node that takes the calls of submitters: it
// checks them against the configuration and the keys, and hands them to the owner
// of the cell.
package entry

import (
	"crypto/sha256"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// KeyHash is the hash of a key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// Declarations is one version of the configuration with the keys.
type Declarations struct {
	Config *work.Config
	Keys   map[KeyHash]string // team of each key
}

// Gate holds the declarations in force and how fresh they are.
type Gate struct {
	clock   clock.Clock
	maxAge  time.Duration // after which keys are not accepted
	current atomic.Pointer[installed]
	seen    atomic.Int64 // boot time as of which the declarations are current
}

type installed struct {
	*Declarations
	routes map[string][]*work.Queue // queues by host, longest prefix first
}

// NewGate returns a gate without declarations. Keys are accepted while the
// declarations are known to have been current within maxAge.
func NewGate(c clock.Clock, maxAge time.Duration) *Gate {
	g := &Gate{clock: c, maxAge: maxAge}
	g.seen.Store(int64(-1 << 62))
	return g
}

// Install puts a version in force. It reports false for one that is not newer:
// what was shown once is never taken back.
func (g *Gate) Install(d *Declarations) bool {
	if old := g.current.Load(); old != nil && old.Config.Version >= d.Config.Version {
		return false
	}
	in := &installed{Declarations: d, routes: map[string][]*work.Queue{}}
	for _, q := range d.Config.Queues {
		in.routes[q.Host] = append(in.routes[q.Host], q)
	}
	for _, list := range in.routes {
		sort.Slice(list, func(i, k int) bool {
			if len(list[i].Prefix) != len(list[k].Prefix) {
				return len(list[i].Prefix) > len(list[k].Prefix)
			}
			return list[i].Name < list[k].Name
		})
	}
	g.current.Store(in)
	return true
}

// Seen notes that the declarations are current as of a boot time.
func (g *Gate) Seen(asOf time.Duration) {
	for {
		old := g.seen.Load()
		if int64(asOf) <= old || g.seen.CompareAndSwap(old, int64(asOf)) {
			return
		}
	}
}

// Config returns the configuration in force, nil before the first.
func (g *Gate) Config() *work.Config {
	if in := g.current.Load(); in != nil {
		return in.Config
	}
	return nil
}

// Version returns the version in force, 0 before the first, and the boot time as of
// which it is known to be the newest.
func (g *Gate) Version() (int, time.Duration) {
	if in := g.current.Load(); in != nil {
		return in.Config.Version, time.Duration(g.seen.Load())
	}
	return 0, time.Duration(g.seen.Load())
}

// Fresh reports whether keys may be accepted now.
func (g *Gate) Fresh() bool {
	return g.current.Load() != nil && g.clock.Boot()-time.Duration(g.seen.Load()) <= g.maxAge
}

// Caller is who calls which queue.
type Caller struct {
	Queue   *work.Queue
	Team    string // empty on a queue that is open to all
	Version int    // of the configuration by which the call was admitted
	Rest    string // path after the prefix of the queue
}

// Admit finds the queue of a call and checks its key.
func (g *Gate) Admit(host, path, key string) (Caller, error) {
	in := g.current.Load()
	if in == nil {
		return Caller{}, errkind.New(errkind.NodeNotFresh, "", "the node has no configuration yet")
	}
	for _, q := range in.routes[host] {
		if !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		caller := Caller{Queue: q, Version: in.Config.Version, Rest: path[len(q.Prefix):]}
		if q.Open && key == "" {
			return caller, nil
		}
		return g.admitKey(in, caller, key)
	}
	return Caller{}, errkind.New(errkind.NotFound, "path", "no queue has this path")
}

func (g *Gate) admitKey(in *installed, c Caller, key string) (Caller, error) {
	team, ok := in.Keys[HashKey(key)]
	if c.Queue.Open {
		c.Team = team // a known key assigns the work to its team; others are not needed
		return c, nil
	}
	if !g.Fresh() {
		return Caller{}, errkind.New(errkind.NodeNotFresh, "", "the node can't tell whether the key is still valid")
	}
	if !ok {
		return Caller{}, errkind.New(errkind.Unauthenticated, "key", "the key is unknown")
	}
	c.Team = team
	return c, nil
}
