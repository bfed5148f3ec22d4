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

// columnGap is the space between columns of text output.
const columnGap = 2

// print writes value as JSON or calls text, as --output says.
func (s *session) print(c *cli.Command, value any, text func(io.Writer)) error {
	if c.String("output") == outputJSON {
		return s.printJSON(value)
	}
	text(s.out)
	return nil
}

func (s *session) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the output")
	}
	_, err = fmt.Fprintf(s.out, "%s\n", data)
	return errors.Wrap(err, "write the output")
}

// table writes rows in columns.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush() // an error of the writer shows at its next use
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

// showTime returns Unix milliseconds as RFC 3339, "-" for 0.
func showTime(unixMs int) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(int64(unixMs)).UTC().Format(time.RFC3339)
}

// orDash returns s, "-" if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
