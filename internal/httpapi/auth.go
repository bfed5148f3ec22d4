package httpapi

import (
	"strings"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// authenticate checks the key of the call, if there is one, against a view of
// the keys that is known to be current. Callers of queues that are open to all
// need none, but the view of which queues are open must be current as well.
func (x *exchange) authenticate() (presented bool, err error) {
	if err := x.s.o.Registry.Fresh(); err != nil {
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
		return true, errkind.New(errkind.Unauthenticated, "Authorization", "the header must be \"Bearer\" and a key")
	}
	x.key, err = x.s.o.Registry.Authenticate(secret)
	return true, err
}

// requireKey authenticates a call that needs a key.
func (x *exchange) requireKey() error {
	presented, err := x.authenticate()
	if err != nil {
		return err
	}
	if !presented {
		return noKey()
	}
	return nil
}

func noKey() error {
	return errkind.New(errkind.Unauthenticated, "Authorization", "no key was presented")
}

// requireOperator authenticates a call of an operator.
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
// A caller without a key learns nothing about queues that are not open.
func (x *exchange) authorizeQueue(name string, presented bool) (api.Queue, error) {
	q, ok := x.findQueue(name)
	if !presented {
		if !ok || !q.Open {
			return q, noKey()
		}
		return q, nil
	}
	if !ok {
		return q, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", shorten(name))
	}
	if q.Open {
		return q, nil
	}
	if x.key.Role != api.RoleCaller || x.key.Team != q.Team {
		return q, errkind.New(errkind.PermissionDenied, "queue", "the key is not one of the team of queue %q", q.Name)
	}
	return q, nil
}

func (x *exchange) findQueue(name string) (api.Queue, bool) {
	for _, q := range x.s.o.Registry.Snapshot().Config.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return api.Queue{}, false
}

// scope returns the team whose work the call is about: that of a caller key, or
// the one that an operator names. It may be empty only for an operator.
func (x *exchange) scope() (string, error) {
	team := x.r.URL.Query().Get("team")
	if x.key.Role == api.RoleOperator {
		return team, nil
	}
	if team != "" && team != x.key.Team {
		return "", errkind.New(errkind.PermissionDenied, "team", "the key belongs to another team")
	}
	return x.key.Team, nil
}

// scopeOfOne is scope for a call about one object.
func (x *exchange) scopeOfOne() (string, error) {
	team, err := x.scope()
	if err == nil && team == "" {
		err = errkind.New(errkind.InvalidArgument, "team", "an operator key needs the parameter team")
	}
	return team, err
}
