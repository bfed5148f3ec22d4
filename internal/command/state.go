package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/client"
)

func (inv *invocation) stateCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "state",
		Usage:     "print the state of a node",
		ArgsUsage: " ",
		Description: "Prints the state dump of the responding node as JSON. It contains no keys.\n\n" +
			"Example:\n   endivehill state --address 10.0.0.1:8080",
	}, inv.state)
}

func (inv *invocation) state(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 0, 0); err != nil {
		return err
	}
	state, err := cl.State(ctx)
	if err != nil {
		return err
	}
	return inv.printJSON(state)
}
