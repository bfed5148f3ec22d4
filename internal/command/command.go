// Package command implements the verbs of the command line, one file per verb.
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

// session is one run of the command line with everything it takes from its
// surroundings.
type session struct {
	in       io.Reader
	out      io.Writer
	err      io.Writer
	terminal bool // whether in is a terminal, so that questions can be asked
	getenv   func(string) string
	now      func() time.Time
	newID    func() (string, error) // makes a UUID version 7
}

// Main runs the command line and returns the exit code. The context of the
// verbs ends on SIGINT and SIGTERM.
func Main(ctx context.Context, args []string) int {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &session{
		in:       os.Stdin,
		out:      os.Stdout,
		err:      os.Stderr,
		terminal: term.IsTerminal(int(os.Stdin.Fd())),
		getenv:   os.Getenv,
		now:      time.Now,
		newID:    newID,
	}
	return s.run(ctx, args)
}

func newID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), err
}

func (s *session) run(ctx context.Context, args []string) int {
	root := s.root()
	prepare(root)
	err := root.Run(ctx, args)
	if err != nil {
		s.report(err)
	}
	return exitCode(err)
}

// root returns the tree of verbs.
func (s *session) root() *cli.Command {
	return &cli.Command{
		Name:                  "endivehill",
		Usage:                 "cluster scheduler for short requests, services, batch jobs and gangs",
		Version:               Version,
		Reader:                s.in,
		Writer:                s.out,
		ErrWriter:             s.err,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print a completion script for bash, zsh, fish or pwsh"
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			s.serveCommand(),
			s.cellCommand(),
			s.devCommand(),
			s.requestCommand(),
			s.jobCommand(),
			s.configCommand(),
			s.keyCommand(),
			s.stateCommand(),
			versionCommand(),
		},
	}
}

// prepare makes wrong usage an error of its own at every command, and groups
// show their help.
func prepare(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usage(c, "%v", err)
	}
	if c.Action == nil {
		c.Action = groupAction
	} else {
		c.HideHelpCommand = true // a positional argument may be called help
	}
	for _, sub := range c.Commands {
		prepare(sub)
	}
}

func groupAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usage(c, "unknown command %q", c.Args().First())
	}
	if c.Root() == c {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}
