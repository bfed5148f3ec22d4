package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
)

func (s *session) configPlanCommand() *cli.Command {
	return s.withAPI(&cli.Command{
		Name:      "plan",
		Usage:     "print what applying a configuration would change",
		ArgsUsage: "FILE",
		Description: "Compares the configuration in FILE, \"-\" for standard input, with the one in force,\n" +
			"and prints the changes, what follows for running work, and the version in force.\n" +
			"Changes nothing.\n\n" +
			"Example:\n   endivehill config plan --address 10.0.0.1:8080 configuration.json",
	}, s.configPlan)
}

func (s *session) configPlan(ctx context.Context, c *cli.Command, a *client.Client) error {
	if err := arguments(c, 1, 1); err != nil {
		return err
	}
	document, err := s.readConfiguration(c.Args().First())
	if err != nil {
		return err
	}
	plan, err := planInForce(ctx, a, document)
	if err != nil {
		return err
	}
	return s.print(c, plan, func(w io.Writer) { printPlan(w, plan) })
}

// planInForce returns the changes from the version in force.
func planInForce(ctx context.Context, a *client.Client, document api.Configuration) (api.Plan, error) {
	view, err := a.Config(ctx)
	if err != nil {
		return api.Plan{}, err
	}
	return a.Plan(ctx, api.ConfigApply{BaseVersion: view.Version, Document: document})
}

func printPlan(w io.Writer, plan api.Plan) {
	fmt.Fprintf(w, "changes from version %d:\n", plan.BaseVersion)
	printChanges(w, plan.Changes)
}
