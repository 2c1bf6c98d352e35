package callers

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// holder is a connection of a test.
type holder struct {
	name    string
	busy    bool
	aborted bool
}

func (h *holder) MayClose() bool { return !h.busy }
func (h *holder) Abort() bool    { h.aborted = true; return true }
func (h *holder) Caller() string { return h.name }

// open opens the account of a holder.
func open(t *testing.T, b *Budget, h *holder) *Account {
	t.Helper()
	a, ok := b.Open(h)
	if !ok {
		t.Fatalf("%s is turned away", h.name)
	}
	return a
}

// TestMostForLongestIsClosedFirst guards against closing a connection whose request runs, one
// that makes progress, or a small one in place of a large one that stalls.
func TestMostForLongestIsClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refusals []Refusal
		b := NewBudget(Limits{Connections: 4})
		b.OnRefusal = func(r Refusal) { refusals = append(refusals, r) }
		idle, stalled, running, sending := &holder{name: "idle"}, &holder{name: "stalled"}, &holder{name: "running", busy: true}, &holder{name: "sending"}
		open(t, b, idle)
		b.limits.Memory = 1 << 30
		open(t, b, stalled).Reserve(500 << 10)
		open(t, b, running).Reserve(900 << 10)
		progressing := open(t, b, sending)
		progressing.Reserve(900 << 10)
		if _, ok := b.Open(&holder{name: "early"}); ok {
			t.Error("a connection is taken though none has stalled")
		}
		time.Sleep(3 * minStall)
		progressing.Progress()
		open(t, b, &holder{name: "first"})
		open(t, b, &holder{name: "second"})
		if !stalled.aborted || !idle.aborted || running.aborted || sending.aborted {
			t.Errorf("closed: stalled %t, idle %t, running %t, sending %t", stalled.aborted, idle.aborted, running.aborted, sending.aborted)
		}
		if _, ok := b.Open(&holder{name: "third"}); ok {
			t.Error("more connections than the limit")
		}
		if len(refusals) != 4 || refusals[0].Closed || refusals[1].Caller != "stalled" || !refusals[1].Closed || refusals[1].Stalled != 3*minStall {
			t.Errorf("refusals %+v", refusals)
		}
	})
}

// TestSmallRequestsFitBesideLargeOnes guards against a crowd of large bodies that leaves nothing
// for ordinary requests.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Limits{Memory: 10 << 20, Exchanges: 100})
		for range 100 {
			open(t, b, &holder{busy: true}).Reserve(512 << 10)
			if a := open(t, b, &holder{}); !a.BeginExchange() {
				t.Fatal("a small request is refused")
			} else {
				a.EndExchange()
				a.Close()
			}
		}
	})
}

// TestReservationsAreReleased guards against a leak, which would refuse everything in time.
func TestReservationsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Limits{Memory: 10 << 20, Connections: 10, Exchanges: 10})
		for range 1000 {
			a := open(t, b, &holder{})
			for a.Reserve(1 << 20) {
				a.Progress()
			}
			a.Release(1 << 20)
			if a.BeginExchange() {
				a.EndExchange()
			}
			a.BeginExchange()
			a.Close()
		}
		if memory, connections, exchanges := b.Usage(); memory != 0 || connections != 0 || exchanges != 0 || b.large.Load() != 0 {
			t.Errorf("%d bytes, %d connections, %d exchanges, %d bytes of large ones are left", memory, connections, exchanges, b.large.Load())
		}
	})
}

// TestStalledExchangesMakeRoom guards against answers that nobody reads: they hold all exchanges.
func TestStalledExchangesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Limits{Exchanges: 6})
		var crowd []*holder
		for range 6 {
			h := &holder{}
			if crowd = append(crowd, h); !open(t, b, h).BeginExchange() {
				t.Fatal("refused below the limit")
			}
		}
		ordinary := open(t, b, &holder{})
		if ordinary.BeginExchange() {
			t.Error("more exchanges than the limit")
		}
		time.Sleep(2 * minStall)
		_ = ordinary.BeginExchange()
		closed := 0
		for _, h := range crowd {
			if h.aborted {
				closed++
			}
		}
		if closed != 1 {
			t.Errorf("%d stalled connections are closed, want 1", closed)
		}
	})
}

