package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/errkind"
)

func (inv *invocation) configApplyCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "apply",
		Usage:     "apply a configuration to the cell",
		ArgsUsage: "FILE",
		Description: "Shows the changes and asks before it applies the configuration in FILE. The change is\n" +
			"based on the version given with --base, by default on the version in force for which\n" +
			"the changes are shown; if another operator applies a version in between, the command\n" +
			"fails with version_conflict (exit code 5) and changes nothing. If not every node\n" +
			"confirms in time, it fails with unconfirmed (exit code 10): the change is committed;\n" +
			"repeat the command with the same --base to wait for confirmation.\n\n" +
			"Examples:\n" +
			"   endivehill config apply --address 10.0.0.1:8080 configuration.json\n" +
			"   endivehill config apply --base 41 --yes configuration.json",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base", Value: -1, HideDefault: true, Usage: "`VERSION` that the file is based on"},
			yesFlag(),
		},
	}, inv.configApply)
}

func (inv *invocation) configApply(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	if c.IsSet("base") && c.Int("base") < 0 {
		return usageErrorf(c, "--base %d must be at least 0", c.Int("base"))
	}
	document, err := inv.readConfiguration(c.Args().First())
	if err != nil {
		return err
	}
	plan, err := planFromCurrent(ctx, cl, document)
	if err != nil {
		return err
	}
	printPlan(inv.stderr, plan)
	base, err := chooseBaseVersion(c, plan)
	if err != nil {
		return err
	}
	if len(plan.Changes) == 0 && base == plan.BaseVersion {
		applied := api.Applied{Version: plan.BaseVersion, Confirmed: true, UnconfirmedNodes: []string{}}
		return inv.printApplied(c, applied)
	}
	if len(plan.Changes) > 0 {
		if err := inv.confirm(ctx, c, "apply these changes?"); err != nil {
			return err
		}
	}
	applied, err := cl.Apply(ctx, api.ConfigApply{BaseVersion: base, Document: document})
	if errkind.Is(err, errkind.Unconfirmed) {
		fmt.Fprintf(inv.stderr, "repeat with --base %d to wait for confirmation\n", base)
	}
	if err != nil {
		return err
	}
	return inv.printApplied(c, applied)
}

// chooseBaseVersion returns the version that the change is based on. A --base that is
// not in force is rejected before the user is asked, unless there is no change: then
// the call repeats an apply that was not confirmed by every node.
func chooseBaseVersion(c *cli.Command, plan api.Plan) (int, error) {
	if !c.IsSet("base") {
		return plan.BaseVersion, nil
	}
	base := c.Int("base")
	if base != plan.BaseVersion && len(plan.Changes) > 0 {
		return 0, errkind.New(errkind.VersionConflict, "base", "version %d is in force, not %d; nothing was changed", plan.BaseVersion, base)
	}
	return base, nil
}

func (inv *invocation) printApplied(c *cli.Command, applied api.Applied) error {
	return inv.print(c, applied, func(w io.Writer) {
		fmt.Fprintf(w, "version %d is in force on every node\n", applied.Version)
	})
}
