// Package quota divides the limit of each team among the partitions.
//
// The row "quota/<team>" holds an allotment for each partition. The sum of the
// allotments is never raised above the limit of the team. The owner of a
// partition raises its allotment in chunks before using it and returns what has
// been idle for a while. Allotments belong to partitions, so a new owner
// inherits them.
package quota

import "github.com/endivehill/endivehill/internal/api"

// Ledger holds the allotments of one partition. The owner of the partition
// calls both methods from one goroutine. While the ledger is open, only
// ReportDemand lowers what Allotment returns, so no work is started on an
// allotment that is being returned.
type Ledger interface {
	// Allotment returns what the partition may use for a team now. After the limit
	// of the team was lowered this may be less than what is in use. The owner
	// then preempts work until its usage is within the allotment.
	Allotment(team string) api.Resources
	// ReportDemand reports the demand of a team: used is the most that it may be
	// using, wanted is the total that it could use now. An allotment that may be
	// in use is not returned. The allotment is raised only as far as needed for
	// wanted, rounded up to chunks. wanted may be less than used if some of used
	// is not certain.
	//
	// Allotments are returned and raised in the background. ReportDemand must be
	// called at least once a second for each team that holds an allotment.
	ReportDemand(team string, used, wanted api.Resources)
}
