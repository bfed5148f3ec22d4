package cell

import ()

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
	if sim.commitInFlight || !sim.storeUp {
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
		sim.store(b)
		sim.afterForCell(sim.commitTime/2, func(c *Cell) {
			sim.commitInFlight = false
			c.Committed(b)
		})
	})
}

func (sim *simulation) store(b *Batch) {
	entries := len(b.Expired)
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
		sim.progress[r.ID] = sim.encode(r.Progress)
	}
	for _, id := range b.Expired {
		delete(sim.finished, id)
	}
	if entries > 98 {
		sim.t.Errorf("a commit has %d entries, the table service takes 98 beside the ownership row", entries)
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
