package peersync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/wait"
)

// seedMarks is the state of the exchange with one seed.
type seedMarks struct {
	exchange *MarkExchange
	addr     string

	mu sync.Mutex
	// run and change are those of the latest response.
	run, change uint64
	// sent is the change of the own registry up to which the seed's process run has the
	// reports of this instance.
	sent uint64
}

// awaitNews holds exchanges at the seed until it doesn't respond. If there is a choice of
// seeds, it also ends after maxMarksBackoff when the seed is alone or not near, so that another
// one is sought. It reports whether the seed responded at all.
func (s *seedMarks) awaitNews(ctx context.Context, hasChoice, near bool) (responded bool) {
	startedAt := time.Now()
	for {
		resp, err := s.call(ctx, marksWait)
		if err != nil {
			s.exchange.Log.Info("peer not reached for marks", zap.String("address", s.addr), zap.Error(err))
			return responded
		}
		responded = true
		if (resp.Alone || !near) && hasChoice && time.Since(startedAt) >= maxMarksBackoff {
			return responded
		}
	}
}

// sendReports sends new reports of this instance to the seed until ctx ends.
func (s *seedMarks) sendReports(ctx context.Context) {
	for pause := newBackoff(); ctx.Err() == nil; {
		changed := s.exchange.Registry.Changed()
		if s.hasUnsent() {
			if _, err := s.call(ctx, 0); err != nil {
				pause.wait(ctx)
				continue
			}
		}
		pause = newBackoff()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *seedMarks) hasUnsent() bool {
	marks, _ := s.unsent()
	return len(marks) > 0
}

// unsent returns the reports to send, and the change of the registry that they reflect.
func (s *seedMarks) unsent() (marks []quarantine.Mark, latest uint64) {
	s.mu.Lock()
	sent := s.sent
	s.mu.Unlock()
	return s.exchange.Registry.ReportedSince(sent)
}

// call makes one exchange, which the seed may hold for the given time.
func (s *seedMarks) call(ctx context.Context, hold time.Duration) (resp marksResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+exchangeTimeout)
	defer cancel()
	marks, latest := s.unsent()
	s.mu.Lock()
	req := marksRequest{Marks: marks, Run: s.run, Change: s.change, WaitMillis: uint32(hold.Milliseconds())}
	s.mu.Unlock()
	if _, err := s.exchange.Transport.CallAddr(ctx, s.addr, peer.OpExchangeMarks, req, &resp); err != nil {
		return marksResponse{}, err
	}
	s.exchange.recordContact(&s.exchange.lastContact)
	s.exchange.recordContact(&s.exchange.lastSeedContact)
	s.exchange.Registry.Merge(resp.Marks)
	if s.accept(req.Run, resp, latest) {
		return resp, nil
	}
	return resp, s.sendAll(ctx)
}

// accept records a response to an exchange that sent the reports up to the change latest.
// It reports false if another process than before responded, which lacks all marks.
func (s *seedMarks) accept(askedRun uint64, resp marksResponse, latest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.Run != s.run {
		s.run, s.change, s.sent = resp.Run, resp.Change, 0
	}
	if resp.Run != askedRun {
		return false
	}
	s.change, s.sent = max(s.change, resp.Change), max(s.sent, latest)
	return true
}

// sendAll sends all marks, those of other instances too, to a seed whose process is new.
func (s *seedMarks) sendAll(ctx context.Context) error {
	marks, latest := s.exchange.Registry.ChangedSince(0)
	if len(marks) == 0 {
		return nil
	}
	s.mu.Lock()
	req := marksRequest{Marks: marks, Run: s.run, Change: s.change}
	s.mu.Unlock()
	var resp marksResponse
	if _, err := s.exchange.Transport.CallAddr(ctx, s.addr, peer.OpExchangeMarks, req, &resp); err != nil {
		return err
	}
	s.exchange.Registry.Merge(resp.Marks)
	s.accept(req.Run, resp, latest)
	return nil
}

// backoff is the pause after a failed exchange. It grows from minMarksBackoff to
// maxMarksBackoff.
type backoff struct{ next time.Duration }

func newBackoff() backoff { return backoff{next: minMarksBackoff} }

func (b *backoff) wait(ctx context.Context) {
	wait.For(ctx, b.next*3/4+rand.N(b.next/2))
	b.next = min(2*b.next, maxMarksBackoff)
}
