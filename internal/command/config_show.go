package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/config"
)

func (inv *invocation) configShowCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "show",
		Usage:     "print the configuration in force or an earlier version",
		ArgsUsage: " ",
		Description: "Prints the document in the format of config generate, and the version to standard\n" +
			"error. With --output json both are in one object.\n\n" +
			"Examples:\n" +
			"   endivehill config show --address 10.0.0.1:8080 > configuration.json\n" +
			"   endivehill config show --version 41",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "version", HideDefault: true, Usage: "`VERSION` to print instead of the one in force"},
		},
	}, inv.configShow)
}

func (inv *invocation) configShow(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 0, 0); err != nil {
		return err
	}
	view, err := fetchConfigVersion(ctx, c, cl)
	if err != nil {
		return err
	}
	if c.String("output") == outputJSON {
		return inv.printJSON(view)
	}
	data, err := config.Encode(view.Document)
	if err != nil {
		return err
	}
	fmt.Fprintf(inv.stderr, "version %d\n", view.Version)
	_, err = inv.stdout.Write(data)
	return errors.Wrap(err, "write the configuration")
}

func fetchConfigVersion(ctx context.Context, c *cli.Command, cl *client.Client) (api.ConfigView, error) {
	if !c.IsSet("version") {
		return cl.Config(ctx)
	}
	if c.Int("version") < 1 {
		return api.ConfigView{}, usageErrorf(c, "--version %d must be at least 1", c.Int("version"))
	}
	return cl.ConfigVersion(ctx, c.Int("version"))
}
