package integration

import "testing"

// Guards against a cell that does not start or does not serve requests.
func TestCellServes(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	quotes, orders, public := c.StartLoad(queueQuote, 40), c.StartLoad(queueOrder, 40), c.StartLoad(queuePublic, 20)
	for _, l := range []*RequestLoad{quotes, orders, public} {
		l.AwaitDone(30)
	}
}
