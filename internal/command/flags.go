package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	outputText = "text"
	outputJSON = "json"

	keyEnv     = "ENDIVEHILL_KEY"
	addressEnv = "ENDIVEHILL_ADDRESS"

	connectionFlags = "Connection"
)

// apiAction is the action of a verb that calls the API.
type apiAction func(ctx context.Context, c *cli.Command, api *client.Client) error

// withAPI adds the flags of a connection to a verb and gives its action a client.
func (s *session) withAPI(c *cli.Command, action apiAction) *cli.Command {
	c.Flags = append(c.Flags, connection()...)
	c.Flags = append(c.Flags, outputFlag())
	c.Action = func(ctx context.Context, c *cli.Command) error {
		api, err := s.client(c)
		if err != nil {
			return err
		}
		defer api.Close()
		return action(ctx, c, api)
	}
	return c
}

func connection() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "address", Category: connectionFlags, Sources: cli.EnvVars(addressEnv),
			Usage: "`HOST:PORT` of a node; may be repeated, the next is tried when a connection is refused"},
		&cli.StringFlag{Name: "key", Category: connectionFlags,
			Usage: "`KEY` to present; visible to other users of this machine, prefer --key-file or $" + keyEnv},
		&cli.StringFlag{Name: "key-file", Category: connectionFlags, TakesFile: true,
			Usage: "`FILE` that holds the key; $" + keyEnv + " is used if neither is given"},
		&cli.StringFlag{Name: "ca-file", Category: connectionFlags, TakesFile: true,
			Usage: "`FILE` of certificate authorities in PEM format; turns TLS on"},
		&cli.DurationFlag{Name: "timeout", Category: connectionFlags, Value: client.DefaultTimeout,
			Usage: "time for one call"},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: outputText,
		Usage: "`FORMAT` of the output, text or json",
		Validator: func(v string) error {
			if v != outputText && v != outputJSON {
				return errors.Errorf("value %q must be %q or %q", v, outputText, outputJSON)
			}
			return nil
		},
	}
}

func yesFlag() cli.Flag {
	return &cli.BoolFlag{Name: "yes", Usage: "do not ask; needed without a terminal"}
}

func teamFlag() cli.Flag {
	return &cli.StringFlag{Name: "team", Usage: "`TEAM` of the job; needed with an operator key"}
}

func (s *session) client(c *cli.Command) (*client.Client, error) {
	if len(c.StringSlice("address")) == 0 {
		return nil, usage(c, "--address or $%s is needed", addressEnv)
	}
	if c.Duration("timeout") <= 0 {
		return nil, usage(c, "--timeout %s must be more than 0", c.Duration("timeout"))
	}
	key, err := s.key(c)
	if err != nil {
		return nil, err
	}
	config, err := clientTLS(c.String("ca-file"))
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{
		Addresses: c.StringSlice("address"),
		Key:       key,
		TLS:       config,
		Timeout:   c.Duration("timeout"),
	})
}

// key returns the key to present. It never ends up in an error.
func (s *session) key(c *cli.Command) (string, error) {
	value, file := c.String("key"), c.String("key-file")
	switch {
	case value != "" && file != "":
		return "", usage(c, "--key and --key-file cannot be given together")
	case value != "":
		return value, nil
	case file == "":
		return s.getenv(keyEnv), nil
	}
	data, err := document.ReadFile(file, s.in)
	if err != nil {
		return "", err
	}
	value = strings.TrimSpace(string(data))
	if value == "" || strings.ContainsAny(value, "\r\n") {
		return "", errkind.New(errkind.InvalidArgument, "key-file", "file %q must hold one line with the key", file)
	}
	return value, nil
}

func clientTLS(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	data, err := document.ReadFile(caFile, nil)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errkind.New(errkind.InvalidArgument, "ca-file", "file %q holds no certificate in PEM format", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
