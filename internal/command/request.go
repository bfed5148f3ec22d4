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

func (s *session) requestCommand() *cli.Command {
	return s.withAPI(&cli.Command{
		Name:      "request",
		Usage:     "send one short request and print the answer",
		ArgsUsage: "QUEUE",
		Description: "Prints the body of the answer as it is. A request ID (UUID version 7) is made if none\n" +
			"is given. On failure the ID and what is known about the work (not_run, unknown or ran)\n" +
			"are printed to standard error; with the same --request-id and body the request can be\n" +
			"repeated, and on a queue that is not idempotent it still runs at most once.\n\n" +
			"Examples:\n" +
			"   endivehill request --address 10.0.0.1:8080 --data '{\"tower\":7}' quotes.check\n" +
			"   endivehill request --file order.json --deadline 5s orders.place\n" +
			"   endivehill request --request-id 0190a2b4-… --file order.json orders.place",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "data", Usage: "body of the request as `TEXT`"},
			&cli.StringFlag{Name: "file", TakesFile: true, Usage: "`FILE` with the body, \"-\" for standard input"},
			&cli.StringFlag{Name: "content-type", Value: "application/octet-stream", Usage: "`TYPE` of the body"},
			&cli.StringFlag{Name: "request-id", Usage: "`ID` of the request, to repeat one"},
			&cli.DurationFlag{Name: "deadline", Usage: "time from now after which the answer is of no use"},
		},
	}, s.request)
}

// requestOutput is the JSON output of request. The body is base64 in JSON.
type requestOutput struct {
	RequestID   string `json:"request_id"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

func (s *session) request(ctx context.Context, c *cli.Command, a *client.Client) error {
	if err := arguments(c, 1, 1); err != nil {
		return err
	}
	in, err := s.shortRequest(c)
	if err != nil {
		return err
	}
	answer, err := a.Send(ctx, in)
	if err != nil {
		fmt.Fprintf(s.err, "request ID %s, outcome %s%s\n", in.ID, outcome(err), repeatHint(err, "--request-id", in.ID))
		return err
	}
	if err := s.printAnswer(c, in.ID, answer); err != nil {
		return err
	}
	if answer.Status >= http.StatusBadRequest {
		fmt.Fprintf(s.err, "request ID %s, outcome %s\n", in.ID, errkind.Ran)
		return errkind.New(errkind.UpstreamFailed, "", "the upstream responded with status %d", answer.Status)
	}
	return nil
}

func (s *session) shortRequest(c *cli.Command) (client.Request, error) {
	in := client.Request{Queue: c.Args().First(), ID: c.String("request-id"), ContentType: c.String("content-type")}
	if c.IsSet("data") && c.IsSet("file") {
		return in, usage(c, "--data and --file cannot be given together")
	}
	in.Body = []byte(c.String("data"))
	if c.IsSet("file") {
		data, err := document.ReadFile(c.String("file"), s.in)
		if err != nil {
			return in, err
		}
		in.Body = data
	}
	if c.IsSet("deadline") {
		if c.Duration("deadline") <= 0 {
			return in, usage(c, "--deadline %s must be more than 0", c.Duration("deadline"))
		}
		in.Deadline = s.now().Add(c.Duration("deadline")).Truncate(time.Millisecond)
	}
	if in.ID != "" {
		return in, nil
	}
	id, err := s.newID()
	in.ID = id
	return in, errors.Wrap(err, "make a request ID")
}

func (s *session) printAnswer(c *cli.Command, id string, answer client.Answer) error {
	if c.String("output") == outputJSON {
		return s.printJSON(requestOutput{RequestID: id, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	}
	_, err := s.out.Write(answer.Body)
	return errors.Wrap(err, "write the answer")
}

// outcome returns what is known about the work that ended in err.
func outcome(err error) errkind.Outcome { return errkind.From(err).Outcome() }

// repeatHint says how to repeat a call, if that may help.
func repeatHint(err error, flag, id string) string {
	a := errkind.AnswerOf(errkind.From(err).Kind)
	if !a.Retryable && a.Outcome != errkind.Unknown {
		return ""
	}
	return fmt.Sprintf("; to repeat it, add %s %s", flag, id)
}