// TestMachineLimitsAdmitTheSmallestMachinesCallers checks the defaults of the smallest machine
// against what its callers may do: 300 connections, four requests sent ahead on a quarter of
// them, twenty uploads at once; and that all shares of the descriptors fit.
func TestMachineLimitsAdmitTheSmallestMachinesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(ForMachine(184, 4100))
		b.OnRefusal = func(r Refusal) { t.Errorf("%+v", r) }
		for i := range 300 {
			a := open(t, b, &holder{})
			for range 1 + 3*(i%4/3) {
				a.BeginExchange()
			}
			if i%15 == 0 {
				a.Reserve(512 << 10)
			}
		}
	})
	l := ForMachine(184, 4100)
	if sum := l.Connections + MaxTargetConnections(4100); sum > 4100*9/10 {
		t.Errorf("%d of 4100 descriptors", sum)
	}
	if ForMachine(0, 0) != (Limits{}) || MaxPeerLinks(0, 7) != 7 || MemoryGoal(0) != 0 {
		t.Error("an unknown machine limits")
	}
}

// TestListenerClosesTheOneSilentForLongest guards against connections to the readiness address
// that stay open: a new one always finds a place, but not that of one which has just been
// accepted or has sent something.
func TestListenerClosesTheOneSilentForLongest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, 2)
	defer func() { _ = l.Close() }()
	var accepted []net.Conn
	startedAt := time.Now()
	for n := range 4 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, c)
		if n == 1 {
			if _, err := caller.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := accepted[n].Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if took := time.Since(startedAt); took < minHold {
		t.Errorf("connections were closed %v after they were accepted", took)
	}
	for _, n := range []int{0, 1} {
		if _, err := accepted[n].Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("connection %d: %v", n, err)
		}
	}
	for _, c := range accepted {
		_ = c.Close()
	}
}

// TestSlowCrowdMakesRoom guards against callers that send a few bytes now and then: each of them
// made progress, so that no new connection was taken. Ordinary uploads, also slow ones, and
// callers that targets serve keep their connections.
func TestSlowCrowdMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Limits{Connections: 40})
		type member struct {
			holder
			moves int
			every time.Duration
			// served is set if targets respond to its requests.
			served bool
			from   time.Time
		}
		var crowd []*member
		ordinary := []*member{
			{holder: holder{name: "1 MB/s"}, moves: 10_000, every: 10 * time.Millisecond},
			{holder: holder{name: "64 KB/s"}, moves: 1300, every: 20 * time.Millisecond},
			{holder: holder{name: "served"}, moves: 200, every: 700 * time.Millisecond, served: true},
		}
		for n := range 37 {
			crowd = append(crowd, &member{holder: holder{name: "slow"}, moves: 80, every: 700 * time.Millisecond, from: time.Now().Add(time.Duration(n) * 19 * time.Millisecond)})
		}
		all := append(ordinary, crowd...)
		accounts := make(map[*member]*Account)
		for _, m := range all {
			accounts[m] = open(t, b, &m.holder)
		}
		next := make(map[*member]time.Time)
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			for _, m := range all {
				if now := time.Now(); !m.aborted && !now.Before(m.from) && !now.Before(next[m]) {
					next[m] = now.Add(m.every)
					accounts[m].Moved(m.moves)
					if m.served {
						accounts[m].Progress()
					}
				}
			}
			if time.Since(until.Add(-20*time.Second)) > 2*minStall && time.Now().UnixMilli()%500 == 0 {
				open(t, b, &holder{name: "new"})
			}
		}
		for _, m := range ordinary {
			if m.aborted {
				t.Errorf("the connection of %s was closed", m.name)
			}
		}
	})
}
