package command

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/errkind"
)

// confirm asks the user to confirm a change. Without a terminal it fails unless --yes
// is given, so that a script cannot destroy anything by accident.
func (inv *invocation) confirm(ctx context.Context, c *cli.Command, question string) error {
	if c.Bool("yes") {
		return nil
	}
	if !inv.stdinIsTerminal {
		return usageErrorf(c, "nothing was changed: --yes is needed without a terminal")
	}
	fmt.Fprintf(inv.stderr, "%s [y/N] ", question)
	answer, err := inv.readLine(ctx)
	if err != nil {
		return err
	}
	if a := strings.ToLower(strings.TrimSpace(answer)); a != "y" && a != "yes" {
		return errkind.New(errkind.Canceled, "", "nothing was changed")
	}
	return nil
}

// readLine reads a line from the terminal. It returns early if ctx ends.
func (inv *invocation) readLine(ctx context.Context) (string, error) {
	type result struct {
		line string
		err  error
	}
	read := make(chan result, 1)
	go func() {
		line, err := bufio.NewReader(inv.stdin).ReadString('\n')
		read <- result{line, err}
	}()
	select {
	case r := <-read:
		if r.err != nil && r.line == "" {
			return "", errkind.New(errkind.Canceled, "", "nothing was changed: no answer was given")
		}
		return r.line, nil
	case <-ctx.Done():
		return "", errors.Wrap(ctx.Err(), "nothing was changed")
	}
}
