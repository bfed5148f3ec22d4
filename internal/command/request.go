package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

func (inv *invocation) requestCommand() *cli.Command {
	return inv.withAPI(&cli.Command{
		Name:      "request",
		Usage:     "send one short request and print the response",
		ArgsUsage: "QUEUE",
		Description: "Prints the body of the response unchanged. A request ID (UUID version 7) is generated\n" +
			"if none is given. On failure the ID and the outcome of the work (not_run, unknown or\n" +
			"ran) are printed to standard error. The request can be repeated with the same\n" +
			"--request-id and body; on a queue that is not idempotent it still runs at most once.\n\n" +
			"Examples:\n" +
			"   endivehill request --address 10.0.0.1:8080 --data '{\"tower\":7}' quotes.check\n" +
			"   endivehill request --file order.json --deadline 5s orders.place\n" +
			"   endivehill request --request-id 0190a2b4-… --file order.json orders.place",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "data", Usage: "body of the request as `TEXT`"},
			&cli.StringFlag{Name: "file", TakesFile: true, Usage: "`FILE` with the body, \"-\" for standard input"},
			&cli.StringFlag{Name: "content-type", Value: "application/octet-stream", Usage: "`TYPE` of the body"},
			&cli.StringFlag{Name: "request-id", Usage: "`ID` of the request; give the same one to repeat a request"},
			&cli.DurationFlag{Name: "deadline", Usage: "time from now after which the response is no longer needed"},
		},
	}, inv.request)
}

// requestOutput is the JSON output of the command request. The body is encoded as
// base64.
type requestOutput struct {
	RequestID   string `json:"request_id"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

func (inv *invocation) request(ctx context.Context, c *cli.Command, cl *client.Client) error {
	if err := checkArgumentCount(c, 1, 1); err != nil {
		return err
	}
	in, err := inv.readRequest(c)
	if err != nil {
		return err
	}
	response, err := cl.Send(ctx, in)
	if err != nil {
		fmt.Fprintf(inv.stderr, "request ID %s, outcome %s%s\n", in.ID, outcomeOf(err), retryHint(err, "--request-id", in.ID))
		return err
	}
	if err := inv.printResponse(c, in.ID, response); err != nil {
		return err
	}
	if response.Status >= http.StatusBadRequest {
		fmt.Fprintf(inv.stderr, "request ID %s, outcome %s\n", in.ID, errkind.Ran)
		return errkind.New(errkind.UpstreamFailed, "", "the upstream responded with status %d", response.Status)
	}
	return nil
}

func (inv *invocation) readRequest(c *cli.Command) (client.Request, error) {
	in := client.Request{Queue: c.Args().First(), ID: c.String("request-id"), ContentType: c.String("content-type")}
	if c.IsSet("data") && c.IsSet("file") {
		return in, usageErrorf(c, "--data and --file cannot be given together")
	}
	in.Body = []byte(c.String("data"))
	if c.IsSet("file") {
		data, err := document.ReadFile(c.String("file"), inv.stdin)
		if err != nil {
			return in, err
		}
		in.Body = data
	}
	if c.IsSet("deadline") {
		if c.Duration("deadline") <= 0 {
			return in, usageErrorf(c, "--deadline %s must be more than 0", c.Duration("deadline"))
		}
		in.Deadline = inv.now().Add(c.Duration("deadline")).Truncate(time.Millisecond)
	}
	if in.ID != "" {
		return in, nil
	}
	id, err := inv.newID()
	in.ID = id
	return in, errors.Wrap(err, "generate a request ID")
}

func (inv *invocation) printResponse(c *cli.Command, id string, response client.UpstreamResponse) error {
	if c.String("output") == outputJSON {
		return inv.printJSON(requestOutput{RequestID: id, Status: response.Status, ContentType: response.ContentType, Body: response.Body})
	}
	_, err := inv.stdout.Write(response.Body)
	return errors.Wrap(err, "write the response")
}

// outcomeOf returns whether the work that ended in err has run.
func outcomeOf(err error) errkind.Outcome { return errkind.From(err).Outcome() }

// retryHint returns how to repeat a call, or "" if repeating it cannot help.
func retryHint(err error, flag, id string) string {
	resp := errkind.ResponseOf(errkind.From(err).Kind)
	if !resp.Retryable && resp.Outcome != errkind.Unknown {
		return ""
	}
	return fmt.Sprintf("; to repeat it, add %s %s", flag, id)
}
