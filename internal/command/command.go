// Package command implements the verbs of the command line, one file per verb.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:                  "endivehill",
		Usage:                 "cluster scheduler for short requests, services, batch jobs and gangs",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{versionCommand()},
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "endivehill:", err)
		return 1
	}
	return 0
}
