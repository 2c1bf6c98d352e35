package routing

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// The cost of a request at a target is a time: the expected duration of the
// exchange, plus penalties for bytes on paid links, for the risk that the target
// fails and for other disadvantages.
const (
	// highLoadThreshold is the share of a target's slots above which the users'
	// targets slow down. Running and queued requests count, and so does the new one.
	highLoadThreshold = 0.8
	// highLoadSlowdown is the factor by which the service time of the users' targets
	// grows above highLoadThreshold.
	highLoadSlowdown = 1.7
	// coldStartSlowdown is the factor by which the service time of a target is longer
	// until it has warmed up after its start.
	coldStartSlowdown = 1.6
	// crossDomainPenalty is the penalty per kilobyte sent between failure domains of a
	// region. The price of 6 kB there is about one thirtieth of the value of one
	// answered request.
	crossDomainPenalty = time.Millisecond
	// crossRegionPenalty is the penalty per kilobyte sent between regions. It is 10
	// times crossDomainPenalty, while the price of a byte is only about 8 times that of
	// a byte between failure domains.
	crossRegionPenalty = 10 * time.Millisecond
	// crossDomainRTT is the round-trip time between failure domains of a region.
	crossDomainRTT = time.Millisecond
	// crossRegionRTT is the round-trip time between regions.
	crossRegionRTT = 24 * time.Millisecond
	// failurePenalty is the penalty at an expected failure rate of 1; at lower rates it
	// is proportionally smaller.
	failurePenalty = 800 * time.Millisecond
	// latePenalty is the penalty for a response that is expected after Work.TimeLeft.
	latePenalty = 250 * time.Millisecond
	// busyPenalty is the penalty for each request that already runs or waits at a
	// target: among otherwise equal targets the one with the fewest requests wins.
	busyPenalty = 4 * time.Millisecond
	// unhealthyPenalty is the penalty for a target that reports itself as unhealthy.
	// It is finite because such reports are sometimes wrong.
	unhealthyPenalty = 400 * time.Millisecond
)

// kilobyte is the number of bytes to which crossDomainPenalty and crossRegionPenalty
// apply.
const kilobyte = 1000

// Work describes the work of a request for an estimate.
type Work struct {
	// ServiceTime is the service time at an idle target at its normal pace.
	ServiceTime time.Duration
	// TimeLeft is the time until the response loses most of its value.
	TimeLeft time.Duration
	// Bytes is the size of the request and its response together.
	Bytes int64
}

// Estimate is the expected outcome of sending a request to a target.
type Estimate struct {
	// Duration is the expected time until the response arrives.
	Duration time.Duration
	// Cost is Duration plus all penalties; the target with the lowest cost is chosen.
	Cost time.Duration
	// HasFreeSlot is set if the target has a free slot for the request.
	HasFreeSlot bool
	// FreeSlots is the number of the target's free slots.
	FreeSlots int
}

// estimate returns the expected duration and cost of work at an endpoint with a recent
// load report. The argument unreported is the number of own exchanges begun since the
// report; risk is the expected failure rate.
func estimate(e *Endpoint, r LoadReport, w Work, unreported int, risk float64, now time.Time) Estimate {
	slots := max(1, r.Slots)
	busy := r.Running + r.Waiting + unreported
	service := w.ServiceTime
	if float64(busy+1) > highLoadThreshold*float64(slots) {
		service = scale(service, highLoadSlowdown)
	}
	if now.Before(e.Target.WarmupEndsAt) || e.Load.saidColdAt(now) {
		service = scale(service, coldStartSlowdown)
	}
	// A request runs at the pace at which it started, so the current pace applies to
	// all of its work.
	service = scale(service, max(1, float64(r.Pace)/NormalPace))
	out := Estimate{Duration: service + roundTrip(e.Distance), HasFreeSlot: busy < slots, FreeSlots: max(0, slots-busy)}
	if !out.HasFreeSlot {
		out.Duration += queueDelay(busy-slots, slots, scale(w.ServiceTime, highLoadSlowdown))
	}
	out.Cost = out.Duration + penalties(e, r, w, out.Duration, risk) + busyPenalty*time.Duration(busy)
	return out
}

// queueDelay returns the expected wait for a slot behind the requests that are already
// queued. The running requests are partly done, so the first of them ends early.
func queueDelay(ahead, slots int, service time.Duration) time.Duration {
	return service/time.Duration(slots+1) + time.Duration(ahead)*service/time.Duration(slots)
}

// penalties returns the sum of the penalties other than busyPenalty.
func penalties(e *Endpoint, r LoadReport, w Work, duration time.Duration, risk float64) time.Duration {
	penalty := scale(failurePenalty, risk)
	switch e.Distance {
	case model.SameRegion:
		penalty += crossDomainPenalty * time.Duration(w.Bytes) / kilobyte
	case model.OtherRegion:
		penalty += crossRegionPenalty * time.Duration(w.Bytes) / kilobyte
	}
	if duration > w.TimeLeft {
		penalty += latePenalty
	}
	if !r.Healthy {
		penalty += unhealthyPenalty
	}
	return penalty
}

// roundTrip returns the network round-trip time over a distance.
func roundTrip(d model.Distance) time.Duration {
	switch d {
	case model.SameRegion:
		return crossDomainRTT
	case model.OtherRegion:
		return crossRegionRTT
	default:
		return 0
	}
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
