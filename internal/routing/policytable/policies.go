package policytable

import (
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// Policy is one way to choose a target.
type Policy struct {
	Name string
	// NoHealth is set to run the policy without package health.
	NoHealth bool
	// New returns the picker of one instance.
	New func(*instance) routing.Picker
}

// scorePicker picks the endpoint with the lowest score; ties are broken at random. It
// skips draining and ejected targets.
type scorePicker struct {
	table *routing.Table
	rand  *rand.Rand
	score func(i int, e *routing.Endpoint) float64
	// sample limits the choice to that many random endpoints; 0 means all of them.
	sample int
}

// Pick implements routing.Picker.
func (p *scorePicker) Pick(req routing.Request) (*routing.Endpoint, error) {
	var usable []*routing.Endpoint
	for _, e := range p.table.Snapshot().Pool(req.Service).Endpoints {
		if e.State != routing.Draining && e.State != routing.Ejected && !slices.Contains(req.Exclude, e.Target.ID) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return nil, &routing.NoTargetError{Service: req.Service}
	}
	p.rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	if p.sample > 0 {
		usable = usable[:min(p.sample, len(usable))]
	}
	best, lowest := usable[0], p.score(0, usable[0])
	for i, e := range usable[1:] {
		if score := p.score(i+1, e); score < lowest {
			best, lowest = e, score
		}
	}
	return best, nil
}

// newScorePicker returns a scorePicker over the instance's table.
func (in *instance) newScorePicker(sample int, score func(i int, e *routing.Endpoint) float64) routing.Picker {
	return &scorePicker{table: in.table, rand: in.region.policyRand, sample: sample, score: score}
}

// clock returns the virtual time.
func (in *instance) clock() time.Duration { return in.region.now }

// ownInFlight scores an endpoint by the instance's own exchanges in flight.
func ownInFlight(_ int, e *routing.Endpoint) float64 { return float64(e.Load.InFlight()) }

// decayedReport scores an endpoint by its last report, whose weight falls linearly to
// 0 within maxReportAge, or by the own exchanges in flight if they are more.
func (in *instance) decayedReport(_ int, e *routing.Endpoint) float64 {
	report := in.reports[e.Target.ID]
	remaining := 1 - float64(in.region.now-report.at)/float64(maxReportAge)
	return max(float64(e.Load.InFlight()), float64(report.held)*max(0, remaining))
}

// preferTwo scores by decayedReport, with a penalty for all but two random targets of
// the instance.
func (in *instance) preferTwo() routing.Picker {
	preferred := make(map[model.TargetID]bool, 2)
	list := slices.Clone(in.region.list)
	in.region.policyRand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, target := range list[:2] {
		preferred[target.ID] = true
	}
	return in.newScorePicker(0, func(i int, e *routing.Endpoint) float64 {
		score := in.decayedReport(i, e)
		if !preferred[e.Target.ID] {
			score += 0.5
		}
		return score
	})
}

// withHints scores by the own exchanges in flight and those of the other instances, as
// of the last tick.
func (in *instance) withHints() routing.Picker {
	hints := make(map[model.TargetID]int)
	in.refreshHints = func() {
		for _, e := range in.table.Snapshot().Pool(service).Endpoints {
			hints[e.Target.ID] = 0
			for _, other := range in.region.instances {
				if other != in {
					hints[e.Target.ID] += other.inFlight(e.Target.ID)
				}
			}
		}
	}
	return in.newScorePicker(0, func(_ int, e *routing.Endpoint) float64 {
		return float64(e.Load.InFlight()) + hintWeight*float64(hints[e.Target.ID])
	})
}

// hintWeight is the weight of other instances' exchanges in flight. It is low because
// the hints are up to a quarter of a second old; the control budget does not allow them
// more often.
const hintWeight = 0.1

// Policies returns all compared policies.
func Policies() []Policy {
	byScore := func(sample int, score func(int, *routing.Endpoint) float64) func(*instance) routing.Picker {
		return func(in *instance) routing.Picker { return in.newScorePicker(sample, score) }
	}
	return []Policy{
		{Name: "random", New: byScore(1, ownInFlight)},
		{Name: "two choices, own in-flight", New: byScore(2, ownInFlight)},
		{Name: "least own in-flight", New: byScore(0, ownInFlight)},
		{Name: "least reported, aged", New: func(in *instance) routing.Picker { return in.newScorePicker(0, in.decayedReport) }},
		{Name: "home targets, least reported", New: (*instance).preferTwo},
		{Name: "load hints of instances", New: (*instance).withHints},
		{Name: "cost, no late binding", New: func(in *instance) routing.Picker {
			in.table.SetPosition(routing.Position{})
			return routing.NewSeededCostPicker(in.table, in.clock, in.region.policyRand.Float32)
		}},
		{Name: "the same without health", NoHealth: true, New: Chosen.New},
		Chosen,
		Oracle,
	}
}

// Chosen is the policy that serves real requests.
var Chosen = Policy{Name: "cost and late binding (chosen)", New: func(in *instance) routing.Picker {
	return routing.NewSeededCostPicker(in.table, in.clock, in.region.policyRand.Float32)
}}

// Oracle picks by the true number of requests at each target, which no real policy
// knows.
var Oracle = Policy{Name: "oracle: true shortest queue", New: func(in *instance) routing.Picker {
	return in.newScorePicker(0, func(_ int, e *routing.Endpoint) float64 {
		s := in.region.servers[e.Target.ID]
		if s.draining {
			return 1e6
		}
		return float64(s.outstanding)
	})
}}
