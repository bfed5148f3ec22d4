package command

import (
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/document"
)

func (inv *invocation) configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "generate, check, compare and apply the configuration",
		Description: "The configuration is generated from the answers of the questionnaire, kept under\n" +
			"version control and applied to the cell:\n\n" +
			"   endivehill config generate answers.json > configuration.json\n" +
			"   endivehill config plan configuration.json\n" +
			"   endivehill config apply configuration.json",
		Commands: []*cli.Command{
			inv.configGenerateCommand(),
			inv.configCheckCommand(),
			inv.configDiffCommand(),
			inv.configPlanCommand(),
			inv.configApplyCommand(),
			inv.configShowCommand(),
		},
	}
}

// readConfiguration reads and checks a configuration file, "-" for stdin.
func (inv *invocation) readConfiguration(path string) (api.Configuration, error) {
	data, err := document.ReadFile(path, inv.stdin)
	if err != nil {
		return api.Configuration{}, err
	}
	return config.DecodeConfiguration(data)
}
