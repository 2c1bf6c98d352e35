package peersync

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/replica"
)

// RelayServer answers the requests of peers to which this instance relays the store's
// changes. It is safe for concurrent use.
type RelayServer struct {
	Replica *replica.Replica
	Seeds   *Seeds
	// Location is where this instance runs.
	Location model.Location
}

// HandleAwaitChange handles peer.OpAwaitChange: it returns the changed targets, or a part of
// them, the changed evacuations and the versions held as soon as these differ from the
// requester's, newer routes are in force or the instance can no longer relay; without a change it
// does after the wait asked for. A search gets the versions alone. It never sends routes: every
// peer reads them from the store, because the same large document sent to all peers would fill
// the instance's link.
func (s *RelayServer) HandleAwaitChange(_ model.InstanceID, body []byte) (any, error) {
	var req awaitRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	if !s.Seeds.Current().IsSeed() {
		return nil, &NotHolderError{Role: "relay changes"}
	}
	if req.Search {
		return replica.Delta{Versions: s.Replica.Versions(), Location: &s.Location}, nil
	}
	arrivedAt := time.Now()
	timer := time.NewTimer(min(time.Duration(req.WaitMillis)*time.Millisecond, maxAwaitWait))
	defer timer.Stop()
	for expired := false; ; {
		changed := s.Replica.Changed()
		confirmed := s.Replica.Routes.Holder.Confirmed()
		delta, err := s.Replica.PartFor(req.Versions)
		if err != nil {
			return nil, err
		}
		// In this order, a pause of the process between the two makes the confirmation seem
		// older, not younger.
		delta.HeldMillis = time.Since(arrivedAt).Milliseconds()
		delta.Versions.SetConfirmation(confirmed)
		firstList := req.Versions.AsOf == 0 && delta.Versions.AsOf > 0
		if expired || firstList || delta.HasTargets() || delta.Evacuations != nil || delta.Versions.Routes > req.Versions.Routes || !delta.Versions.Current {
			return delta, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
	}
}
