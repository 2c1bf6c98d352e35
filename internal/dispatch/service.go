package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/schedule"
)

// RetryBudget bounds the retries that reach targets, as a share of each service's
// requests.
type RetryBudget struct {
	// Share is the fraction of a service's requests that may be retried, from 0 to 1.
	Share float64
	// Burst is the number of retries that one instance may make at once after a pause. A
	// new process starts with none of it.
	Burst float64
}

// serviceStates holds the state of each service by name. It is safe for concurrent use.
type serviceStates struct {
	// share holds RetryBudget.Share as the bits of a float64; it may change while the
	// process runs.
	share  atomic.Uint64
	burst  float64
	byName sync.Map
}

func (s *serviceStates) setRetryShare(share float64) { s.share.Store(math.Float64bits(share)) }

// serviceState is the state that an instance keeps for one service between requests.
type serviceState struct {
	states      *serviceStates
	retryBudget limit.RatioBudget
	// idleLatency holds the durations of requests that ran on idle targets at about their
	// normal pace.
	idleLatency limit.LatencyWindow
	// byKind holds the same of each kind of request by its workKind, as *limit.LatencyWindow,
	// where kinds compete for the targets.
	byKind sync.Map
	// scheduler orders the requests that wait for a slot where kinds compete.
	scheduler schedule.Scheduler
}

// workKind tells kinds of request with different work apart. It doesn't name the rule, so
// that many rules of one kind share what is known.
type workKind struct {
	class     model.Class
	objective time.Duration
	priority  int
}

// durations returns the durations from which the work of a request is estimated: those of its
// kind where kinds compete for the service's targets, else those of all.
func (s *serviceState) durations(rule *route.Rule, contended bool) *limit.LatencyWindow {
	if !contended {
		return &s.idleLatency
	}
	kind := workKind{class: rule.Class, objective: rule.Objective, priority: rule.Priority}
	if known, ok := s.byKind.Load(kind); ok {
		return known.(*limit.LatencyWindow)
	}
	known, _ := s.byKind.LoadOrStore(kind, new(limit.LatencyWindow))
	return known.(*limit.LatencyWindow)
}

func (s *serviceStates) retryShare() float64 { return math.Float64frombits(s.share.Load()) }

func (s *serviceStates) get(name model.ServiceName) *serviceState {
	if known, ok := s.byName.Load(name); ok {
		return known.(*serviceState)
	}
	fresh := &serviceState{states: s, retryBudget: limit.RatioBudget{Burst: s.burst}}
	fresh.retryBudget.Exhaust()
	known, _ := s.byName.LoadOrStore(name, fresh)
	return known.(*serviceState)
}

// countRequest counts a request, which adds a share of a retry to the budget.
func (s *serviceState) countRequest() { s.retryBudget.Deposit(s.states.retryShare()) }

// spendRetry charges one retry to the budget and reports whether the budget allows it.
func (s *serviceState) spendRetry() bool { return s.retryBudget.Withdraw(s.states.retryShare()) }

// spendSecondRun charges a second run to the budget and reports whether the budget allows it.
func (s *serviceState) spendSecondRun() bool {
	return s.retryBudget.WithdrawKeeping(s.states.retryShare(), secondRunReserve)
}

const (
	// defaultWorkShare is the expected duration of a request as a share of the latency
	// objective while too few durations are known.
	defaultWorkShare = 0.4
	// maxIdlePace is the highest pace, in percent of the normal duration, that a target may
	// report for its durations to be recorded in idleLatency.
	maxIdlePace = 115
)

// expectedDuration returns the expected duration of the request at an idle target. It is
// the median, which is little affected by requests that targets answer at once.
func (f *forwarder) expectedDuration() time.Duration {
	if known, ok := f.durations.Quantile(0.5); ok {
		return known
	}
	return time.Duration(defaultWorkShare * float64(f.rule.Objective))
}

// observe records the duration of a request if it ran on an idle target at about its
// normal pace.
func (f *forwarder) observe(c routing.Candidate, elapsed time.Duration) {
	if c.Err == nil && c.Report.Running+c.Report.Waiting == 0 && c.Report.Pace <= maxIdlePace {
		f.durations.Observe(elapsed)
	}
}
