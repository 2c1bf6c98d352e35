// Package policytable is an experiment: it compares policies for the choice of a
// target in virtual time, in a queueing model of one region, driving the same
// pickers that serve requests.
package policytable

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

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

// loop runs events in the order of their virtual times.
type loop struct {
	now    time.Duration
	events eventHeap
	seq    int
}

func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + d, seq: l.seq, run: run})
}

func (l *loop) drain() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

const (
	meanService = 10 * time.Millisecond
	// A straggling target works at a quarter of its speed.
	stragglePace   = 0.25
	straggleLength = 80 * time.Millisecond
	straggleGap    = 720 * time.Millisecond
	rejectTime     = 200 * time.Microsecond
)

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// job is one exchange as its target sees it.
type job struct {
	work time.Duration
	// cancelled is set by the instance, running and finished by the server.
	cancelled bool
	running   bool
	finished  bool
	answer    func(rejected bool, held int)
}

// server is a target with slots and a queue in order of arrival.
type server struct {
	loop      *loop
	rand      *rand.Rand
	slots     int
	straggles bool
	rejects   bool
	draining  bool

	queue   []*job
	running int
	// expected counts the requests held and those under way to the server.
	expected int
	slow     []time.Duration
	slowEnd  time.Duration
}

func (s *server) held() int { return len(s.queue) + s.running }

func (s *server) arrive(j *job) {
	if s.rejects {
		j.finished = true
		s.loop.after(rejectTime, func() { j.answer(true, s.held()) })
		return
	}
	s.queue = append(s.queue, j)
	s.start()
}

func (s *server) start() {
	for s.running < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		j.running = true
		s.running++
		s.loop.after(s.duration(j.work), func() { s.finish(j) })
	}
}

func (s *server) finish(j *job) {
	if !j.running {
		return
	}
	held := s.held()
	j.running = false
	j.finished = true
	s.running--
	j.answer(false, held)
	s.start()
}

// abandon removes a job wherever it is.
func (s *server) abandon(j *job) {
	if j.finished {
		return
	}
	s.expected--
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

// duration returns how long work takes from now on, slow times included.
func (s *server) duration(work time.Duration) time.Duration {
	if !s.straggles {
		return work
	}
	at, left := s.loop.now, work
	for len(s.slow) > 0 && s.slow[0]+straggleLength <= at {
		s.slow = s.slow[1:]
	}
	for i := 0; ; i++ {
		from := s.slowTime(i)
		if quick := max(0, from-at); left <= quick {
			return at + left - s.loop.now
		} else {
			left -= quick
			at += quick
		}
		during := time.Duration(float64(from+straggleLength-at) * stragglePace)
		if left <= during {
			return at + time.Duration(float64(left)/stragglePace) - s.loop.now
		}
		left -= during
		at = from + straggleLength
	}
}

// slowTime returns when the i-th slow time that is not over begins.
func (s *server) slowTime(i int) time.Duration {
	for len(s.slow) <= i {
		s.slow = append(s.slow, s.slowEnd+exponential(s.rand, straggleGap))
		s.slowEnd = s.slow[len(s.slow)-1] + straggleLength
	}
	return s.slow[i]
}
