package httpapi

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that still run at the end of the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
