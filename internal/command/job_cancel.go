package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
)

// maxCanceledJobs is the maximum number of IDs in one invocation of job cancel.
const maxCanceledJobs = 1000

func (inv *invocation) jobCancelCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "cancel",
		Usage:     "cancel jobs",
		ArgsUsage: "ID...",
		Description: "Shows the jobs and asks before they are canceled. Running tasks are stopped. Canceling\n" +
			"a job that has ended changes nothing.\n\n" +
			"Examples:\n" +
			"   endivehill job cancel --address 10.0.0.1:8080 cut-41\n" +
			"   endivehill job cancel --yes cut-41 cut-42",
		Flags: []cli.Flag{teamFlag(), yesFlag()},
	}, inv.jobCancel)
}

func (inv *invocation) jobCancel(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 1, maxCanceledJobs); err != nil {
		return err
	}
	ids := c.Args().Slice()
	var jobs []api.JobRow
	for _, id := range ids {
		job, err := cl.Job(ctx, c.String("team"), id)
		if err != nil {
			return err
		}
		jobs = append(jobs, job)
	}
	printJobTable(inv.stderr, jobs)
	if err := inv.confirm(ctx, c, "cancel these jobs?"); err != nil {
		return err
	}
	list := api.JobList{Jobs: []api.JobRow{}}
	for i, id := range ids {
		job, err := cl.CancelJob(ctx, c.String("team"), id)
		if err != nil {
			fmt.Fprintf(inv.stderr, "%d of %d jobs were canceled before the error\n", i, len(ids))
			return err
		}
		list.Jobs = append(list.Jobs, job)
	}
	return inv.print(c, list, func(w io.Writer) { printJobTable(w, list.Jobs) })
}
