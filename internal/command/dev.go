package command

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/examples"
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/dev"
	"github.com/endivehill/endivehill/internal/errkind"
)

const defaultLoadTime = 20 * time.Second // default of dev --duration

func (inv *invocation) devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole cell on this machine and check its guarantees",
		Description: "Runs stand-ins of the platform and several nodes inside this process, applies the\n" +
			"configuration of an example, generates its workload, and prints a table and the\n" +
			"result of the checker. The exit code is 0 only for \"violations: 0\".\n\nExamples:\n\n" +
			"   endivehill dev\n   endivehill dev --example dyniowe-pole --fault store-outage\n" +
			"   endivehill dev --stay\n   endivehill dev --nodes 0 --stay --write-settings settings",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "example", Value: "cooperative", Usage: "`NAME` of the example: " + strings.Join(examples.Names(), ", ")},
			&cli.IntFlag{Name: "nodes", Value: 3, Usage: "`NUMBER` of nodes; 0 runs the stand-ins only"},
			&cli.DurationFlag{Name: "duration", Value: defaultLoadTime, Usage: "`TIME` for which load is generated"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the load; random and printed if 0"},
			&cli.StringFlag{Name: "fault", Usage: "`FAULT` injected in the middle of the load: " + strings.Join(dev.Faults(), ", ")},
			&cli.BoolFlag{Name: "stay", Usage: "keep running after the load until interrupted"},
			&cli.StringFlag{Name: "write-settings", Usage: "write settings files for three serve processes to `DIR`"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "lowest `LEVEL` of the nodes' logs: debug, info, warn, error"},
		},
		Action: inv.dev,
	}
}

func (inv *invocation) dev(ctx context.Context, c *cli.Command) error {
	if err := checkDevFlags(c); err != nil {
		return err
	}
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = rand.Uint64()
	}
	lowest := api.LogLevel(c.String("log-level"))
	logger := withLowestLevel(log.With(log.NewLogfmtLogger(log.NewSyncWriter(inv.stderr)), "time", log.DefaultTimestampUTC), &lowest)
	return dev.Run(ctx, dev.Options{
		Example:       c.String("example"),
		Nodes:         c.Int("nodes"),
		Duration:      c.Duration("duration"),
		Seed:          seed,
		Fault:         dev.Fault(c.String("fault")),
		Stay:          c.Bool("stay"),
		WriteSettings: c.String("write-settings"),
		Version:       Version,
		Out:           inv.stdout,
		Logger:        logger,
	})
}

func checkDevFlags(c *cli.Command) error {
	if n := c.Int("nodes"); n < 0 || n > maxDevNodes {
		return errkind.New(errkind.InvalidArgument, "nodes", "value %d must be between 0 and %d", n, maxDevNodes)
	}
	if d := c.Duration("duration"); d < time.Second || d > time.Hour {
		return errkind.New(errkind.InvalidArgument, "duration", "value %s must be between 1s and 1h", d)
	}
	fault := c.String("fault")
	if fault == "" {
		return nil
	}
	for _, known := range dev.Faults() {
		if fault == known {
			return nil
		}
	}
	return errkind.New(errkind.InvalidArgument, "fault", "value %q must be one of %s", fault, strings.Join(dev.Faults(), ", "))
}

const maxDevNodes = 9
