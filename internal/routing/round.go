package routing

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// round is one round of probes. The answers are immutable once done is closed.
type round struct {
	sentAt time.Duration
	pool   *Pool
	done   chan struct{}
	// endedAt is set before done is closed.
	endedAt time.Duration
	answers []answer
}

// answer is what one probe gave.
type answer struct {
	endpoint *Endpoint
	report   LoadReport
	err      error
}

// join returns a round of probes in the region that is recent enough, or runs one.
func (p *FreshPicker) join(ctx context.Context, req FreshRequest, pool *Pool) (*round, error) {
	p.mu.Lock()
	r := p.rounds[req.Service]
	if r != nil && r.pool == pool && r.serves(p.now()) {
		p.mu.Unlock()
		<-r.done
		return r, nil
	}
	homes, _, _ := usable(pool)
	if req.Repeated && !p.budget.AllowN(time.Now(), len(homes)) {
		p.mu.Unlock()
		return nil, &ProbesSpentError{Service: req.Service}
	}
	r = &round{sentAt: p.now(), pool: pool, done: make(chan struct{})}
	p.rounds[req.Service] = r
	p.mu.Unlock()
	if !req.Repeated {
		homes = p.afford(homes)
	}
	r.answers = p.ask(ctx, req.HealthPath, homes, askNear)
	r.endedAt = p.now()
	close(r.done)
	return r, nil
}

// afford returns the targets that the budget has probes for, at least two. Those
// two are paid from later probes if need be.
func (p *FreshPicker) afford(list []*Endpoint) []*Endpoint {
	n := min(max(int(p.budget.Tokens()), minAsked), len(list))
	p.budget.ReserveN(time.Now(), n)
	return sample(list, n)
}

// serves reports whether a round is running or has just ended.
func (r *round) serves(now time.Duration) bool {
	select {
	case <-r.done:
		return now-r.endedAt <= sharedFor
	default:
		return true
	}
}

// usable splits the endpoints that may take a request: the first of the region in
// the instance's own stable order, the rest of the region, and other regions.
func usable(pool *Pool) (homes, rest, far []*Endpoint) {
	for _, e := range pool.Endpoints {
		switch {
		case e.Standing == Draining:
		case e.Distance == model.OtherRegion:
			far = append(far, e)
		default:
			homes = append(homes, e)
		}
	}
	slices.SortFunc(homes, nearer)
	slices.SortFunc(far, nearer)
	if len(homes) > maxAskedNear {
		homes, rest = homes[:maxAskedNear], homes[maxAskedNear:]
	}
	return homes, rest, far
}

// sample returns at most n endpoints, drawn at random.
func sample(list []*Endpoint, n int) []*Endpoint {
	if len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// ask probes targets at the same time and waits for their answers. The probes go
// on when the request that asked is gone: others may share the answers.
func (p *FreshPicker) ask(ctx context.Context, path string, list []*Endpoint, wait time.Duration) []answer {
	answers := make(chan answer, len(list))
	ctx = context.WithoutCancel(ctx)
	for _, e := range list {
		go func() { answers <- p.probe(ctx, e, path) }()
	}
	heard := make([]answer, 0, len(list))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range list {
		select {
		case a := <-answers:
			heard = append(heard, a)
			continue
		case <-timer.C:
		}
		break
	}
	return withSilent(list, heard)
}

func (p *FreshPicker) probe(ctx context.Context, e *Endpoint, path string) answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.prober.Probe(ctx, e, path)
	return answer{endpoint: e, report: report, err: err}
}

// silenceError reports a target that did not answer a probe in time.
type silenceError struct{}

// withSilent adds the targets that were not heard of.
func withSilent(list []*Endpoint, heard []answer) []answer {
	for _, e := range list {
		if !slices.ContainsFunc(heard, func(a answer) bool { return a.endpoint == e }) {
			heard = append(heard, answer{endpoint: e, err: silenceError{}})
		}
	}
	return heard
}
