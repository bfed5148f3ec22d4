package requests

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive what started them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
