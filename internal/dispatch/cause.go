package dispatch

import "time"

// Cause names the reason why a request got no response from a target. Its values appear
// in logs and metrics and don't change.
type Cause string

// Causes of refused and failed requests.
const (
	CauseNoRoutes   Cause = "no-routes-yet"
	CauseNoRoute    Cause = "no-route"
	CauseMalformed  Cause = "malformed"
	CauseKeyMissing Cause = "key-missing"
	CauseKeyUnknown Cause = "key-unknown"
	// CauseKeysUnconfirmed means that a newer configuration may decide otherwise on the key.
	CauseKeysUnconfirmed Cause = "keys-unconfirmed"
	CauseQuotaExceeded   Cause = "quota-exceeded"
	// CauseQuotaUnknown means that what is left of a quota can't be found out.
	CauseQuotaUnknown Cause = "quota-unknown"
	// CauseNoHome means that no region may serve the request by its homes.
	CauseNoHome             Cause = "no-home"
	CauseNoTarget           Cause = "no-target"
	CauseTargetsFull        Cause = "targets-full"
	CauseTargetsDeclined    Cause = "targets-declined"
	CauseTargetsUnreachable Cause = "targets-unreachable"
	CauseOutcomeUnknown     Cause = "outcome-unknown"
	CauseTargetsFailed      Cause = "targets-failed"
	CauseTimedOut           Cause = "timed-out"
	// CauseResponseTooLong means that the response would have kept those to requests that the
	// caller had sent behind it from arriving, perhaps for good.
	CauseResponseTooLong Cause = "response-too-long"
	CauseBodyLate        Cause = "body-late"
	CauseBodyTooLarge    Cause = "body-too-large"
	CauseBodyBroken      Cause = "body-broken"
	// CauseTargetsLimited means that all targets left have exhausted the limits that they
	// stated or have asked for a pause.
	CauseTargetsLimited Cause = "targets-limited"
	CauseQuarantined    Cause = "quarantined"
	// CauseShuttingDown means that the gateway would end before the request's deadline.
	CauseShuttingDown Cause = "shutting-down"
	CauseCallerGone   Cause = "caller-gone"
	// CauseCallersLimited means that the process holds as much for its callers as it may.
	CauseCallersLimited Cause = "callers-limited"
)

const (
	// routesWait is how long a request waits for the first configuration. Listing it from
	// the store takes some 60 ms from another region.
	routesWait = 120 * time.Millisecond
	// noRoutesRetryAfter is advised until the first configuration is known. A start takes
	// about a second.
	noRoutesRetryAfter = 200 * time.Millisecond
	// maxDenialAge is the age of the confirmation up to which an unknown key is denied, in a
	// way that callers don't repeat: platforms allow 2 to 3 s until a change is in force. Later
	// the key may be one that the configuration has meanwhile.
	maxDenialAge = 3 * time.Second
	// keySendMargin is kept between the last send of a request with a key and the time at
	// which a withdrawal of the key must be in force: a new connection to a target of another
	// region takes some 50 ms.
	keySendMargin = 100 * time.Millisecond
	// unconfirmedRetryAfter is advised while the keys in force aren't confirmed: another
	// instance may know more, or this one after its next read.
	unconfirmedRetryAfter = 100 * time.Millisecond
	// quotaUnknownRetryAfter is advised while grantors of a quota don't respond: another
	// instance may reach them.
	quotaUnknownRetryAfter = 100 * time.Millisecond
	// busyRetryAfter is advised after all attempts were declined or failed to connect.
	// The load of targets shifts within milliseconds, and another instance may have newer
	// information.
	busyRetryAfter = 40 * time.Millisecond
	// minRetryAfter is the shortest delay that is advised when the targets are full.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter is the longest delay that is advised when the targets are full.
	maxRetryAfter = 250 * time.Millisecond
	// shutdownRetryAfter is advised during a shutdown: another instance can serve at once.
	shutdownRetryAfter = 30 * time.Millisecond
	// noHomeRetryAfter is advised when no region may serve a request. Only a change of the
	// routes changes that.
	noHomeRetryAfter = time.Second
	// callersRetryAfter is advised when the process holds as much for its callers as it may.
	callersRetryAfter = 200 * time.Millisecond
	// noTargetRetryAfter is advised when no target is known.
	noTargetRetryAfter = 150 * time.Millisecond
)
