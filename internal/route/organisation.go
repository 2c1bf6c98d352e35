package route

import (
	"crypto/sha256"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Organisation is a group of callers that share keys, a quota and homes.
type Organisation struct {
	Name model.OrganisationName
	// Keys are the digests of the keys with which its callers identify themselves.
	Keys []KeyDigest
	// RatePerSecond is the organisation's quota in requests a second, over all instances
	// together, and Burst the number of requests that it may send beyond that at once. A
	// rate of zero means no limit.
	RatePerSecond, Burst float64
	// Priority replaces that of the rule if it is set; 0 is the highest.
	Priority *int
	// Homes are the regions in which its requests may be served; none means all.
	Homes []model.Region
}

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }
