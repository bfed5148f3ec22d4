// Package command implements the commands of the command line, one file each.
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"
)

// invocation is one run of the command line with its standard streams, environment,
// clock and source of IDs.
type invocation struct {
	stdin           io.Reader
	stdout          io.Writer
	stderr          io.Writer
	stdinIsTerminal bool // whether stdin is a terminal, so that the user can be asked
	getenv          func(string) string
	now             func() time.Time
	newID           func() (string, error) // generates a UUID version 7
}

// Main runs the command line and returns the exit code. SIGINT and SIGTERM cancel
// the context of the command.
func Main(ctx context.Context, args []string) int {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	inv := &invocation{
		stdin:           os.Stdin,
		stdout:          os.Stdout,
		stderr:          os.Stderr,
		stdinIsTerminal: term.IsTerminal(int(os.Stdin.Fd())),
		getenv:          os.Getenv,
		now:             time.Now,
		newID:           newID,
	}
	return inv.run(ctx, args)
}

func newID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), err
}

func (inv *invocation) run(ctx context.Context, args []string) int {
	root := inv.rootCommand()
	setUsageHandlers(root)
	err := root.Run(ctx, args)
	if err != nil {
		inv.printError(err)
	}
	return exitCode(err)
}

// rootCommand returns the command with all its subcommands.
func (inv *invocation) rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "endivehill",
		Usage:                 "cluster scheduler for short requests, services, batch jobs and gangs",
		Version:               Version,
		Reader:                inv.stdin,
		Writer:                inv.stdout,
		ErrWriter:             inv.stderr,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print a completion script for bash, zsh, fish or pwsh"
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			inv.serveCommand(),
			inv.cellCommand(),
			inv.devCommand(),
			inv.requestCommand(),
			inv.jobCommand(),
			inv.configCommand(),
			inv.keyCommand(),
			inv.stateCommand(),
			inv.explainCommand(),
			versionCommand(),
		},
	}
}

// setUsageHandlers makes every command return a usageError on wrong usage, and makes
// groups of commands show their help.
func setUsageHandlers(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageErrorf(c, "%v", err)
	}
	if c.Action == nil {
		c.Action = showGroupHelp
	} else {
		c.HideHelpCommand = true // a positional argument may be "help"
	}
	for _, sub := range c.Commands {
		setUsageHandlers(sub)
	}
}

func showGroupHelp(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageErrorf(c, "unknown command %q", c.Args().First())
	}
	if c.Root() == c {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}
