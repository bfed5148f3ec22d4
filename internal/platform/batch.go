package platform

// batch gathers operations that do not touch each other's rows, so that their
// order makes no difference.
type batch struct {
	maxOps  int
	ops     []*pending
	bytes   int
	checked map[string]int64 // keys checked by operations of the batch
	written map[string]bool  // keys written by operations of the batch
	blocked map[string]bool  // keys of operations left to a later batch
}

func newBatch(maxOps int) *batch {
	return &batch{
		maxOps:  maxOps,
		checked: map[string]int64{},
		written: map[string]bool{},
		blocked: map[string]bool{},
	}
}

func (b *batch) full() bool { return len(b.ops) >= b.maxOps || b.bytes >= maxBatchBytes }

// addAll adds operations in order and returns those left over.
func (b *batch) addAll(ops []*pending) []*pending {
	var left []*pending
	for _, p := range ops {
		if !b.add(p) {
			left = append(left, p)
		}
	}
	return left
}

// add reports whether p joined the batch. If not, later operations on its rows
// do not join either, which keeps their order.
func (b *batch) add(p *pending) bool {
	if b.full() || b.overlaps(p.op) || len(b.ops) > 0 && b.bytes+p.bytes > maxBatchBytes {
		b.block(p.op)
		return false
	}
	for _, c := range p.op.Checks {
		b.checked[c.Key] = c.Version
	}
	for _, w := range p.op.Writes {
		b.written[w.Key] = true
	}
	b.ops = append(b.ops, p)
	b.bytes += p.bytes
	return true
}

func (b *batch) overlaps(op Op) bool {
	for _, c := range op.Checks {
		version, checked := b.checked[c.Key]
		if checked && version != c.Version || b.written[c.Key] || b.blocked[c.Key] {
			return true
		}
	}
	for _, w := range op.Writes {
		_, checked := b.checked[w.Key]
		if checked || b.written[w.Key] || b.blocked[w.Key] {
			return true
		}
	}
	return false
}

// block marks the rows that op writes. Rows that it only checks stay open to
// operations that check the same version.
func (b *batch) block(op Op) {
	for _, w := range op.Writes {
		b.blocked[w.Key] = true
	}
}

// merge returns the checks and stored writes of all operations.
func merge(ops []*pending) ([]Check, []Write) {
	var checks []Check
	var writes []Write
	seen := map[string]bool{}
	for _, p := range ops {
		for _, c := range p.op.Checks {
			if !seen[c.Key] {
				seen[c.Key] = true
				checks = append(checks, c)
			}
		}
		writes = append(writes, p.stored...)
	}
	return checks, writes
}
