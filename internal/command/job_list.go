package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/client"
)

// defaultListLimit is the default of --limit.
const defaultListLimit = 100

func (inv *invocation) jobListCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "list",
		Usage:     "list jobs",
		ArgsUsage: " ",
		Description: "Lists the jobs of the team of the key. With an operator key it lists the jobs of all\n" +
			"teams or of --team.\n\n" +
			"Examples:\n" +
			"   endivehill job list --address 10.0.0.1:8080 --state running\n" +
			"   endivehill job list --limit 50 --after cut-41",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "only jobs of `TEAM`"},
			&cli.StringFlag{Name: "state", Usage: "only jobs in `STATE`: queued, running, done, failed or canceled"},
			&cli.StringFlag{Name: "after", Usage: "continue after the job with `ID`"},
			&cli.IntFlag{Name: "limit", Value: defaultListLimit, Usage: "maximum number of jobs to list"},
		},
	}, inv.jobList)
}

func (inv *invocation) jobList(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 0, 0); err != nil {
		return err
	}
	if c.Int("limit") < 1 {
		return usageErrorf(c, "--limit %d must be at least 1", c.Int("limit"))
	}
	list, err := cl.Jobs(ctx, client.JobQuery{
		Team:  c.String("team"),
		State: c.String("state"),
		After: c.String("after"),
		Limit: c.Int("limit"),
	})
	if err != nil {
		return err
	}
	return inv.print(c, list, func(w io.Writer) { printJobTable(w, list.Jobs) })
}
