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

func (s *session) configApplyCommand() *cli.Command {
	return s.withAPI(&cli.Command{
		Name:      "apply",
		Usage:     "make a configuration the one in force",
		ArgsUsage: "FILE",
		Description: "Shows what changes and asks before it applies the configuration in FILE. The change\n" +
			"is made from the version given with --base, otherwise from the version its plan was\n" +
			"shown for; if another operator applied a version in between, it fails with\n" +
			"version_conflict (exit code 5) and changes nothing. If not every node confirms in\n" +
			"time, it fails with unconfirmed (exit code 10): the change is committed; repeat the\n" +
			"command with the same --base to wait for confirmation.\n\n" +
			"Examples:\n" +
			"   endivehill config apply --address 10.0.0.1:8080 configuration.json\n" +
			"   endivehill config apply --base 41 --yes configuration.json",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base", Value: -1, HideDefault: true, Usage: "`VERSION` that the file was made from"},
			yesFlag(),
		},
	}, s.configApply)
}

func (s *session) configApply(ctx context.Context, c *cli.Command, a *client.Client) error {
	if err := arguments(c, 1, 1); err != nil {
		return err
	}
	if c.IsSet("base") && c.Int("base") < 0 {
		return usage(c, "--base %d must be at least 0", c.Int("base"))
	}
	document, err := s.readConfiguration(c.Args().First())
	if err != nil {
		return err
	}
	plan, err := planInForce(ctx, a, document)
	if err != nil {
		return err
	}
	printPlan(s.err, plan)
	base, err := applyBase(c, plan)
	if err != nil {
		return err
	}
	if len(plan.Changes) == 0 && base == plan.BaseVersion {
		applied := api.Applied{Version: plan.BaseVersion, Confirmed: true, UnconfirmedNodes: []string{}}
		return s.printApplied(c, applied)
	}
	if len(plan.Changes) > 0 {
		if err := s.confirm(ctx, c, "apply these changes?"); err != nil {
			return err
		}
	}
	applied, err := a.Apply(ctx, api.ConfigApply{BaseVersion: base, Document: document})
	if errkind.Is(err, errkind.Unconfirmed) {
		fmt.Fprintf(s.err, "repeat with --base %d to wait for confirmation\n", base)
	}
	if err != nil {
		return err
	}
	return s.printApplied(c, applied)
}

// applyBase returns the version that the change is made from. A base that is
// not in force fails before the question is asked, unless nothing changes: then
// the call repeats an apply that was not confirmed.
func applyBase(c *cli.Command, plan api.Plan) (int, error) {
	if !c.IsSet("base") {
		return plan.BaseVersion, nil
	}
	base := c.Int("base")
	if base != plan.BaseVersion && len(plan.Changes) > 0 {
		return 0, errkind.New(errkind.VersionConflict, "base", "version %d is in force, not %d; nothing was changed", plan.BaseVersion, base)
	}
	return base, nil
}

func (s *session) printApplied(c *cli.Command, applied api.Applied) error {
	return s.print(c, applied, func(w io.Writer) {
		fmt.Fprintf(w, "version %d is in force on every node\n", applied.Version)
	})
}
