package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/work"
)

const (
	// explainTimeout is the default time-out of a call; a node waits less for the owner.
	explainTimeout = 5 * time.Second
	// explainedID is the ID of a work whose file has none.
	explainedID = "0000000000000000"
)

func (inv *invocation) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell where a request or job would be placed now, and why, without submitting it",
		ArgsUsage: "FILE|-",
		Description: "FILE contains the work in JSON; \"-\" is standard input. Example of a file:\n" +
			"   {\"steps\": [{\"count\": 3, \"size\": {\"cpu_millis\": 5300, \"memory_mb\": 900}, \"estimate_ms\": 480}]}\n" +
			"Further fields of a step are gang, constraint, affinity, colocated, max_per_worker,\n" +
			"long_running, opportunistic, image and after. Without --team no limit of a team applies.\n" +
			"The node passes the call to the owner of the cell; nothing is submitted and no key is\n" +
			"needed.\n\n" +
			"Example:\n   endivehill explain --address 10.0.0.1:9090 --queue pricing-check --team desk-4 work.json",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Category: connectionCategory,
				Usage: "metrics address `HOST:PORT` of a node of a cell; may be repeated: the next one is tried if no connection can be made"},
			&cli.DurationFlag{Name: "timeout", Category: connectionCategory, Value: explainTimeout, Usage: "timeout of the call"},
			&cli.StringFlag{Name: "queue", Usage: "`QUEUE` of the work; replaces the one in FILE"},
			&cli.StringFlag{Name: "team", Usage: "`TEAM` of the work; replaces the one in FILE"},
			&cli.BoolFlag{Name: "json", Usage: "the same as --output json"},
			outputFlag(),
		},
		Action: inv.explain,
	}
}

func (inv *invocation) explain(ctx context.Context, c *cli.Command) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	switch {
	case len(c.StringSlice("address")) == 0:
		return usageErrorf(c, "--address is needed")
	case c.String("queue") == "":
		return usageErrorf(c, "--queue is needed")
	case c.Duration("timeout") <= 0:
		return usageErrorf(c, "--timeout %s must be more than 0", c.Duration("timeout"))
	}
	in, err := inv.readExplainedWork(c)
	if err != nil {
		return err
	}
	cl, err := client.New(client.Options{Addresses: c.StringSlice("address"), Timeout: c.Duration("timeout")})
	if err != nil {
		return err
	}
	defer cl.Close()
	answer, err := cl.Explain(ctx, in)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return inv.printJSON(answer)
	}
	return inv.print(c, answer, func(w io.Writer) { printExplanation(w, in, answer) })
}

// readExplainedWork reads and checks the work in the file.
func (inv *invocation) readExplainedWork(c *cli.Command) (*api.WorkSpec, error) {
	data, err := document.ReadFile(c.Args().First(), inv.stdin)
	if err != nil {
		return nil, err
	}
	data, err = withDefaults(data, map[string]string{"id": explainedID, "queue": c.String("queue")})
	if err != nil {
		return nil, err
	}
	in := &api.WorkSpec{}
	if err := document.Decode(data, "WorkSpec", in); err != nil {
		return nil, err
	}
	in.Queue = c.String("queue")
	if c.IsSet("team") {
		in.Team = c.String("team")
	}
	return in, work.Validate(in)
}

// withDefaults adds the fields that a JSON object lacks. Other text is returned unchanged, so
// that its errors are reported with their positions.
func withDefaults(data []byte, defaults map[string]string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil || fields == nil {
		return data, nil
	}
	for name := range fields {
		delete(defaults, name)
	}
	if len(defaults) == 0 {
		return data, nil
	}
	added, err := json.Marshal(defaults)
	if err != nil {
		return nil, errors.Wrap(err, "encode the default fields")
	}
	if len(fields) == 0 {
		return added, nil
	}
	rest := bytes.TrimLeft(data, " \t\r\n")[1:]
	return append(append(added[:len(added)-1], ','), rest...), nil
}

// printExplanation prints an explanation for people.
func printExplanation(w io.Writer, in *api.WorkSpec, a *api.ExplainAnswer) {
	fmt.Fprintf(w, "queue %s, team %s, pool %s, owner %s, configuration %d\n", in.Queue, dashIfEmpty(in.Team), a.Pool, a.Owner, a.ConfigVersion)
	if a.Refusal != "" {
		fmt.Fprintf(w, "would be refused now: %s\n", a.Refusal)
	} else {
		fmt.Fprintln(w, "would be accepted now")
	}
	if a.AdviceWaitMs > 0 {
		fmt.Fprintf(w, "needs scheduling advice, expected after %s; workers are listed as if all were permitted\n", milliseconds(a.AdviceWaitMs))
	}
	for i := range min(len(a.Steps), len(in.Steps)) {
		printExplainedStep(w, &in.Steps[i], &a.Steps[i])
	}
}

func printExplainedStep(w io.Writer, spec *api.StepSpec, s *api.ExplainStep) {
	fmt.Fprintf(w, "\nstep %d: %d of %d tasks would be placed now", s.Step, s.Placeable, spec.Count)
	if s.WaitsFor != "" {
		fmt.Fprintf(w, "; waits for %s", s.WaitsFor)
	}
	if s.PredictedMs > 0 {
		fmt.Fprintf(w, "; predicted run time of a task: %s", milliseconds(s.PredictedMs))
	}
	fmt.Fprintln(w)
	if len(s.Workers) == 0 {
		fmt.Fprintln(w, "no workers are listed: the pool has none, or the answer has no room for more")
		return
	}
	fmt.Fprintln(w, summarizeExclusions(s.Workers))
	rows := [][]string{{"WORKER", "DOMAIN", "RACK", "FREE CPU", "FREE MEMORY", "FREE ACCELERATORS", "FITS", "SCORE", "EXCLUDED BY"}}
	for i := range s.Workers {
		rows = append(rows, explainedWorkerRow(&s.Workers[i]))
	}
	printTable(w, rows)
}

func explainedWorkerRow(x *api.ExplainWorker) []string {
	fits, score := "-", "-"
	if x.ExcludedBy == "" {
		fits, score = strconv.Itoa(x.Fits), strconv.FormatFloat(x.Score, 'f', 3, 64)
	}
	return []string{
		x.Worker, dashIfEmpty(x.FailureDomain), dashIfEmpty(x.Rack), strconv.Itoa(x.Free.CpuMillis), strconv.Itoa(x.Free.MemoryMb),
		strconv.Itoa(x.Free.Accelerators), fits, score, dashIfEmpty(x.ExcludedBy),
	}
}

// summarizeExclusions counts the workers by the reason that excludes them, in their order.
func summarizeExclusions(workers []api.ExplainWorker) string {
	var names []string
	counts := map[string]int{}
	for i := range workers {
		name := workers[i].ExcludedBy
		if name != "" && counts[name] == 0 {
			names = append(names, name)
		}
		counts[name]++
	}
	parts := []string{fmt.Sprintf("%d of %d workers could take a task", counts[""], len(workers))}
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

// milliseconds formats a number of milliseconds.
func milliseconds(n int) string { return (time.Duration(n) * time.Millisecond).String() }
