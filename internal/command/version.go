package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Version is the release of the program, set by the linker.
var Version = "0.1.0-dev"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:      "version",
		Usage:     "print the version",
		ArgsUsage: " ",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := checkArgumentCount(c, 0, 0); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.Root().Writer, Version)
			return err
		},
	}
}
