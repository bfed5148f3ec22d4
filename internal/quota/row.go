package quota

import (
	"maps"
	"sort"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/platform"
)

// keyPrefix is the prefix of the keys of the quota rows.
const keyPrefix = "quota/"

// grantChunkDivisor determines the size of the chunks in which allotments are
// granted: the limit divided by grantChunkDivisor. With chunks, a team whose
// demand grows needs few writes.
const grantChunkDivisor = 16

// allotments maps partitions to their parts of the limit of one team.
type allotments map[string]resourceVec

func (a allotments) sum() resourceVec {
	var total resourceVec
	for _, v := range a {
		total = total.add(v)
	}
	return total
}

func (a allotments) equal(b allotments) bool { return maps.Equal(a, b) }

// set sets the allotment of a partition. Zero allotments are not stored.
func (a allotments) set(partition string, v resourceVec) {
	if v == (resourceVec{}) {
		delete(a, partition)
		return
	}
	a[partition] = v
}

// grantFor returns how much is granted to a partition that has the allotment
// have and needs need: the difference rounded up to chunks of the limit, but at
// most free.
func grantFor(have, need, free, limit resourceVec) resourceVec {
	var out resourceVec
	for i := range out {
		if need[i] <= have[i] || free[i] <= 0 {
			continue
		}
		chunk := max(1, limit[i]/grantChunkDivisor)
		missing := need[i] - have[i]
		out[i] = min((missing+chunk-1)/chunk*chunk, free[i])
	}
	return out
}

// reductionTarget returns the allotment to which a partition is reduced while
// the sum over all holders is above the limit: its proportional part of the
// limit, but no less than an equal part. Partitions with less than an equal part
// keep it, so the sum may still be above the limit after one reduction. The
// targets are then computed again from the new row.
func reductionTarget(have, sum, limit resourceVec, holders int) resourceVec {
	out := unlimited
	for i := range out {
		if sum[i] > limit[i] {
			out[i] = max(mulDiv(have[i], limit[i], sum[i]), limit[i]/holders)
		}
	}
	return out
}

func decodeRow(row platform.Row) (string, allotments, error) {
	var r api.QuotaRow
	if _, err := r.UnmarshalMsg(row.Value); err != nil {
		return "", nil, errors.Wrapf(err, "decode quota row %q", row.Key)
	}
	out := allotments{}
	for _, a := range r.Allotments {
		out.set(a.Partition, toResourceVec(a.Resources))
	}
	return r.Stamp, out, nil
}

func encodeRow(team, stamp string, a allotments) ([]byte, error) {
	r := api.QuotaRow{Team: team, Stamp: stamp}
	for p, v := range a {
		r.Allotments = append(r.Allotments, api.Allotment{Partition: p, Resources: v.resources()})
	}
	sort.Slice(r.Allotments, func(i, j int) bool { return r.Allotments[i].Partition < r.Allotments[j].Partition })
	value, err := r.MarshalMsg(nil)
	return value, errors.Wrap(err, "encode quota row")
}
