// Package integration tests the guarantees of docs/design.md 1.2 with real processes,
// injected faults and stand-ins of the platform. The tests of guarantee N are named
// TestPromiseN, those of number N in the table of hard cases of that page TestHardCaseN.
package integration

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"golang.org/x/sync/semaphore"
)

const (
	// maxProcesses limits the number of nodes over all tests that run in parallel.
	// With the race detector a node uses about 130 MB of memory and several times the
	// processor time.
	maxProcesses     = 40
	maxRaceProcesses = 24
	// programPackage is the import path of the program under test.
	programPackage = "github.com/endivehill/endivehill/cmd/endivehill"
)

var (
	raceEnabled   bool                // whether the race detector is on
	programPath   string              // binary under test
	nodeSemaphore *semaphore.Weighted // limits the nodes of all tests, with a weight of 1 each

	seedFlag = flag.Uint64("seed", 0, "seed of the load and the faults; 0 for a random one")
	keepFlag = flag.String("keep", "", "directory to write the logs of the nodes and the histories to")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "endivehill-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programPath = filepath.Join(dir, "endivehill")
	nodeSemaphore = semaphore.NewWeighted(maxProcesses)
	args := []string{"build", "-o", programPath}
	if raceEnabled {
		args = append(args, "-race")
		nodeSemaphore = semaphore.NewWeighted(maxRaceProcesses)
	}
	if out, err := exec.Command("go", append(args, programPackage)...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
