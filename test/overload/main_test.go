// Package overload starts processes of both programs with lowered limits, sends them many
// large request bodies at the same time, and checks that a process stays alive, that its
// memory and open descriptors stay within the machine of its settings, and that an ordinary
// request is answered afterwards. The checks use neither times nor the share of requests
// that are served. The tests run one at a time.
package overload

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	_ "github.com/endivehill/endivehill/internal/command" // a change of the program ends the validity of cached results
	"github.com/endivehill/endivehill/internal/measure"
)

// programPath is the binary under test. It is built without the race detector, which
// multiplies the memory of a process.
var programPath string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	program, remove, err := measure.BuildProgram(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	programPath = program
	return m.Run()
}
