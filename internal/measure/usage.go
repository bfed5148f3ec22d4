package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	clockTick = 10 * time.Millisecond // unit of CPU times in /proc
	pageBytes = 4096
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU      time.Duration // user and system time since its start
	Resident int64         // resident set size in bytes
}

// processUsage reads the usage of a process.
func processUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the usage of a process")
	}
	// The program name, in parentheses before the fields, may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) <= residentField {
		return Usage{}, errors.Errorf("only %d fields in the stat file of process %d", len(fields), pid)
	}
	var values [3]int64
	for i, field := range []int{userField, systemField, residentField} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, errors.Wrap(err, "parse the usage of a process")
		}
	}
	return Usage{CPU: time.Duration(values[0]+values[1]) * clockTick, Resident: values[2] * pageBytes}, nil
}
