package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// getConfig serves GET /v1/config.
func (s *Server) getConfig(x *exchange) (*reply, error) {
	if err := x.checkOperatorCall(); err != nil {
		return nil, err
	}
	return s.configView(0)
}

// getConfigVersion serves GET /v1/config/versions/{n}.
func (s *Server) getConfigVersion(x *exchange) (*reply, error) {
	if err := x.checkOperatorCall(); err != nil {
		return nil, err
	}
	text := x.r.PathValue("n")
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return nil, errkind.New(errkind.InvalidArgument, "version", "value %q must be a number from 1", truncate(text))
	}
	return s.configView(n)
}

func (s *Server) configView(version int) (*reply, error) {
	view, err := s.options.Admin.View(version)
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, view)
}

// checkOperatorCall checks an operator call without query parameters.
func (x *exchange) checkOperatorCall() error {
	if err := x.requireOperator(); err != nil {
		return err
	}
	return x.checkQuery()
}

// decodeOperatorBody checks an operator call without query parameters and
// decodes its body.
func (x *exchange) decodeOperatorBody(def string, out msgp.Sizer) error {
	if err := x.checkOperatorCall(); err != nil {
		return err
	}
	return x.decodeBody(def, maxConfigurationValues, out)
}

// postConfig serves POST /v1/config.
func (s *Server) postConfig(x *exchange) (*reply, error) {
	var in api.ConfigApply
	if err := x.decodeOperatorBody("ConfigApply", &in); err != nil {
		return nil, err
	}
	applied, err := s.options.Admin.Apply(x.r.Context(), in.BaseVersion, in.Document, x.key.Id)
	return appliedReply(applied, err)
}

// postPlan serves POST /v1/config/plan.
func (s *Server) postPlan(x *exchange) (*reply, error) {
	var in api.ConfigApply
	if err := x.decodeOperatorBody("ConfigApply", &in); err != nil {
		return nil, err
	}
	plan, err := s.options.Admin.Plan(x.r.Context(), in.BaseVersion, in.Document)
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, plan)
}

// listKeys serves GET /v1/keys.
func (s *Server) listKeys(x *exchange) (*reply, error) {
	if err := x.checkOperatorCall(); err != nil {
		return nil, err
	}
	list := api.KeyList{Keys: []api.Key{}}
	for _, k := range s.options.Admin.ListKeys().Keys {
		list.Keys = append(list.Keys, withoutSecretHash(k))
	}
	return jsonReply(http.StatusOK, list)
}

// withoutSecretHash returns a key without the hash of its secret.
func withoutSecretHash(k api.Key) api.Key {
	k.SecretSha256 = ""
	return k
}

// postKey serves POST /v1/keys.
func (s *Server) postKey(x *exchange) (*reply, error) {
	var in api.KeyGrant
	if err := x.decodeOperatorBody("KeyGrant", &in); err != nil {
		return nil, err
	}
	if (in.Role == api.RoleCaller) != (in.Team != "") {
		return nil, errkind.New(errkind.InvalidArgument, "team", "a caller key needs a team, an operator key must have none")
	}
	granted, err := s.options.Admin.Grant(x.r.Context(), in)
	if err != nil && !(errkind.Is(err, errkind.Unconfirmed) && granted.Secret != "") {
		return nil, err
	}
	granted.Key = withoutSecretHash(granted.Key)
	granted.UnconfirmedNodes = emptyIfNil(granted.UnconfirmedNodes)
	return jsonReply(statusOfChange(granted.Confirmed), granted)
}

// deleteKey serves DELETE /v1/keys/{id}.
func (s *Server) deleteKey(x *exchange) (*reply, error) {
	if err := x.checkOperatorCall(); err != nil {
		return nil, err
	}
	if err := x.rejectBody(); err != nil {
		return nil, err
	}
	id, err := x.pathID("id")
	if err != nil {
		return nil, err
	}
	applied, err := s.options.Admin.Withdraw(x.r.Context(), id)
	return appliedReply(applied, err)
}

// appliedReply returns the response to a change. A change that is committed but
// not confirmed by every node is not an error, so that the caller gets its version.
func appliedReply(applied api.Applied, err error) (*reply, error) {
	if err != nil && !(errkind.Is(err, errkind.Unconfirmed) && applied.Version != 0) {
		return nil, err
	}
	applied.UnconfirmedNodes = emptyIfNil(applied.UnconfirmedNodes)
	return jsonReply(statusOfChange(applied.Confirmed), applied)
}

func emptyIfNil(nodes []string) []string {
	if nodes == nil {
		return []string{}
	}
	return nodes
}

func statusOfChange(confirmed bool) int {
	if confirmed {
		return http.StatusOK
	}
	return errkind.ResponseOf(errkind.Unconfirmed).Status
}

// getState serves GET /v1/state.
func (s *Server) getState(x *exchange) (*reply, error) {
	if err := x.checkOperatorCall(); err != nil {
		return nil, err
	}
	dump, err := s.options.State.StateDump(x.r.Context())
	if err != nil {
		return nil, err
	}
	return jsonReply(http.StatusOK, json.RawMessage(dump.Json))
}
