package platform

// batch collects operations without overlapping rows, so that their order does not
// matter.
type batch struct {
	maxOps  int
	ops     []*pendingOp
	bytes   int
	checked map[string]int64 // keys checked by operations of the batch
	written map[string]bool  // keys written by operations of the batch
	blocked map[string]bool  // keys written by operations deferred to a later batch
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

// addAll adds operations in order and returns those that did not join the batch.
func (b *batch) addAll(ops []*pendingOp) []*pendingOp {
	var left []*pendingOp
	for _, p := range ops {
		if !b.add(p) {
			left = append(left, p)
		}
	}
	return left
}

// add adds p to the batch and reports whether it joined. If not, later operations on
// the rows that p writes do not join either, which preserves their order.
func (b *batch) add(p *pendingOp) bool {
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

func (b *batch) overlaps(op Operation) bool {
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

// block keeps later operations on the rows that op writes out of the batch. Rows that
// op only checks may still be checked by operations of the batch.
func (b *batch) block(op Operation) {
	for _, w := range op.Writes {
		b.blocked[w.Key] = true
	}
}

// merge returns the distinct checks and the stored writes of all operations.
func merge(ops []*pendingOp) ([]Check, []Write) {
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
