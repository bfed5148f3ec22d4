// Package quota divides the limit of each team among the partitions.
//
// The row "quota/<team>" holds an allotment for each partition; their sum is
// never above the limit of the team. An owner raises the allotment of its
// partition in chunks before it uses it and returns what it has not needed for a
// while. Allotments belong to partitions, so a new owner inherits them.
package quota

import "github.com/endivehill/endivehill/internal/api"

// Ledger holds the allotments of one partition. The owner of the partition calls
// both methods from one goroutine: Demand alone lowers what Held returns, so
// nothing is started on an allotment that is being returned.
type Ledger interface {
	// Held returns what the partition may use for a team now. After the limit of
	// the team was lowered it may be less than what is in use; the owner then
	// preempts down to it.
	Held(team string) api.Resources
	// Demand tells what a team uses at most and what it could use now in total. What
	// may be in use is not returned; the allotment is raised only to what is wanted,
	// which is less if the use is not certain. The ledger does so in the background. It
	// must be called for each team that holds an allotment at least once a second.
	Demand(team string, used, wanted api.Resources)
}
