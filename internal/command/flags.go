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

	connectionCategory = "Connection"
)

// apiAction is the action of a command that calls the API.
type apiAction func(ctx context.Context, c *cli.Command, cl *client.Client) error

// withAPI adds the connection flags to a command and runs its action with a client.
func (inv *invocation) withAPI(c *cli.Command, action apiAction) *cli.Command {
	c.Flags = append(c.Flags, connectionFlags()...)
	c.Flags = append(c.Flags, outputFlag())
	c.Action = func(ctx context.Context, c *cli.Command) error {
		cl, err := inv.newClient(c)
		if err != nil {
			return err
		}
		defer cl.Close()
		return action(ctx, c, cl)
	}
	return c
}

func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "address", Category: connectionCategory, Sources: cli.EnvVars(addressEnv),
			Usage: "`HOST:PORT` of a node; may be repeated: the next one is tried if no connection can be made"},
		&cli.StringFlag{Name: "key", Category: connectionCategory,
			Usage: "`KEY` for the API; visible to other users of this machine, so prefer --key-file or $" + keyEnv},
		&cli.StringFlag{Name: "key-file", Category: connectionCategory, TakesFile: true,
			Usage: "`FILE` that contains the key; $" + keyEnv + " is used if neither is given"},
		&cli.StringFlag{Name: "ca-file", Category: connectionCategory, TakesFile: true,
			Usage: "`FILE` of certificate authorities in PEM format; enables TLS"},
		&cli.DurationFlag{Name: "timeout", Category: connectionCategory, Value: client.DefaultTimeout,
			Usage: "timeout of one call"},
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
	return &cli.BoolFlag{Name: "yes", Usage: "do not ask for confirmation; needed without a terminal"}
}

func teamFlag() cli.Flag {
	return &cli.StringFlag{Name: "team", Usage: "`TEAM` of the job; needed with an operator key"}
}

func (inv *invocation) newClient(c *cli.Command) (*client.Client, error) {
	if len(c.StringSlice("address")) == 0 {
		return nil, usageErrorf(c, "--address or $%s is needed", addressEnv)
	}
	if c.Duration("timeout") <= 0 {
		return nil, usageErrorf(c, "--timeout %s must be more than 0", c.Duration("timeout"))
	}
	key, err := inv.loadKey(c)
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

// loadKey returns the key from the flags or the environment. Its errors never
// contain the key.
func (inv *invocation) loadKey(c *cli.Command) (string, error) {
	value, file := c.String("key"), c.String("key-file")
	switch {
	case value != "" && file != "":
		return "", usageErrorf(c, "--key and --key-file cannot be given together")
	case value != "":
		return value, nil
	case file == "":
		return inv.getenv(keyEnv), nil
	}
	data, err := document.ReadFile(file, inv.stdin)
	if err != nil {
		return "", err
	}
	value = strings.TrimSpace(string(data))
	if value == "" || strings.ContainsAny(value, "\r\n") {
		return "", errkind.New(errkind.InvalidArgument, "key-file", "file %q must contain one line with the key", file)
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
		return nil, errkind.New(errkind.InvalidArgument, "ca-file", "file %q contains no certificate in PEM format", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
