package command

import (
	stderrors "errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Exit codes for errors without a kind.
const (
	exitCodeUnexpected = 1
	exitCodeUsage      = 2
)

// usageError is an error in the arguments of a command.
type usageError struct {
	command string
	reason  string
}

// Error returns the reason and how to get help.
func (e *usageError) Error() string {
	return fmt.Sprintf("%s\nsee %s --help", e.reason, e.command)
}

func usageErrorf(c *cli.Command, format string, args ...any) error {
	return &usageError{command: c.FullName(), reason: fmt.Sprintf(format, args...)}
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var usageErr *usageError
	var kindErr *errkind.Error
	switch {
	case err == nil:
		return 0
	case stderrors.As(err, &usageErr):
		return exitCodeUsage
	case stderrors.As(err, &kindErr):
		return errkind.ResponseOf(kindErr.Kind).ExitCode
	default:
		return exitCodeUnexpected
	}
}

// printError prints an error. The entries of a list are printed on separate lines.
func (inv *invocation) printError(err error) {
	var list document.Errors
	if stderrors.As(err, &list) {
		for _, e := range list {
			fmt.Fprintln(inv.stderr, "endivehill:", e)
		}
		return
	}
	fmt.Fprintln(inv.stderr, "endivehill:", err)
}

// checkArgumentCount checks the number of positional arguments.
func checkArgumentCount(c *cli.Command, least, most int) error {
	n := c.Args().Len()
	switch {
	case n < least:
		return usageErrorf(c, "missing argument; usage: %s %s", c.FullName(), c.ArgsUsage)
	case n > most:
		return usageErrorf(c, "unexpected argument %q; usage: %s %s", c.Args().Get(most), c.FullName(), c.ArgsUsage)
	}
	return nil
}
