package dispatch

import (
	"net/http"
	"strings"

	"redwingpoint.org/redwingpoint/internal/route"
)

const (
	// keyField is the header field in which callers send their keys, bearerScheme its scheme.
	keyField     = "Authorization"
	bearerScheme = "Bearer"
)

// caller is what a request's key tells about who sent it.
type caller struct {
	// keysRequired is set if the configuration knows keys. Without it, the fields of the
	// caller pass unchanged.
	keysRequired bool
	// key is the digest of the key, and organisation the one that holds it, or nil.
	key          route.KeyDigest
	organisation *route.Organisation
}

// identify returns the caller by the key in a request's header, or the reply if the key
// doesn't open the rule.
func (d *Dispatcher) identify(h http.Header, table *route.Table, rule *route.Rule) (caller, *localReply) {
	if !table.KeysRequired {
		return caller{}, nil
	}
	c := caller{keysRequired: true}
	key, found := bearerKey(h[keyField])
	if found {
		c.key = route.DigestKey(key)
		c.organisation = table.OrganisationOf(c.key)
	}
	switch {
	case c.organisation != nil || rule.Public:
		return c, nil
	case !found:
		return c, &localReply{status: http.StatusUnauthorized, cause: CauseKeyMissing, table: table}
	}
	if age := d.Routes.Confirmed().Age(); age < 0 || age > maxDenialAge {
		return c, &localReply{status: http.StatusServiceUnavailable, cause: CauseKeysUnconfirmed, retryAfter: unconfirmedRetryAfter, table: table}
	}
	return c, &localReply{status: http.StatusUnauthorized, cause: CauseKeyUnknown, table: table}
}

// checkKey returns the reply to a request whose key the routes in force no longer know, or may
// have lost since they were confirmed, or nil. It is called right before each send, so that
// all waits count.
func (f *forwarder) checkKey() *localReply {
	if f.organisation == nil {
		return nil
	}
	confirmed := f.d.Routes.Confirmed()
	if table := f.d.Routes.Current(); table.Revision != f.revision && table.KeysRequired {
		switch o := table.OrganisationOf(f.caller.key); {
		case o == nil:
			return &localReply{status: http.StatusUnauthorized, cause: CauseKeyUnknown}
		case o.Name != f.organisation.Name:
			return &localReply{status: http.StatusServiceUnavailable, cause: CauseKeysUnconfirmed, retryAfter: minRetryAfter}
		}
	}
	return f.checkConfirmationAge(confirmed)
}

// checkConfirmation returns the reply to a request with a key while the routes in force were
// confirmed too long ago, or nil.
func (f *forwarder) checkConfirmation() *localReply {
	return f.checkConfirmationAge(f.d.Routes.Confirmed())
}

// checkConfirmationAge is checkConfirmation for a confirmation that was loaded before.
func (f *forwarder) checkConfirmationAge(confirmed route.Confirmation) *localReply {
	if within := f.d.WithdrawKeysWithin; within > 0 {
		if age := confirmed.Age(); age < 0 || age > within-keySendMargin {
			return &localReply{status: http.StatusServiceUnavailable, cause: CauseKeysUnconfirmed, retryAfter: unconfirmedRetryAfter}
		}
	}
	return nil
}

// bearerKey returns the key in the values of keyField. It reports false unless there is one
// value, of the scheme and with one key.
func bearerKey(values []string) (key string, found bool) {
	if len(values) != 1 {
		return "", false
	}
	parts := strings.Fields(values[0])
	if len(parts) != 2 || !strings.EqualFold(parts[0], bearerScheme) {
		return "", false
	}
	return parts[1], true
}

// mark replaces the key in the header for a target by the name of the organisation, in the
// given field. Whatever the caller sent in that field is removed, also if its name is
// spelled with underscores, which some targets take for hyphens.
func (c *caller) mark(h http.Header, field string) {
	if !c.keysRequired {
		return
	}
	delete(h, keyField)
	for name := range h {
		if strings.EqualFold(strings.ReplaceAll(name, "_", "-"), field) {
			delete(h, name)
		}
	}
	if c.organisation != nil && field != "" {
		h[field] = []string{string(c.organisation.Name)}
	}
}

// inputProblem returns what is wrong with input that is no request. It leaves out the input
// itself, which the errors of net/http quote and which may contain a key.
func inputProblem(err error) string {
	text, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimSpace(text)
}
