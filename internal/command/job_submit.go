package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/document"
)

func (inv *invocation) jobSubmitCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "submit",
		Usage:     "submit a job",
		ArgsUsage: "[FILE]",
		Description: "Submits the job in FILE, \"-\" for standard input, or the job described by flags. A job\n" +
			"ID is generated if none is given. Submitting again with the same ID and content is\n" +
			"safe: the job is accepted once.\n\n" +
			"Examples:\n" +
			"   endivehill job submit --queue workshop.cut-list-build --cpu-millis 4000 --memory-mb 2048\n" +
			"   endivehill job submit --queue studio.baffle-render --tasks 6 --cpu-millis 32000 \\\n" +
			"      --memory-mb 65536 --accelerators 4 --estimated-run 20m --checkpointable\n" +
			"   endivehill job submit job.json",
		Flags: submissionFlags(),
	}, inv.jobSubmit)
}

// submissionFlags returns the flags that describe a job without a file.
func submissionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "queue", Usage: "`QUEUE` to submit the job to"},
		&cli.StringFlag{Name: "id", Usage: "job `ID`, unique within the team"},
		&cli.IntFlag{Name: "tasks", Value: 1, Usage: "number of tasks"},
		&cli.IntFlag{Name: "cpu-millis", Usage: "thousandths of a core for each task"},
		&cli.IntFlag{Name: "memory-mb", Usage: "memory in MiB for each task"},
		&cli.IntFlag{Name: "accelerators", Usage: "accelerators for each task"},
		&cli.DurationFlag{Name: "estimated-run", Usage: "expected run time of a task"},
		&cli.DurationFlag{Name: "deadline", Usage: "time from now after which the job must not be started"},
		&cli.StringFlag{Name: "payload", Usage: "opaque `TEXT` for the worker"},
		&cli.BoolFlag{Name: "checkpointable", Usage: "tasks can be checkpointed"},
		&cli.IntFlag{Name: "max-attempts", Usage: "maximum number of starts of a task, 0 for the default of 3"},
	}
}

func (inv *invocation) jobSubmit(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 0, 1); err != nil {
		return err
	}
	in, err := inv.readSubmission(c)
	if err != nil {
		return err
	}
	job, err := cl.SubmitJob(ctx, in)
	if err != nil {
		fmt.Fprintf(inv.stderr, "job ID %s, outcome %s%s\n", in.Id, outcomeOf(err), retryHint(err, "--id", in.Id))
		return err
	}
	return inv.print(c, job, func(w io.Writer) { fmt.Fprintln(w, job.Spec.Id) })
}

func (inv *invocation) readSubmission(c *cli.Command) (api.JobSubmission, error) {
	if !c.Args().Present() {
		return inv.submissionFromFlags(c)
	}
	for _, f := range submissionFlags() {
		if name := f.Names()[0]; c.IsSet(name) {
			return api.JobSubmission{}, usageErrorf(c, "FILE and --%s cannot be given together", name)
		}
	}
	var in api.JobSubmission
	data, err := document.ReadFile(c.Args().First(), inv.stdin)
	if err != nil {
		return in, err
	}
	return in, document.Decode(data, "JobSubmission", &in)
}

func (inv *invocation) submissionFromFlags(c *cli.Command) (api.JobSubmission, error) {
	if c.String("queue") == "" {
		return api.JobSubmission{}, usageErrorf(c, "FILE or --queue is needed")
	}
	in := api.JobSubmission{
		Id:    c.String("id"),
		Queue: c.String("queue"),
		Tasks: c.Int("tasks"),
		Resources: api.Resources{
			CpuMillis:    c.Int("cpu-millis"),
			MemoryMb:     c.Int("memory-mb"),
			Accelerators: c.Int("accelerators"),
		},
		EstimatedRunMs: int(c.Duration("estimated-run") / time.Millisecond),
		Payload:        c.String("payload"),
		Checkpointable: c.Bool("checkpointable"),
		MaxAttempts:    c.Int("max-attempts"),
	}
	if c.IsSet("deadline") {
		in.DeadlineUnixMs = int(inv.now().Add(c.Duration("deadline")).UnixMilli())
	}
	if in.Id == "" {
		id, err := inv.newID()
		if err != nil {
			return in, err
		}
		in.Id = id
	}
	return in, document.Check(in, "JobSubmission")
}
