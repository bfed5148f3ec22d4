package quota

import (
	"maps"
	"sort"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/platform"
)

// keyPrefix is the prefix of the quota rows.
const keyPrefix = "quota/"

// chunkDivisor is the part of a limit that is taken at least at once, so that a
// growing team costs few writes.
const chunkDivisor = 16

// allotments is the division of the limit of one team, by partition.
type allotments map[string]amount

func (a allotments) sum() amount {
	var total amount
	for _, v := range a {
		total = total.plus(v)
	}
	return total
}

func (a allotments) equal(b allotments) bool { return maps.Equal(a, b) }

// put sets the allotment of a partition; nothing is not stored.
func (a allotments) put(partition string, v amount) {
	if v == (amount{}) {
		delete(a, partition)
		return
	}
	a[partition] = v
}

// grant returns how much of need beyond have is given when free is left: rounded
// up to a chunk of the limit, and at most what is free.
func grant(have, need, free, limit amount) amount {
	var out amount
	for i := range out {
		if need[i] <= have[i] || free[i] <= 0 {
			continue
		}
		chunk := max(1, limit[i]/chunkDivisor)
		missing := need[i] - have[i]
		out[i] = min((missing+chunk-1)/chunk*chunk, free[i])
	}
	return out
}

// target returns what a partition reduces its allotment to while the sum is
// above the limit: its proportional part of the limit, but no less than an equal
// part. Once all have reduced to that, the sum is within the limit.
func target(have, sum, limit amount, holders int) amount {
	out := unlimited
	for i := range out {
		if sum[i] > limit[i] {
			out[i] = max(scale(have[i], limit[i], sum[i]), limit[i]/holders)
		}
	}
	return out
}

func decodeRow(row platform.Row) (string, allotments, error) {
	var r api.QuotaRow
	if _, err := r.UnmarshalMsg(row.Value); err != nil {
		return "", nil, errors.Wrapf(err, "decode row %q", row.Key)
	}
	out := allotments{}
	for _, a := range r.Allotments {
		out.put(a.Partition, amountOf(a.Resources))
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
