// Command measure runs the series of package measure, saves and plots their results
// and prints the tables of docs/CAPACITY.md:
//
//	go run ./internal/measure/cmd/measure run --series workers
//	go run ./internal/measure/cmd/measure plot
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/measure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	dir := &cli.StringFlag{Name: "dir", Value: "docs/capacity", Usage: "`DIRECTORY` of the results and plots"}
	root := &cli.Command{
		Name: "measure", Usage: "measure the resource usage of endivehill by size",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run series and save their results", Action: run,
				Flags: []cli.Flag{
					dir,
					&cli.StringSliceFlag{Name: "series", Usage: "`NAME` of a series to run; all if not set"},
					&cli.DurationFlag{Name: "window", Value: 8 * time.Second, Usage: "measurement `TIME` of each run"},
					&cli.IntFlag{Name: "repeats", Value: 3, Usage: "`NUMBER` of runs of each size"},
				},
			},
			{Name: "plot", Usage: "plot the saved results", Flags: []cli.Flag{dir}, Action: plot},
			{Name: "tables", Usage: "print the tables of docs/CAPACITY.md", Flags: []cli.Flag{dir}, Action: tables},
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	program, remove, err := measure.BuildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	m := &measure.RunConfig{
		Program: program, Window: c.Duration("window"), Repeats: c.Int("repeats"),
		Log: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	}
	for _, s := range measure.AllSeries() {
		if names := c.StringSlice("series"); len(names) > 0 && !contains(names, s.Name) {
			continue
		}
		result, err := s.Run(ctx, m)
		if err != nil {
			return err
		}
		if err := measure.SaveResult(c.String("dir"), result); err != nil {
			return err
		}
	}
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func plot(_ context.Context, c *cli.Command) error { return measure.PlotAllSeries(c.String("dir")) }

func tables(_ context.Context, c *cli.Command) error {
	text, err := measure.MarkdownTables(c.String("dir"))
	fmt.Print(text)
	return err
}
