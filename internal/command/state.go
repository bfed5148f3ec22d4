package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/client"
)

func (s *session) stateCommand() *cli.Command {
	return s.withAPI(&cli.Command{
		Name:      "state",
		Usage:     "print the state of a node",
		ArgsUsage: " ",
		Description: "Prints the state dump of the node that responds as JSON. Keys are not part of it.\n\n" +
			"Example:\n   endivehill state --address 10.0.0.1:8080",
	}, s.state)
}

func (s *session) state(ctx context.Context, c *cli.Command, a *client.Client) error {
	if err := arguments(c, 0, 0); err != nil {
		return err
	}
	state, err := a.State(ctx)
	if err != nil {
		return err
	}
	return s.printJSON(state)
}
