package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/document"
)

func (inv *invocation) configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check answers or a configuration",
		ArgsUsage: "FILE",
		Description: "Checks a file, \"-\" for standard input, and prints all errors, each with the field,\n" +
			"the value and what is allowed. A file with the field \"queues\" is checked as a\n" +
			"configuration, any other as answers.\n\n" +
			"Example:\n   endivehill config check answers.json",
		Flags:  []cli.Flag{outputFlag()},
		Action: inv.configCheck,
	}
}

// checkResult is the JSON output of the command config check.
type checkResult struct {
	Type   string `json:"type"`
	Cell   string `json:"cell"`
	Pools  int    `json:"pools"`
	Teams  int    `json:"teams"`
	Queues int    `json:"queues"`
}

func (inv *invocation) configCheck(_ context.Context, c *cli.Command) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	data, err := document.ReadFile(c.Args().First(), inv.stdin)
	if err != nil {
		return err
	}
	out, err := checkFile(data)
	if err != nil {
		return err
	}
	return inv.print(c, out, func(w io.Writer) {
		fmt.Fprintf(w, "%s of cell %s: %d pools, %d teams, %d queues, no errors\n", out.Type, out.Cell, out.Pools, out.Teams, out.Queues)
	})
}

func checkFile(data []byte) (checkResult, error) {
	if !isConfiguration(data) {
		answers, err := config.ParseAnswers(data)
		if err != nil {
			return checkResult{}, err
		}
		c := config.Generate(answers)
		return checkResult{"answers", c.Cell, len(c.Pools), len(c.Teams), len(c.Queues)}, nil
	}
	c, err := config.DecodeConfiguration(data)
	if err != nil {
		return checkResult{}, err
	}
	return checkResult{"configuration", c.Cell, len(c.Pools), len(c.Teams), len(c.Queues)}, nil
}

// isConfiguration reports whether data has the field queues, which only a
// configuration has.
func isConfiguration(data []byte) bool {
	var probe struct {
		Queues json.RawMessage `json:"queues"`
	}
	return json.Unmarshal(data, &probe) == nil && probe.Queues != nil
}
