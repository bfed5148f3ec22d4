package integration

import "testing"

// Guards against a cell of processes that does not form or serve at all.
func TestCellServes(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	quotes, orders, public := c.Load(queueQuote, 40), c.Load(queueOrder, 40), c.Load(queuePublic, 20)
	for _, l := range []*Load{quotes, orders, public} {
		l.AwaitDone(30)
	}
}
