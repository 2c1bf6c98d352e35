package fleet

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Member is one instance of the fleet as this instance knows it.
type Member struct {
	ID           model.InstanceID
	Location     model.Location
	PeerAddr     string
	OperatorAddr string
	// Leaving is set once the instance has announced that it will stop.
	Leaving bool
}

// Members holds the list of live members, this instance included. The list is
// replaced as a whole; Members is safe for concurrent use.
type Members struct {
	self    model.InstanceID
	current atomic.Pointer[[]Member]
}

// NewMembers returns a Members whose list contains only this instance.
func NewMembers(self Member) *Members {
	m := &Members{self: self.ID}
	m.Set([]Member{self})
	return m
}

// Set replaces the list of live members. The caller must not modify it afterwards.
func (m *Members) Set(list []Member) { m.current.Store(&list) }

// Live returns the live members. The slice is shared and must not be modified.
func (m *Members) Live() []Member { return *m.current.Load() }

// IsOwner reports whether this instance is one of the n owners of a job, as returned by
// Owners. While the member lists of two instances differ, more than n instances may
// consider themselves owners.
func (m *Members) IsOwner(job string, n int, scope model.Region) bool {
	return slices.Contains(m.Owners(job, n, scope), m.self)
}

// Owners returns the up to n members that own a job: those with the highest weights
// by rendezvous hashing. Leaving members own no jobs. If scope is not empty, only
// members of that region are considered.
func (m *Members) Owners(job string, n int, scope model.Region) []model.InstanceID {
	type ranked struct {
		id     model.InstanceID
		weight uint64
	}
	var order []ranked
	for _, member := range m.Live() {
		if member.Leaving || (scope != "" && member.Location.Region != scope) {
			continue
		}
		weight := xxhash.Sum64String(job + "\x00" + string(member.ID))
		order = append(order, ranked{member.ID, weight})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return 0
		}
	})
	owners := make([]model.InstanceID, 0, n)
	for _, r := range order[:min(n, len(order))] {
		owners = append(owners, r.id)
	}
	return owners
}
