package command

import (
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/api"
)

func (s *session) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "grant, withdraw and list keys",
		Commands: []*cli.Command{
			s.keyGrantCommand(),
			s.keyWithdrawCommand(),
			s.keyListCommand(),
		},
	}
}

var keyHeading = []string{"ID", "ROLE", "TEAM", "GRANTED", "WITHDRAWN"}

func keyRow(k api.Key) []string {
	return []string{k.Id, string(k.Role), orDash(k.Team), showTime(k.GrantedUnixMs), showTime(k.WithdrawnUnixMs)}
}
