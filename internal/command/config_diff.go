package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/config"
)

func (inv *invocation) configDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare two configuration files",
		ArgsUsage: "OLD NEW",
		Description: "Prints the changes from the configuration OLD to NEW and their effects on running\n" +
			"work. Needs no connection.\n\n" +
			"Example:\n   endivehill config diff configuration.json new.json",
		Flags:  []cli.Flag{outputFlag()},
		Action: inv.configDiff,
	}
}

func (inv *invocation) configDiff(_ context.Context, c *cli.Command) error {
	if err := checkArgumentCount(c, 2, 2); err != nil {
		return err
	}
	before, err := inv.readConfiguration(c.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := inv.readConfiguration(c.Args().Get(1))
	if err != nil {
		return err
	}
	changes := config.Diff(before, after)
	return inv.print(c, changes, func(w io.Writer) { printChanges(w, changes) })
}
