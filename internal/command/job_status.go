package command

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
)

func (inv *invocation) jobStatusCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "status",
		Usage:     "print the state of a job",
		ArgsUsage: "ID",
		Description: "Examples:\n" +
			"   endivehill job status --address 10.0.0.1:8080 cut-41\n" +
			"   endivehill job status --tasks cut-41",
		Flags: []cli.Flag{
			teamFlag(),
			&cli.BoolFlag{Name: "tasks", Usage: "print each task as well"},
		},
	}, inv.jobStatus)
}

func (inv *invocation) jobStatus(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	job, err := cl.Job(ctx, c.String("team"), c.Args().First())
	if err != nil {
		return err
	}
	return inv.print(c, job, func(w io.Writer) {
		printJob(w, job)
		if c.Bool("tasks") {
			printTasks(w, job.Tasks)
		}
	})
}

func printTasks(w io.Writer, tasks []api.TaskRow) {
	rows := [][]string{{"TASK", "STATE", "ATTEMPT", "VM", "EXIT CODE"}}
	for _, t := range tasks {
		rows = append(rows, []string{
			strconv.Itoa(t.Index), string(t.State), strconv.Itoa(t.Attempt), dashIfEmpty(t.Vm), strconv.Itoa(t.ExitCode),
		})
	}
	printTable(w, rows)
}
