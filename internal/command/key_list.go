package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/client"
)

func (inv *invocation) keyListCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:        "list",
		Usage:       "list keys, withdrawn ones included",
		ArgsUsage:   " ",
		Description: "Example:\n   endivehill key list --address 10.0.0.1:8080",
	}, inv.keyList)
}

func (inv *invocation) keyList(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 0, 0); err != nil {
		return err
	}
	list, err := cl.Keys(ctx)
	if err != nil {
		return err
	}
	return inv.print(c, list, func(w io.Writer) {
		rows := [][]string{keyColumns}
		for _, k := range list.Keys {
			rows = append(rows, keyRow(k))
		}
		printTable(w, rows)
	})
}
