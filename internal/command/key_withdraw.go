package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/errkind"
)

func (inv *invocation) keyWithdrawCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "withdraw",
		Usage:     "withdraw a key permanently",
		ArgsUsage: "ID",
		Description: "Shows the key and asks before it is withdrawn. Once the command succeeds, every node\n" +
			"rejects the key. With unconfirmed (exit code 10) repeat the command.\n\n" +
			"Example:\n   endivehill key withdraw --address 10.0.0.1:8080 k3f9",
		Flags: []cli.Flag{yesFlag()},
	}, inv.keyWithdraw)
}

func (inv *invocation) keyWithdraw(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	key, err := findKey(ctx, cl, c.Args().First())
	if err != nil {
		return err
	}
	printTable(inv.stderr, [][]string{keyColumns, keyRow(key)})
	if err := inv.confirm(ctx, c, "withdraw this key?"); err != nil {
		return err
	}
	applied, err := cl.WithdrawKey(ctx, key.Id)
	if err != nil {
		return err
	}
	return inv.print(c, applied, func(w io.Writer) {
		fmt.Fprintf(w, "key %s is withdrawn on every node\n", key.Id)
	})
}

func findKey(ctx context.Context, cl *client.Client, id string) (api.Key, error) {
	list, err := cl.Keys(ctx)
	if err != nil {
		return api.Key{}, err
	}
	for _, k := range list.Keys {
		if k.Id == id {
			return k, nil
		}
	}
	return api.Key{}, errkind.New(errkind.NotFound, "key", "key %q does not exist", id)
}
