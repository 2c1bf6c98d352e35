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
	// NoHealth is set if package health doesn't keep the standings.
	NoHealth bool
	New      func(*instance) routing.Picker
}

// scored picks the endpoint with the lowest score; ties are broken at random.
type scored struct {
	table *routing.Table
	rand  *rand.Rand
	score func(i int, e *routing.Endpoint) float64
	// sample limits the choice to that many random endpoints; 0 means all.
	sample int
}

// Pick implements routing.Picker.
func (p *scored) Pick(req routing.Request) (*routing.Endpoint, error) {
	var usable []*routing.Endpoint
	for _, e := range p.table.Snapshot().Pool(req.Service).Endpoints {
		if e.Standing != routing.Draining && e.Standing != routing.Ejected && !slices.Contains(req.Exclude, e.Target.ID) {
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

func (in *instance) scored(sample int, score func(i int, e *routing.Endpoint) float64) routing.Picker {
	return &scored{table: in.table, rand: in.region.choice, sample: sample, score: score}
}

func (in *instance) clock() time.Duration { return in.region.now }

func ownInFlight(_ int, e *routing.Endpoint) float64 { return float64(e.Load.InFlight()) }

// agedReport is the last report, which fades within reportLifetime, or the own
// exchanges where they are more.
func (in *instance) agedReport(_ int, e *routing.Endpoint) float64 {
	report := in.reports[e.Target.ID]
	left := 1 - float64(in.region.now-report.at)/float64(reportLifetime)
	return max(float64(e.Load.InFlight()), float64(report.held)*max(0, left))
}

// homesFirst adds a cost to the targets that are not among the first two in the
// instance's rendezvous order.
func (in *instance) homesFirst() routing.Picker {
	homes := make(map[model.TargetID]bool, 2)
	list := slices.Clone(in.region.list)
	in.region.choice.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, target := range list[:2] {
		homes[target.ID] = true
	}
	return in.scored(0, func(i int, e *routing.Endpoint) float64 {
		score := in.agedReport(i, e)
		if !homes[e.Target.ID] {
			score += 0.5
		}
		return score
	})
}

// hinted weighs in what the other instances of the region have told of their own
// exchanges, as often as the measuring budget allows.
func (in *instance) hinted() routing.Picker {
	hints := make(map[model.TargetID]int)
	in.tell = func() {
		for _, e := range in.table.Snapshot().Pool(service).Endpoints {
			hints[e.Target.ID] = 0
			for _, other := range in.region.instances {
				if other != in {
					hints[e.Target.ID] += other.inFlight(e.Target.ID)
				}
			}
		}
	}
	return in.scored(0, func(_ int, e *routing.Endpoint) float64 {
		return float64(e.Load.InFlight()) + hintWeight*float64(hints[e.Target.ID])
	})
}

// hintWeight is the weight of a hint that is a quarter of a second old.
const hintWeight = 0.1

// Policies returns every policy that was weighed.
func Policies() []Policy {
	scored := func(sample int, score func(int, *routing.Endpoint) float64) func(*instance) routing.Picker {
		return func(in *instance) routing.Picker { return in.scored(sample, score) }
	}
	return []Policy{
		{Name: "random", New: scored(1, ownInFlight)},
		{Name: "two choices, own in-flight", New: scored(2, ownInFlight)},
		{Name: "least own in-flight", New: scored(0, ownInFlight)},
		{Name: "least reported, aged", New: func(in *instance) routing.Picker { return in.scored(0, in.agedReport) }},
		{Name: "home targets, least reported", New: (*instance).homesFirst},
		{Name: "load hints of instances", New: (*instance).hinted},
		{Name: "cost, no late binding", New: func(in *instance) routing.Picker {
			in.table.SetPlace(routing.Place{})
			return routing.NewSeededCostPicker(in.table, in.clock, in.region.choice.Float32)
		}},
		{Name: "the same without health", NoHealth: true, New: Chosen.New},
		Chosen,
		Oracle,
	}
}

// Chosen is the policy that serves requests.
var Chosen = Policy{Name: "cost and late binding (chosen)", New: func(in *instance) routing.Picker {
	return routing.NewSeededCostPicker(in.table, in.clock, in.region.choice.Float32)
}}

// Oracle knows the true number of requests at each target.
var Oracle = Policy{Name: "oracle: true shortest queue", New: func(in *instance) routing.Picker {
	return in.scored(0, func(_ int, e *routing.Endpoint) float64 {
		s := in.region.servers[e.Target.ID]
		if s.draining {
			return 1e6
		}
		return float64(s.expected)
	})
}}
