package command

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
)

func (inv *invocation) jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, watch and cancel services, batch jobs and gangs",
		Commands: []*cli.Command{
			inv.jobSubmitCommand(),
			inv.jobStatusCommand(),
			inv.jobListCommand(),
			inv.jobCancelCommand(),
		},
	}
}

var jobColumns = []string{"ID", "TEAM", "QUEUE", "CLASS", "STATE", "TASKS", "SUBMITTED", "REASON"}

func jobRow(j api.JobRow) []string {
	return []string{
		j.Spec.Id, j.Spec.Team, j.Spec.Queue, string(j.Spec.Class), string(j.State),
		strconv.Itoa(j.Spec.Tasks), formatTime(j.SubmittedUnixMs), dashIfEmpty(j.Reason),
	}
}

func printJobTable(w io.Writer, jobs []api.JobRow) {
	rows := [][]string{jobColumns}
	for _, j := range jobs {
		rows = append(rows, jobRow(j))
	}
	printTable(w, rows)
}

// taskCounts returns the number of tasks in each state, such as "3 running".
func taskCounts(tasks []api.TaskRow) string {
	counts := map[api.TaskState]int{}
	for _, t := range tasks {
		counts[t.State]++
	}
	parts := make([]string, 0, len(counts))
	for state, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func printJob(w io.Writer, j api.JobRow) {
	printTable(w, [][]string{
		{"id", j.Spec.Id},
		{"team", j.Spec.Team},
		{"queue", j.Spec.Queue},
		{"class", string(j.Spec.Class)},
		{"state", string(j.State)},
		{"tasks", taskCounts(j.Tasks)},
		{"partition", j.Partition},
		{"submitted", formatTime(j.SubmittedUnixMs)},
		{"finished", formatTime(j.FinishedUnixMs)},
		{"reason", dashIfEmpty(j.Reason)},
	})
}
