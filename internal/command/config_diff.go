package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/config"
)

func (s *session) configDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare two configuration files",
		ArgsUsage: "OLD NEW",
		Description: "Prints what changes from the configuration OLD to NEW and what follows for running\n" +
			"work. Needs no connection.\n\n" +
			"Example:\n   endivehill config diff configuration.json new.json",
		Flags:  []cli.Flag{outputFlag()},
		Action: s.configDiff,
	}
}

func (s *session) configDiff(_ context.Context, c *cli.Command) error {
	if err := arguments(c, 2, 2); err != nil {
		return err
	}
	before, err := s.readConfiguration(c.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := s.readConfiguration(c.Args().Get(1))
	if err != nil {
		return err
	}
	changes := config.Diff(before, after)
	return s.print(c, changes, func(w io.Writer) { printChanges(w, changes) })
}
