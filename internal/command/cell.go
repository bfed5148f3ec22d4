package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/cellnode"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/logsink"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/platform"
)

// logCloseTimeout bounds the time for writing queued log lines before the process
// exits.
const logCloseTimeout = 300 * time.Millisecond

func (inv *invocation) cellCommand() *cli.Command {
	return &cli.Command{
		Name:  "cell",
		Usage: "run a node of a cell on the users' platform",
		Description: "Runs a node with the settings of a JSON file until SIGINT or SIGTERM. The node then\n" +
			"becomes unready for the balancer, hands the cell over if it owns it, answers the calls\n" +
			"that it has read and exits with 0.\n\nExample:\n\n   endivehill cell --settings node-1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in JSON; by default the file named by $" + platform.SettingsVariable + " in the environment"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: inv.cell,
	}
}

func (inv *invocation) cell(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	loaded, err := settings.LoadCell(path)
	if err != nil {
		return err
	}
	if c.Bool("check") {
		return nil
	}
	sink := logsink.New(inv.stdout)
	defer sink.Close(logCloseTimeout)
	logger := withLowestLevel(log.With(sink.Limit(log.NewLogfmtLogger(sink), event.IsBulk), "time", log.DefaultTimestampUTC), loaded.LogLevel)
	// The platform sends SIGHUP when settings change. The signal is caught and
	// ignored, because by default it would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return cellnode.New(cellnode.Options{Settings: loaded, Logger: logger, Clock: clock.System{}, DroppedLogLines: sink.Dropped}).Run(ctx)
}
