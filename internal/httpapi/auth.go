package httpapi

import (
	"strings"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// authenticate reports whether the call has a key and checks the key. It fails if the
// node cannot confirm that its configuration and keys are current, even for a call
// without a key: the list of the queues that need no key must be current as well.
func (x *exchange) authenticate() (hasKey bool, err error) {
	if err := x.server.options.Registry.CheckFresh(); err != nil {
		return false, err
	}
	values := x.r.Header.Values("Authorization")
	if len(values) == 0 {
		return false, nil
	}
	if len(values) > 1 {
		return true, errkind.New(errkind.Unauthenticated, "Authorization", "the header is given %d times", len(values))
	}
	scheme, secret, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" || len(secret) > maxSecretBytes {
		return true, errkind.New(errkind.Unauthenticated, "Authorization", "the value must be \"Bearer\", a space and a key")
	}
	x.key, err = x.server.options.Registry.Authenticate(secret)
	return true, err
}

// requireKey authenticates a call and rejects it if it has no key.
func (x *exchange) requireKey() error {
	hasKey, err := x.authenticate()
	if err != nil {
		return err
	}
	if !hasKey {
		return missingKey()
	}
	return nil
}

func missingKey() error {
	return errkind.New(errkind.Unauthenticated, "Authorization", "no key was presented")
}

// requireOperator authenticates a call and rejects it unless it has an operator key.
func (x *exchange) requireOperator() error {
	if err := x.requireKey(); err != nil {
		return err
	}
	if x.key.Role != api.RoleOperator {
		return errkind.New(errkind.PermissionDenied, "Authorization", "the key is not an operator key")
	}
	return nil
}

// authorizeQueue returns the queue of the given name if the caller may use it.
// A caller without a key gets the same error for a closed queue as for a missing
// one, so that it cannot tell which queues exist.
func (x *exchange) authorizeQueue(name string, hasKey bool) (api.Queue, error) {
	q, ok := x.findQueue(name)
	if !hasKey {
		if !ok || !q.Open {
			return q, missingKey()
		}
		return q, nil
	}
	if !ok {
		return q, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", truncate(name))
	}
	if q.Open {
		return q, nil
	}
	if x.key.Role != api.RoleCaller || x.key.Team != q.Team {
		return q, errkind.New(errkind.PermissionDenied, "queue", "the key does not belong to the team of queue %q", q.Name)
	}
	return q, nil
}

func (x *exchange) findQueue(name string) (api.Queue, bool) {
	for _, q := range x.server.options.Registry.Snapshot().Config.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return api.Queue{}, false
}

// teamScope returns the team to which the call is limited: the team of a caller
// key, or the team parameter of an operator. For an operator it may be empty.
func (x *exchange) teamScope() (string, error) {
	team := x.r.URL.Query().Get("team")
	if x.key.Role == api.RoleOperator {
		return team, nil
	}
	if team != "" && team != x.key.Team {
		return "", errkind.New(errkind.PermissionDenied, "team", "the key belongs to another team")
	}
	return x.key.Team, nil
}

// requiredTeam returns the team of a call about one request or job. It fails if an
// operator gives no team.
func (x *exchange) requiredTeam() (string, error) {
	team, err := x.teamScope()
	if err == nil && team == "" {
		err = errkind.New(errkind.InvalidArgument, "team", "a call with an operator key needs the parameter team")
	}
	return team, err
}
