package command

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/document"
)

func (inv *invocation) configGenerateCommand() *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "print the configuration generated from answers",
		ArgsUsage: "ANSWERS",
		Description: "Checks the answers, \"-\" for standard input, and prints the configuration as JSON.\n" +
			"Equal answers give equal output. All errors are printed at once.\n\n" +
			"Example:\n   endivehill config generate answers.json > configuration.json",
		Action: inv.configGenerate,
	}
}

func (inv *invocation) configGenerate(_ context.Context, c *cli.Command) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	data, err := document.ReadFile(c.Args().First(), inv.stdin)
	if err != nil {
		return err
	}
	answers, err := config.ParseAnswers(data)
	if err != nil {
		return err
	}
	out, err := config.Encode(config.Generate(answers))
	if err != nil {
		return err
	}
	_, err = inv.stdout.Write(out)
	return errors.Wrap(err, "write the configuration")
}
