package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// postRequest serves POST /v1/queues/{queue}/requests.
func (s *Server) postRequest(x *exchange) (*reply, error) {
	hasKey, err := x.authenticate()
	if err != nil {
		return nil, err
	}
	q, err := x.authorizeQueue(x.r.PathValue("queue"), hasKey)
	if err != nil {
		return nil, err
	}
	x.queue = q.Name
	if q.Class != api.ClassRequest {
		return nil, errkind.New(errkind.InvalidArgument, "queue", "queue %q takes work of class %s; submit it to /v1/jobs", q.Name, q.Class)
	}
	req, deadline, err := x.readExecuteRequest(q)
	if err != nil {
		return nil, err
	}
	left := deadline - s.options.Clock.Boot()
	if left < time.Millisecond {
		return nil, errkind.New(errkind.DeadlineExceeded, "Request-Deadline", "the deadline passed while the request was received")
	}
	req.TimeoutMs = int(left / time.Millisecond)
	resp, err := s.options.Requests.Execute(x.r.Context(), req)
	if err != nil {
		return nil, err
	}
	return executeReply(resp)
}

// readExecuteRequest reads the call and returns the request to execute with its
// deadline as boot time.
func (x *exchange) readExecuteRequest(q api.Queue) (*api.ExecuteRequest, time.Duration, error) {
	if err := x.checkQuery(); err != nil {
		return nil, 0, err
	}
	if err := x.setRequestID(); err != nil {
		return nil, 0, err
	}
	deadline, err := x.requestDeadline(q.DeadlineMs)
	if err != nil {
		return nil, 0, err
	}
	contentType, err := x.singleHeader("Content-Type")
	if err != nil {
		return nil, 0, err
	}
	if len(contentType) > maxContentTypeBytes {
		return nil, 0, errkind.New(errkind.InvalidArgument, "Content-Type", "the value is longer than %d bytes", maxContentTypeBytes)
	}
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	body, err := x.readBody(q.Team)
	if err != nil {
		return nil, 0, err
	}
	return &api.ExecuteRequest{
		Team:        q.Team,
		Queue:       q.Name,
		RequestId:   x.requestID,
		ContentType: contentType,
		Body:        body,
	}, deadline, nil
}

// executeReply returns the response of the upstream with its status. The header
// Upstream-Vm distinguishes it from a response of endivehill itself.
func executeReply(resp *api.ExecuteResponse) (*reply, error) {
	if resp.Status < http.StatusOK || resp.Status > 599 {
		return nil, errkind.New(errkind.UpstreamFailed, "", "the upstream answered with status %d", resp.Status)
	}
	out := &reply{
		status:      resp.Status,
		contentType: resp.ContentType,
		body:        resp.Body,
		header:      map[string]string{"Upstream-Vm": resp.Vm},
	}
	if resp.Replayed {
		out.header["Request-Replayed"] = "true"
	}
	return out, nil
}

// getRequest serves GET /v1/requests/{id}.
func (s *Server) getRequest(x *exchange) (*reply, error) {
	return x.requestByID(s.options.Requests.RequestStatus)
}

// deleteRequest serves DELETE /v1/requests/{id}.
func (s *Server) deleteRequest(x *exchange) (*reply, error) {
	return x.requestByID(s.options.Requests.CancelRequest)
}

func (x *exchange) requestByID(call func(ctx context.Context, team, id string) (*api.RequestStatus, error)) (*reply, error) {
	team, id, err := x.teamAndID()
	if err != nil {
		return nil, err
	}
	x.requestID = id
	st, err := call(x.r.Context(), team, id)
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, st)
}

// teamAndID returns the team and ID of a call about one request or job.
func (x *exchange) teamAndID() (team, id string, err error) {
	if err := x.requireKey(); err != nil {
		return "", "", err
	}
	if err := x.checkQuery("team"); err != nil {
		return "", "", err
	}
	if err := x.rejectBody(); err != nil {
		return "", "", err
	}
	if team, err = x.requiredTeam(); err != nil {
		return "", "", err
	}
	id, err = x.pathID("id")
	return team, id, err
}
