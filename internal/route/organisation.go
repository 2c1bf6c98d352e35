package route

import (
	"crypto/sha256"
	"crypto/subtle"
	"hash/maphash"
	"math"
	"strings"

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
	// Problem is why the entry can't be used, or empty. Nobody holds the keys of such an
	// entry.
	Problem string
}

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// emptyKey is the digest of the empty key, which nobody holds.
var emptyKey = DigestKey("")

// findProblem returns why an entry can't be used, or "".
func (o *Organisation) findProblem() string {
	switch {
	case o.Problem != "":
		return o.Problem
	case !isFieldValue(string(o.Name)):
		return "the name is missing or no header field can carry it"
	case !isQuota(o.RatePerSecond) || !isQuota(o.Burst):
		return "the quota is not a number from zero on"
	}
	return ""
}

// isFieldValue reports whether a header field can carry the value unchanged.
func isFieldValue(s string) bool {
	return s != "" && strings.TrimSpace(s) == s && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}

func isQuota(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// checkOrganisations returns a copy of the entries in which those that can't be used have a
// Problem. Of several with one name the first counts.
func checkOrganisations(list []Organisation) []Organisation {
	checked := make([]Organisation, len(list))
	named := make(map[model.OrganisationName]bool, len(list))
	for i, o := range list {
		o.Problem = o.findProblem()
		if o.Problem == "" && named[o.Name] {
			o.Problem = "an earlier entry has the same name"
		}
		named[o.Name] = named[o.Name] || o.Problem == ""
		checked[i] = o
	}
	return checked
}

// keySeed makes the places of keys in a keyIndex unpredictable, so that the time of a lookup
// tells a caller nothing about the digests of keys.
var keySeed = maphash.MakeSeed()

// keyIndex finds the organisation that holds a key.
type keyIndex map[uint64][]keyHolder

// keyHolder is a key with its organisation, or nil if several organisations list it: then it
// identifies none.
type keyHolder struct {
	key          KeyDigest
	organisation *Organisation
}

// newKeyIndex indexes the keys of the entries without a Problem. It keeps pointers into list.
func newKeyIndex(list []Organisation) keyIndex {
	index := make(keyIndex)
	for i := range list {
		if list[i].Problem != "" {
			continue
		}
		for _, key := range list[i].Keys {
			if key != emptyKey {
				index.add(key, &list[i])
			}
		}
	}
	return index
}

func (x keyIndex) add(key KeyDigest, o *Organisation) {
	place := maphash.Bytes(keySeed, key[:])
	for i, h := range x[place] {
		if h.key == key {
			if h.organisation != o {
				x[place][i].organisation = nil
			}
			return
		}
	}
	x[place] = append(x[place], keyHolder{key: key, organisation: o})
}

// find returns the organisation that holds a key, or nil.
func (x keyIndex) find(key KeyDigest) *Organisation {
	for _, h := range x[maphash.Bytes(keySeed, key[:])] {
		if subtle.ConstantTimeCompare(h.key[:], key[:]) == 1 {
			return h.organisation
		}
	}
	return nil
}
