package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
)

func (inv *invocation) configPlanCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "plan",
		Usage:     "print what applying a configuration would change",
		ArgsUsage: "FILE",
		Description: "Compares the configuration in FILE, \"-\" for standard input, with the one in force,\n" +
			"and prints the changes, their effects on running work, and the version in force.\n" +
			"Changes nothing.\n\n" +
			"Example:\n   endivehill config plan --address 10.0.0.1:8080 configuration.json",
	}, inv.configPlan)
}

func (inv *invocation) configPlan(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	document, err := inv.readConfiguration(c.Args().First())
	if err != nil {
		return err
	}
	plan, err := planFromCurrent(ctx, cl, document)
	if err != nil {
		return err
	}
	return inv.print(c, plan, func(w io.Writer) { printPlan(w, plan) })
}

// planFromCurrent returns the changes from the version in force to document.
func planFromCurrent(ctx context.Context, cl *client.Client, document api.Configuration) (api.Plan, error) {
	view, err := cl.Config(ctx)
	if err != nil {
		return api.Plan{}, err
	}
	return cl.Plan(ctx, api.ConfigApply{BaseVersion: view.Version, Document: document})
}

func printPlan(w io.Writer, plan api.Plan) {
	fmt.Fprintf(w, "changes from version %d:\n", plan.BaseVersion)
	printChanges(w, plan.Changes)
}
