// Package recorded makes API calls and records each call and its outcome, as seen by the
// caller, in a history. The development cell and tests with real processes use it.
package recorded

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
)

// Caller sends requests and submits jobs with one key.
type Caller struct {
	Client   *client.Client
	Recorder *history.Recorder
	Key      string // ID of the key; empty if no key is sent
	Node     string // node that is called; empty if unknown
}

// Send makes one attempt of a request and records the attempt.
func (c Caller) Send(ctx context.Context, team string, r client.Request) (client.UpstreamResponse, error) {
	started := c.Recorder.Now()
	answer, err := c.Client.Send(ctx, r)
	rec := c.newRecord(ctx, started, err)
	rec.Team, rec.Queue, rec.RequestID = team, r.Queue, r.ID
	rec.BodyDigest = history.Digest(r.Body)
	if err == nil {
		rec.Outcome = history.Answered
		rec.AnswerDigest = history.AnswerDigest(answer.Status, answer.Body)
	}
	c.Recorder.Add(rec)
	return answer, err
}

// SubmitJob makes one attempt to submit a job and records the attempt.
func (c Caller) SubmitJob(ctx context.Context, team string, in api.JobSubmission) (api.JobRow, error) {
	started := c.Recorder.Now()
	row, err := c.Client.SubmitJob(ctx, in)
	rec := c.newRecord(ctx, started, err)
	rec.Team, rec.Queue, rec.Job = team, in.Queue, in.Id
	if err == nil {
		rec.Outcome = history.Accepted
	}
	c.Recorder.Add(rec)
	return row, err
}

// Operator changes the configuration and the keys.
type Operator struct {
	Client   *client.Client
	Recorder *history.Recorder
}

// Apply applies a configuration. It records the configuration only if it is accepted,
// which means that every node has confirmed it.
func (o Operator) Apply(ctx context.Context, in api.ConfigApply) (api.Applied, error) {
	applied, err := o.Client.Apply(ctx, in)
	if err == nil {
		o.Recorder.RecordConfiguration(applied.Version, &in.Document)
	}
	return applied, err
}

// Grant grants a key and records the grant. An unconfirmed key is recorded too, because
// some nodes accept it.
func (o Operator) Grant(ctx context.Context, in api.KeyGrant) (api.KeyGranted, error) {
	granted, err := o.Client.GrantKey(ctx, in)
	if granted.Key.Id != "" {
		o.Recorder.Add(history.Record{Kind: history.KeyGranted, Key: granted.Key.Id, Team: in.Team})
	}
	return granted, err
}

// Withdraw withdraws a key. It records the withdrawal only if every node has confirmed
// it.
func (o Operator) Withdraw(ctx context.Context, id string) (api.Applied, error) {
	applied, err := o.Client.WithdrawKey(ctx, id)
	if err == nil {
		o.Recorder.Add(history.Record{Kind: history.KeyWithdrawn, Key: id})
	}
	return applied, err
}

// newRecord returns the record of a call with its node, key, start and error. The caller
// adds the fields that depend on the kind of call.
func (c Caller) newRecord(ctx context.Context, started time.Duration, err error) history.Record {
	rec := history.Record{Kind: history.Call, Node: c.Node, Key: c.Key, Started: started}
	if err == nil {
		return rec
	}
	e := errkind.From(err)
	rec.ErrorKind = string(e.Kind)
	switch {
	case ctx.Err() != nil:
		rec.Outcome = history.Abandoned
	case e.Outcome() == errkind.NotRun:
		rec.Outcome = history.NotRun
	case e.Outcome() == errkind.Ran:
		rec.Outcome = history.Ran
	default:
		rec.Outcome = history.Unknown
	}
	return rec
}
