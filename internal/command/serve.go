package command

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/node"
	"github.com/endivehill/endivehill/internal/settings"
)

func (inv *invocation) serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry node",
		Description: "Runs an entry node with the settings of a JSON file until SIGINT or SIGTERM. The node\n" +
			"then becomes unready for the balancer, finishes the calls in flight, hands its\n" +
			"partitions over and exits with 0.\n\nExample:\n\n   endivehill serve --settings node-1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in JSON", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: inv.serve,
	}
}

func (inv *invocation) serve(ctx context.Context, c *cli.Command) error {
	loaded, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	files, err := settings.LoadTLS(loaded)
	if err != nil {
		return err
	}
	if c.Bool("check") {
		return nil
	}
	n, err := node.New(node.Options{Settings: loaded, TLS: files, Logger: inv.newLogger(loaded), Version: Version})
	if err != nil {
		return errors.Wrap(err, "start the node")
	}
	return n.Run(ctx)
}

// newLogger returns a logger that writes structured lines to standard error.
func (inv *invocation) newLogger(loaded api.Settings) log.Logger {
	return withLowestLevel(log.With(log.NewLogfmtLogger(log.NewSyncWriter(inv.stderr)), "time", log.DefaultTimestampUTC), loaded.LogLevel)
}

func withLowestLevel(logger log.Logger, lowest *api.LogLevel) log.Logger {
	allow := level.AllowInfo()
	if lowest != nil {
		allow = level.Allow(level.ParseDefault(string(*lowest), level.InfoValue()))
	}
	return level.NewFilter(logger, allow)
}
