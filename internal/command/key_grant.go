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

func (inv *invocation) keyGrantCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "grant",
		Usage:     "create a key for a team or an operator",
		ArgsUsage: " ",
		Description: "Prints the key, which is not stored and cannot be shown again. With unconfirmed (exit\n" +
			"code 10) the key is granted, but some nodes may still reject it.\n\n" +
			"Examples:\n" +
			"   endivehill key grant --address 10.0.0.1:8080 --team quotes\n" +
			"   endivehill key grant --role operator",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "`TEAM` that the key belongs to"},
			&cli.StringFlag{Name: "role", Value: string(api.RoleCaller), Usage: "`ROLE` of the key, caller or operator"},
		},
	}, inv.keyGrant)
}

func (inv *invocation) keyGrant(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 0, 0); err != nil {
		return err
	}
	in := api.KeyGrant{Role: api.Role(c.String("role")), Team: c.String("team")}
	switch {
	case in.Role != api.RoleCaller && in.Role != api.RoleOperator:
		return usageErrorf(c, "--role %q must be %q or %q", in.Role, api.RoleCaller, api.RoleOperator)
	case in.Role == api.RoleCaller && in.Team == "":
		return usageErrorf(c, "--team is needed for role %q", api.RoleCaller)
	case in.Role == api.RoleOperator && in.Team != "":
		return usageErrorf(c, "--team cannot be given for role %q", api.RoleOperator)
	}
	granted, err := cl.GrantKey(ctx, in)
	if err != nil && !errkind.Is(err, errkind.Unconfirmed) {
		return err
	}
	if granted.Secret == "" {
		return err
	}
	if printErr := inv.print(c, granted, func(w io.Writer) {
		fmt.Fprintf(w, "id %s\nkey %s\n", granted.Key.Id, granted.Secret)
	}); printErr != nil {
		return printErr
	}
	return err
}
