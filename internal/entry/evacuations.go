package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
)

// Evacuations holds this node's copy of the operator's requests to start nothing more in some
// failure domains. The requests have no version: the most recent read of the operator's table
// applies. What another node reports about the configuration neither changes nor confirms them.
type Evacuations struct {
	maxAge time.Duration

	mu          sync.Mutex
	domains     []string // sorted; never changed in place
	confirmedAt time.Duration
}

// maxEvacuationsAgeShare is the share of the time within which starts in an evacuated failure
// domain must end that the copy may be old. The rest is for what follows a decision: the wait
// for a connection to the worker, and the tolerance of the platform.
const maxEvacuationsAgeShare = 0.6

// pollsPerMaxAge is the number of long polls without a change that fit into the longest age of
// the copy. A poll confirms the copy as of its start, so at the end of the next poll the copy is
// two polls old; the third is a margin.
const pollsPerMaxAge = 3

// NewEvacuations returns a copy that was never confirmed. No start in an evacuated failure
// domain may be sent later than evacuateTime after the request; 0 for no such bound.
func NewEvacuations(evacuateTime time.Duration) *Evacuations {
	return &Evacuations{maxAge: MaxEvacuationsAge(evacuateTime), confirmedAt: cell.NeverConfirmed}
}

// MaxEvacuationsAge returns the age of the copy up to which tasks may be started; 0 for no
// bound.
func MaxEvacuationsAge(evacuateTime time.Duration) time.Duration {
	return time.Duration(maxEvacuationsAgeShare * float64(evacuateTime))
}

// Replace replaces the requests by those of a read of the operator's table. Only what the table
// service itself has answered may be passed. A request without a failure domain is ignored.
func (e *Evacuations) Replace(domains []string) {
	list := slices.Compact(slices.Sorted(slices.Values(domains)))
	list = slices.DeleteFunc(list, func(domain string) bool { return domain == "" })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.domains = list
}

// ConfirmCurrent records that the table service has confirmed the copy as current at a boot
// time.
func (e *Evacuations) ConfirmCurrent(asOf time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = max(e.confirmedAt, asOf)
}

// Current returns the evacuated failure domains, sorted, and the boot time as of which they were
// last confirmed. The list must not be changed.
func (e *Evacuations) Current() (domains []string, confirmedAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.domains, e.confirmedAt
}

// MaxPollWait returns the longest wait of a long poll of the operator's table with which the
// copy stays current enough for starts; 0 for no bound.
func (e *Evacuations) MaxPollWait() time.Duration { return e.maxAge / pollsPerMaxAge }
