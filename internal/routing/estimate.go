package routing

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// The cost model of a request at a target, in time: what the exchange is expected
// to take, plus tolls that stand for bytes on paid links and for the risk that the
// target fails.
const (
	// crowdedShare is the share of busy slots above which targets slow down, and
	// crowdedFactor by how much: the users describe targets that slow down when
	// they are nearly full, their site files give 0.8 and 1.7.
	crowdedShare  = 0.8
	crowdedFactor = 1.7
	// coldFactor is how much slower a target is that has just started.
	coldFactor = 1.6
	// domainToll and regionToll are what a kilobyte between failure domains and
	// between regions costs: bytes there are priced about 1 to 8, and 6 kB
	// between domains cost as much as one request in 30.
	domainToll = time.Millisecond
	regionToll = 10 * time.Millisecond
	// domainTrip and regionTrip are the round trips.
	domainTrip = time.Millisecond
	regionTrip = 24 * time.Millisecond
	// failureToll is the cost of a certain failure.
	failureToll = 800 * time.Millisecond
	// lateToll is the cost of an answer that is expected after its objective.
	lateToll = 250 * time.Millisecond
	// busyToll is the cost of each request that a target holds already: among equals
	// the emptiest keeps its reserve.
	busyToll = 4 * time.Millisecond
	// unhealthyToll is added if the target calls itself unhealthy; what it says is
	// at times untrue.
	unhealthyToll = 400 * time.Millisecond
)

const kilobyte = 1000

// Work describes a request for an estimate.
type Work struct {
	// Typical is what the work takes at an idle target at its usual pace.
	Typical time.Duration
	// Left is the time until the answer loses most of its worth.
	Left time.Duration
	// Bytes is the size of request and answer together.
	Bytes int64
}

// Estimate is what is expected of a request at a target.
type Estimate struct {
	// Duration is the expected time until the answer.
	Duration time.Duration
	// Cost is the duration with all tolls; the target with the lowest is chosen.
	Cost time.Duration
	// Free is set if the target has a slot for the request at once.
	Free bool
}

// estimate computes the expected time and cost of work at an endpoint whose load
// was read a moment ago. Joined is the number of own exchanges that the report
// doesn't hold yet.
func estimate(e *Endpoint, r LoadReport, w Work, joined int, risk float64, now time.Time) Estimate {
	slots := max(1, r.Slots)
	busy := r.Running + r.Waiting + joined
	service := w.Typical
	if float64(busy+1) > crowdedShare*float64(slots) {
		service = scale(service, crowdedFactor)
	}
	if now.Before(e.Target.WarmupEndsAt) {
		service = scale(service, coldFactor)
	}
	// Work keeps the pace that it began with.
	service = scale(service, max(1, float64(r.Pace)/UsualPace))
	out := Estimate{Duration: service + trip(e.Distance), Free: busy < slots}
	if !out.Free {
		out.Duration += queueing(busy-slots, slots, scale(w.Typical, crowdedFactor))
	}
	out.Cost = out.Duration + tolls(e, r, w, out.Duration, risk) + busyToll*time.Duration(busy)
	return out
}

// queueing returns the expected wait behind others that wait already. The running
// ones are somewhere in their work, so that the first of them ends early.
func queueing(ahead, slots int, service time.Duration) time.Duration {
	return service/time.Duration(slots+1) + time.Duration(ahead)*service/time.Duration(slots)
}

func tolls(e *Endpoint, r LoadReport, w Work, duration time.Duration, risk float64) time.Duration {
	toll := scale(failureToll, risk)
	switch e.Distance {
	case model.SameRegion:
		toll += domainToll * time.Duration(w.Bytes) / kilobyte
	case model.OtherRegion:
		toll += regionToll * time.Duration(w.Bytes) / kilobyte
	}
	if duration > w.Left {
		toll += lateToll
	}
	if !r.Healthy {
		toll += unhealthyToll
	}
	return toll
}

func trip(d model.Distance) time.Duration {
	switch d {
	case model.SameRegion:
		return domainTrip
	case model.OtherRegion:
		return regionTrip
	default:
		return 0
	}
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
