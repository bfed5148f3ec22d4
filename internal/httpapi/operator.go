package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// getConfig serves GET /v1/config.
func (s *Server) getConfig(x *exchange) (*reply, error) {
	if err := x.operatorRead(); err != nil {
		return nil, err
	}
	return s.configView(0)
}

// getConfigVersion serves GET /v1/config/versions/{n}.
func (s *Server) getConfigVersion(x *exchange) (*reply, error) {
	if err := x.operatorRead(); err != nil {
		return nil, err
	}
	text := x.r.PathValue("n")
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return nil, errkind.New(errkind.InvalidArgument, "version", "value %q must be a number from 1", shorten(text))
	}
	return s.configView(n)
}

func (s *Server) configView(version int) (*reply, error) {
	view, err := s.o.Admin.View(version)
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, view)
}

// operatorRead checks a call that only reads and has no parameters.
func (x *exchange) operatorRead() error {
	if err := x.requireOperator(); err != nil {
		return err
	}
	return x.checkQuery()
}

// operatorBody checks a call that changes something and decodes its body.
func (x *exchange) operatorBody(def string, out any) error {
	if err := x.operatorRead(); err != nil {
		return err
	}
	return x.decode(def, out)
}

// postConfig serves POST /v1/config.
func (s *Server) postConfig(x *exchange) (*reply, error) {
	var in api.ConfigApply
	if err := x.operatorBody("ConfigApply", &in); err != nil {
		return nil, err
	}
	applied, err := s.o.Admin.Apply(x.r.Context(), in.BaseVersion, in.Document, x.key.Id)
	return appliedReply(applied, err)
}

// postPlan serves POST /v1/config/plan.
func (s *Server) postPlan(x *exchange) (*reply, error) {
	var in api.ConfigApply
	if err := x.operatorBody("ConfigApply", &in); err != nil {
		return nil, err
	}
	plan, err := s.o.Admin.Plan(x.r.Context(), in.BaseVersion, in.Document)
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, plan)
}

// listKeys serves GET /v1/keys.
func (s *Server) listKeys(x *exchange) (*reply, error) {
	if err := x.operatorRead(); err != nil {
		return nil, err
	}
	list := api.KeyList{Keys: []api.Key{}}
	for _, k := range s.o.Admin.ListKeys().Keys {
		list.Keys = append(list.Keys, withoutHash(k))
	}
	return jsonReply(http.StatusOK, list)
}

// withoutHash returns the public part of a key.
func withoutHash(k api.Key) api.Key {
	k.SecretSha256 = ""
	return k
}

// postKey serves POST /v1/keys.
func (s *Server) postKey(x *exchange) (*reply, error) {
	var in api.KeyGrant
	if err := x.operatorBody("KeyGrant", &in); err != nil {
		return nil, err
	}
	if (in.Role == api.RoleCaller) != (in.Team != "") {
		return nil, errkind.New(errkind.InvalidArgument, "team", "a caller key needs a team, an operator key has none")
	}
	granted, err := s.o.Admin.Grant(x.r.Context(), in)
	if err != nil && !(errkind.Is(err, errkind.Unconfirmed) && granted.Secret != "") {
		return nil, err
	}
	granted.Key = withoutHash(granted.Key)
	granted.UnconfirmedNodes = orEmpty(granted.UnconfirmedNodes)
	return jsonReply(changeStatus(granted.Confirmed), granted)
}

// deleteKey serves DELETE /v1/keys/{id}.
func (s *Server) deleteKey(x *exchange) (*reply, error) {
	if err := x.operatorRead(); err != nil {
		return nil, err
	}
	if err := x.noBody(); err != nil {
		return nil, err
	}
	id, err := x.pathID("id")
	if err != nil {
		return nil, err
	}
	applied, err := s.o.Admin.Withdraw(x.r.Context(), id)
	return appliedReply(applied, err)
}

// appliedReply reports a change. One that is committed but not confirmed by
// every node is no error, so that its version is known.
func appliedReply(applied api.Applied, err error) (*reply, error) {
	if err != nil && !(errkind.Is(err, errkind.Unconfirmed) && applied.Version != 0) {
		return nil, err
	}
	applied.UnconfirmedNodes = orEmpty(applied.UnconfirmedNodes)
	return jsonReply(changeStatus(applied.Confirmed), applied)
}

func orEmpty(nodes []string) []string {
	if nodes == nil {
		return []string{}
	}
	return nodes
}

func changeStatus(confirmed bool) int {
	if confirmed {
		return http.StatusOK
	}
	return errkind.AnswerOf(errkind.Unconfirmed).Status
}

// getState serves GET /v1/state.
func (s *Server) getState(x *exchange) (*reply, error) {
	if err := x.operatorRead(); err != nil {
		return nil, err
	}
	dump, err := s.o.State.StateDump(x.r.Context())
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, json.RawMessage(dump.Json))
}
