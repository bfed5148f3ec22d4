package cell

import "encoding/base64"

type unmarshaler interface {
	UnmarshalMsg([]byte) ([]byte, error)
}

func (sim *simulation) decode(out unmarshaler, data []byte) {
	sim.t.Helper()
	if _, err := out.UnmarshalMsg(data); err != nil {
		sim.t.Fatalf("decode a stored record: %v", err)
	}
}

// commit takes the next batch and stores it after a delay.
func (sim *simulation) commit() {
	if sim.commitInFlight || !sim.storeUp || sim.replaced {
		return
	}
	b := sim.cell.TakeBatch()
	if b == nil {
		return
	}
	if b.Empty() {
		sim.cell.Committed(b)
		return
	}
	sim.commitInFlight = true
	sim.afterForCell(sim.commitTime/2, func(c *Cell) {
		if sim.replaced {
			return
		}
		sim.store(b)
		sim.afterForCell(sim.commitTime/2, func(c *Cell) {
			sim.commitInFlight = false
			c.Committed(b)
		})
	})
}

func (sim *simulation) store(b *Batch) {
	entries := len(b.Expired)
	sim.checkRowSizes(b)
	for i := range b.Rows {
		r := &b.Rows[i]
		entries += r.entries()
		if r.Finished != nil {
			delete(sim.works, r.ID)
			delete(sim.progress, r.ID)
			sim.finished[r.ID] = sim.encode(r.Finished)
			sim.ended[r.ID] = true
			continue
		}
		if r.Work != nil {
			sim.works[r.ID] = sim.encode(r.Work)
		}
		sim.progress[r.ID] = nil
		for _, p := range r.Progress {
			sim.progress[r.ID] = append(sim.progress[r.ID], sim.encode(p))
		}
	}
	for _, id := range b.Expired {
		delete(sim.finished, id)
	}
	if b.WritesLeaseEnds {
		sim.storeLeaseEnds(b.LeaseEnds)
	}
	if entries > 98 {
		sim.t.Errorf("a commit has %d entries, the table service takes 98 beside the ownership row", entries)
	}
}

// Limits of the table service for a row value and for a call, as base64 text.
const (
	simRowTextBytes  = 64 << 10
	simCallTextBytes = 1_000_000
	simRowOverhead   = 150 // bytes of a call for the key of a row
)

// checkRowSizes checks that the table service would take a commit.
func (sim *simulation) checkRowSizes(b *Batch) {
	call := 0
	check := func(id string, value marshaler) {
		n := base64.StdEncoding.EncodedLen(len(sim.encode(value)))
		if call += n + simRowOverhead; n > simRowTextBytes {
			sim.t.Errorf("%v: a row of work %s has %d bytes as text", sim.now, id, n)
		}
	}
	for i := range b.Rows {
		r := &b.Rows[i]
		if r.Work != nil {
			check(r.ID, r.Work)
		}
		for _, p := range r.Progress {
			check(r.ID, p)
		}
	}
	if call > simCallTextBytes {
		sim.t.Errorf("%v: a commit has %d bytes as text", sim.now, call)
	}
}

type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

func (sim *simulation) encode(v marshaler) []byte {
	data, err := v.MarshalMsg(nil)
	if err != nil {
		sim.t.Fatal(err)
	}
	return data
}
