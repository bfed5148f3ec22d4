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

// confirm asks whether to go on. Without a terminal it fails unless --yes was
// given, so that a script cannot destroy anything by accident.
func (s *session) confirm(ctx context.Context, c *cli.Command, question string) error {
	if c.Bool("yes") {
		return nil
	}
	if !s.terminal {
		return usage(c, "nothing was changed: without a terminal to ask at, --yes is needed")
	}
	fmt.Fprintf(s.err, "%s [y/N] ", question)
	answer, err := s.readLine(ctx)
	if err != nil {
		return err
	}
	if a := strings.ToLower(strings.TrimSpace(answer)); a != "y" && a != "yes" {
		return errkind.New(errkind.Canceled, "", "nothing was changed")
	}
	return nil
}

// readLine reads a line from the terminal or ends with the context.
func (s *session) readLine(ctx context.Context) (string, error) {
	type result struct {
		line string
		err  error
	}
	read := make(chan result, 1)
	go func() {
		line, err := bufio.NewReader(s.in).ReadString('\n')
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
