package command

import (
	stderrors "errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Exit codes besides those of the error kinds.
const (
	exitUnexpected = 1
	exitUsage      = 2
)

// usageError is a wrong use of the command line.
type usageError struct {
	command string
	reason  string
}

// Error returns the reason and where to find help.
func (e *usageError) Error() string {
	return fmt.Sprintf("%s\nsee %s --help", e.reason, e.command)
}

func usage(c *cli.Command, format string, args ...any) error {
	return &usageError{command: c.FullName(), reason: fmt.Sprintf(format, args...)}
}

// exitCode returns the exit code for an error of a verb.
func exitCode(err error) int {
	var wrong *usageError
	var known *errkind.Error
	switch {
	case err == nil:
		return 0
	case stderrors.As(err, &wrong):
		return exitUsage
	case stderrors.As(err, &known):
		return errkind.AnswerOf(known.Kind).ExitCode
	default:
		return exitUnexpected
	}
}

// report prints an error, each entry of a list on a line of its own.
func (s *session) report(err error) {
	var list document.Errors
	if stderrors.As(err, &list) {
		for _, e := range list {
			fmt.Fprintln(s.err, "endivehill:", e)
		}
		return
	}
	fmt.Fprintln(s.err, "endivehill:", err)
}

// arguments checks the number of positional arguments.
func arguments(c *cli.Command, least, most int) error {
	n := c.Args().Len()
	switch {
	case n < least:
		return usage(c, "missing argument; usage: %s %s", c.FullName(), c.ArgsUsage)
	case n > most:
		return usage(c, "unexpected argument %q; usage: %s %s", c.Args().Get(most), c.FullName(), c.ArgsUsage)
	}
	return nil
}
