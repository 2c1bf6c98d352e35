// Package policytable compares load-balancing policies in a discrete-event simulation
// of one service in one region. The simulation runs in virtual time and uses the
// pickers of package routing that also serve real requests. It is an experiment and
// not part of the gateway.
package policytable

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function to run at a virtual time. Events at the same time run in order
// of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap implements heap.Interface, earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// eventLoop runs events in the order of their virtual times.
type eventLoop struct {
	now    time.Duration
	events eventHeap
	seq    int
}

// schedule runs a function at d from now.
func (l *eventLoop) schedule(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + d, seq: l.seq, run: run})
}

// runAll runs events until none is left.
func (l *eventLoop) runAll() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

const (
	// meanServiceTime is the mean of the exponentially distributed service times.
	meanServiceTime = 10 * time.Millisecond
	// stragglerSpeed is the speed of a target in a slow period, relative to its normal
	// speed.
	stragglerSpeed = 0.25
	// slowPeriodLength is the length of a slow period.
	slowPeriodLength = 80 * time.Millisecond
	// meanSlowPeriodGap is the mean of the exponentially distributed times between
	// slow periods.
	meanSlowPeriodGap = 720 * time.Millisecond
	// rejectTime is how long a target takes to reject a request.
	rejectTime = 200 * time.Microsecond
)

// exponential returns an exponentially distributed duration.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// job is one exchange at its target.
type job struct {
	// serviceTime is how long the job takes at normal speed.
	serviceTime time.Duration
	// cancelled is set by the instance; running and finished are set by the server.
	cancelled bool
	running   bool
	finished  bool
	// respond is called once the job is finished, with the number of requests that the
	// server held just before.
	respond func(rejected bool, held int)
}

// server is a target with a number of slots and a FIFO queue.
type server struct {
	loop      *eventLoop
	rand      *rand.Rand
	slots     int
	straggles bool
	rejects   bool
	draining  bool

	queue   []*job
	running int
	// outstanding counts the requests held and those in transit to the server.
	outstanding int
	// slowPeriods are the start times of the slow periods that are not over; slowEnd
	// is when the last of them ends.
	slowPeriods []time.Duration
	slowEnd     time.Duration
}

// held returns the number of requests that are queued or running.
func (s *server) held() int { return len(s.queue) + s.running }

// arrive rejects a job or queues it.
func (s *server) arrive(j *job) {
	if s.rejects {
		j.finished = true
		s.loop.schedule(rejectTime, func() { j.respond(true, s.held()) })
		return
	}
	s.queue = append(s.queue, j)
	s.start()
}

// start runs queued jobs while there are free slots.
func (s *server) start() {
	for s.running < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		j.running = true
		s.running++
		s.loop.schedule(s.duration(j.serviceTime), func() { s.finish(j) })
	}
}

// finish responds to a job, unless it has been cancelled, and starts the next one.
func (s *server) finish(j *job) {
	if !j.running {
		return
	}
	held := s.held()
	j.running = false
	j.finished = true
	s.running--
	j.respond(false, held)
	s.start()
}

// cancel removes a job from the queue or its slot.
func (s *server) cancel(j *job) {
	if j.finished {
		return
	}
	s.outstanding--
	if j.running {
		j.running = false
		s.running--
		s.start()
		return
	}
	for i, queued := range s.queue {
		if queued == j {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
}

// duration returns how long work takes that starts now, slow periods included.
func (s *server) duration(work time.Duration) time.Duration {
	if !s.straggles {
		return work
	}
	at, remaining := s.loop.now, work
	for len(s.slowPeriods) > 0 && s.slowPeriods[0]+slowPeriodLength <= at {
		s.slowPeriods = s.slowPeriods[1:]
	}
	for i := 0; ; i++ {
		from := s.slowPeriod(i)
		if fullSpeedTime := max(0, from-at); remaining <= fullSpeedTime {
			return at + remaining - s.loop.now
		} else {
			remaining -= fullSpeedTime
			at += fullSpeedTime
		}
		slowWork := time.Duration(float64(from+slowPeriodLength-at) * stragglerSpeed)
		if remaining <= slowWork {
			return at + time.Duration(float64(remaining)/stragglerSpeed) - s.loop.now
		}
		remaining -= slowWork
		at = from + slowPeriodLength
	}
}

// slowPeriod returns the start of the i-th slow period that is not over, drawing it if
// needed.
func (s *server) slowPeriod(i int) time.Duration {
	for len(s.slowPeriods) <= i {
		s.slowPeriods = append(s.slowPeriods, s.slowEnd+exponential(s.rand, meanSlowPeriodGap))
		s.slowEnd = s.slowPeriods[len(s.slowPeriods)-1] + slowPeriodLength
	}
	return s.slowPeriods[i]
}
