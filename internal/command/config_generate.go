package command

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/document"
)

func (s *session) configGenerateCommand() *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "print the configuration that answers lead to",
		ArgsUsage: "ANSWERS",
		Description: "Checks the answers, \"-\" for standard input, and prints the configuration as JSON.\n" +
			"Equal answers give equal output. All errors are printed at once.\n\n" +
			"Example:\n   endivehill config generate answers.json > configuration.json",
		Action: s.configGenerate,
	}
}

func (s *session) configGenerate(_ context.Context, c *cli.Command) error {
	if err := arguments(c, 1, 1); err != nil {
		return err
	}
	data, err := document.ReadFile(c.Args().First(), s.in)
	if err != nil {
		return err
	}
	answers, err := config.Parse(data)
	if err != nil {
		return err
	}
	out, err := config.Encode(config.Generate(answers))
	if err != nil {
		return err
	}
	_, err = s.out.Write(out)
	return errors.Wrap(err, "write the configuration")
}
