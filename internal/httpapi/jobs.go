package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

// postJob serves POST /v1/jobs.
func (s *Server) postJob(x *exchange) (*reply, error) {
	hasKey, err := x.authenticate()
	if err != nil {
		return nil, err
	}
	if err := x.checkQuery(); err != nil {
		return nil, err
	}
	var in api.JobSubmission
	if err := x.decodeBody("JobSubmission", maxSubmissionValues, &in); err != nil {
		return nil, err
	}
	q, err := x.authorizeQueue(in.Queue, hasKey)
	if err != nil {
		return nil, err
	}
	x.queue = q.Name
	if err := x.checkJob(q, &in); err != nil {
		return nil, err
	}
	row, err := s.options.Jobs.SubmitJob(x.r.Context(), jobSpec(q, &in))
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, row)
}

// checkJob checks the rules for a job that the schema cannot express.
func (x *exchange) checkJob(q api.Queue, in *api.JobSubmission) error {
	var errs document.Errors
	if q.Class == api.ClassRequest {
		errs.Add("queue", "queue %q takes requests; send them to /v1/queues/%s/requests", q.Name, q.Name)
	}
	if in.Resources.CpuMillis == 0 {
		errs.Add("resources.cpu_millis", "value 0 must be at least 1")
	}
	if in.Resources.MemoryMb == 0 {
		errs.Add("resources.memory_mb", "value 0 must be at least 1")
	}
	if in.Resources.Slots != 0 {
		errs.Add("resources.slots", "value %d must be 0; slots are for requests", in.Resources.Slots)
	}
	if err := errs.Err(); err != nil {
		return err
	}
	if at := int64(in.DeadlineUnixMs); at != 0 && !time.UnixMilli(at).After(x.server.options.Clock.Now()) {
		return errkind.New(errkind.DeadlineExceeded, "deadline_unix_ms", "the deadline has passed")
	}
	return nil
}

func jobSpec(q api.Queue, in *api.JobSubmission) *api.JobSpec {
	return &api.JobSpec{
		Id:             in.Id,
		Team:           q.Team,
		Queue:          q.Name,
		Class:          q.Class,
		Urgency:        q.Urgency,
		Tasks:          in.Tasks,
		Resources:      in.Resources,
		EstimatedRunMs: in.EstimatedRunMs,
		DeadlineUnixMs: in.DeadlineUnixMs,
		Payload:        in.Payload,
		Checkpointable: in.Checkpointable,
		MaxAttempts:    in.MaxAttempts,
	}
}

// getJob serves GET /v1/jobs/{id}.
func (s *Server) getJob(x *exchange) (*reply, error) { return x.jobByID(s.options.Jobs.JobStatus) }

// deleteJob serves DELETE /v1/jobs/{id}.
func (s *Server) deleteJob(x *exchange) (*reply, error) { return x.jobByID(s.options.Jobs.CancelJob) }

func (x *exchange) jobByID(call func(ctx context.Context, team, id string) (*api.JobRow, error)) (*reply, error) {
	team, id, err := x.teamAndID()
	if err != nil {
		return nil, err
	}
	row, err := call(x.r.Context(), team, id)
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, row)
}

// listJobs serves GET /v1/jobs.
func (s *Server) listJobs(x *exchange) (*reply, error) {
	if err := x.requireKey(); err != nil {
		return nil, err
	}
	if err := x.checkQuery("team", "state", "after", "limit"); err != nil {
		return nil, err
	}
	in, err := x.readListRequest()
	if err != nil {
		return nil, err
	}
	list, err := s.options.Jobs.ListJobs(x.r.Context(), in)
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, list)
}

func (x *exchange) readListRequest() (*api.ListJobsRequest, error) {
	team, err := x.teamScope()
	if err != nil {
		return nil, err
	}
	query := x.r.URL.Query()
	in := &api.ListJobsRequest{Team: team, State: query.Get("state"), After: query.Get("after"), Limit: defaultListLimit}
	switch api.JobState(in.State) {
	case "", api.JobStateQueued, api.JobStateRunning, api.JobStateDone, api.JobStateFailed, api.JobStateCanceled:
	default:
		return nil, errkind.New(errkind.InvalidArgument, "state", "value %q must be queued, running, done, failed or canceled", truncate(in.State))
	}
	if in.After != "" && !idPattern.MatchString(in.After) {
		return nil, errkind.New(errkind.InvalidArgument, "after", "value %q is not an ID", truncate(in.After))
	}
	if in.After != "" && team == "" {
		return nil, errkind.New(errkind.InvalidArgument, "after", "job IDs are unique within a team; the parameter team is needed")
	}
	if text := query.Get("limit"); text != "" {
		in.Limit, err = strconv.Atoi(text)
		if err != nil || in.Limit < 1 || in.Limit > maxListLimit {
			return nil, errkind.New(errkind.InvalidArgument, "limit", "value %q must be a number from 1 to %d", truncate(text), maxListLimit)
		}
	}
	return in, nil
}
