package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
)

// columnGap is the number of spaces between columns of text output.
const columnGap = 2

// print writes value as JSON or calls text, depending on --output.
func (inv *invocation) print(c *cli.Command, value any, text func(io.Writer)) error {
	if c.String("output") == outputJSON {
		return inv.printJSON(value)
	}
	text(inv.stdout)
	return nil
}

func (inv *invocation) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the output")
	}
	_, err = fmt.Fprintf(inv.stdout, "%s\n", data)
	return errors.Wrap(err, "write the output")
}

// printTable writes rows in columns.
func printTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush() // write errors of text output are ignored
}

// printChanges writes a list of changes, each with its effect.
func printChanges(w io.Writer, changes []api.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
		return
	}
	for _, c := range changes {
		switch {
		case c.Before == "":
			fmt.Fprintf(w, "+ %s: %s\n", c.Path, c.After)
		case c.After == "":
			fmt.Fprintf(w, "- %s: %s\n", c.Path, c.Before)
		default:
			fmt.Fprintf(w, "~ %s: %s -> %s\n", c.Path, c.Before, c.After)
		}
		if c.Effect != "" {
			fmt.Fprintf(w, "    %s\n", c.Effect)
		}
	}
}

// formatTime returns Unix milliseconds as RFC 3339, "-" for 0.
func formatTime(unixMs int) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(int64(unixMs)).UTC().Format(time.RFC3339)
}

// dashIfEmpty returns s, "-" if it is empty.
func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
