package owner

import (
	"testing"
	"time"
)

// Guards against a result that reaches the next owner twice, from the node that called the adviser
// and from the earlier owner, and takes the place of another one in the messages that follow.
func TestResultOfACallThroughAnotherNodeIsPassedOnOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCellOwners(slowAdviser{time.Second})
		first := c.takeOver("n0", 1)
		call := longAdviceCall("w1", "w2")
		call.Node = "n1"
		go first.requestAdvice(call)
		time.Sleep(600 * time.Millisecond)
		first.cancel(errTenureEnded)
		second := c.takeOver("n1", 2)
		first.relay.end(first)
		time.Sleep(500 * time.Millisecond)
		if n := second.adviceUse.inherited.Load(); n != 1 {
			t.Errorf("the second owner has received %d results of one call", n)
		}
	})
}
