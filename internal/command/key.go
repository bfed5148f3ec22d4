package command

import (
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
)

func (inv *invocation) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "grant, withdraw and list keys",
		Commands: []*cli.Command{
			inv.keyGrantCommand(),
			inv.keyWithdrawCommand(),
			inv.keyListCommand(),
		},
	}
}

var keyColumns = []string{"ID", "ROLE", "TEAM", "GRANTED", "WITHDRAWN"}

func keyRow(k api.Key) []string {
	return []string{k.Id, string(k.Role), dashIfEmpty(k.Team), formatTime(k.GrantedUnixMs), formatTime(k.WithdrawnUnixMs)}
}
