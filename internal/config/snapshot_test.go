package config

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

func locationOf(region model.Region) model.Location { return model.Location{Region: region} }

// documentWithExpiringException returns a document with one exception, which sets
// the queue limit until expires.
func documentWithExpiringException(revision model.Revision, limit int, expires time.Time) *Document {
	return &Document{
		Revision: revision,
		Services: map[model.ServiceName]Service{"nahled": {}},
		Exceptions: []Exception{{
			Scope: Scope{Service: "nahled"}, Set: PolicyFields{QueueLimit: &limit}, Reason: "a short test", Expires: &expires,
		}},
	}
}

func TestExceptionExpiresWithoutNewRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := events.NewClock(time.Now)
		ring := events.NewRing("i", clock, 8)
		h := NewSnapshotHolder(locationOf("praha"))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); h.Run(ctx, ring) }()
		synctest.Wait()
		h.Apply(documentWithExpiringException(1, 7, time.Now().Add(3*time.Hour)), time.Now())
		time.Sleep(3*time.Hour - time.Nanosecond)
		synctest.Wait()
		if got := h.Current().Policy("nahled").QueueLimit; got != 7 {
			t.Errorf("before the expiry: %d", got)
		}
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		if got := h.Current().Policy("nahled").QueueLimit; got != defaultQueueLimit {
			t.Errorf("after the expiry: %d", got)
		}
		if h.Revision() != 1 {
			t.Errorf("revision changed to %d", h.Revision())
		}
		if recorded := ring.Snapshot(); len(recorded) != 1 || recorded[0].Kind != events.ExceptionExpired || recorded[0].Revision != 1 {
			t.Errorf("events: %+v", recorded)
		}
		cancel()
		<-done
	})
}

func TestExpiredExceptionStaysExpiredIfClockIsSetBack(t *testing.T) {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	h := NewSnapshotHolder(locationOf("praha"))
	h.Apply(documentWithExpiringException(1, 7, start.Add(time.Hour)), start)
	if !h.Expire(start.Add(time.Hour)) {
		t.Fatal("did not expire")
	}
	if h.Expire(start) || h.Current().Policy("nahled").QueueLimit != defaultQueueLimit {
		t.Error("a clock set back brought the exception back")
	}
}

func TestHolderIgnoresSameOrLowerRevision(t *testing.T) {
	h := NewSnapshotHolder(locationOf("praha"))
	now := time.Now()
	if !h.Apply(documentWithExpiringException(5, 5, now.Add(time.Hour)), now) {
		t.Fatal("first document refused")
	}
	for _, revision := range []model.Revision{5, 4, 0} {
		if h.Apply(documentWithExpiringException(revision, 1, now.Add(time.Hour)), now) {
			t.Errorf("revision %d replaced 5", revision)
		}
	}
	if h.Current().Policy("nahled").QueueLimit != 5 {
		t.Error("policies changed")
	}
}

func TestHolderConcurrentUse(t *testing.T) {
	start := time.Now()
	h := NewSnapshotHolder(locationOf("praha"))
	h.Apply(documentWithExpiringException(1, 1, start.Add(time.Hour)), start)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for revision := range model.Revision(200) {
				h.Apply(documentWithExpiringException(revision, int(revision), start.Add(time.Hour)), start)
				h.Expire(start.Add(2 * time.Hour))
			}
		})
		wg.Go(func() {
			var last model.Revision
			for range 2000 {
				s := h.Current()
				if s.Document.Revision < last {
					t.Errorf("revision %d after %d", s.Document.Revision, last)
				}
				last = s.Document.Revision
				if limit := s.Policy("nahled").QueueLimit; limit != defaultQueueLimit && limit != int(last) {
					t.Errorf("revision %d has limit %d", last, limit)
				}
			}
		})
	}
	wg.Wait()
	if h.Revision() != 199 {
		t.Errorf("ended at revision %d", h.Revision())
	}
}
