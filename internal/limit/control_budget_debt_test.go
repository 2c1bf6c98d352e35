package limit

import (
	"testing"
	"time"
)

func TestChargeOverdrawsWithinBounds(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewControlBudget(1000, func() time.Time { return now })
	m.Charge(6000)
	if m.Allows(1, PriorityProbe) || !m.Allows(1, PriorityMembership) {
		t.Error("a small debt must stop probes, but not membership")
	}
	m.Charge(6000)
	if m.Allows(1, PriorityMembership) || !m.AllowsUrgent(1) {
		t.Error("a larger debt must stop membership, but not urgent messages")
	}
	m.Charge(1 << 20)
	if m.AllowsUrgent(1) {
		t.Error("the debt of urgent messages must be bounded")
	}
	now = now.Add(17 * time.Second)
	if !m.Allows(1, PriorityProbe) {
		t.Error("the debt must be paid off after 17 s")
	}
	if spent, _ := m.Usage(); spent != 12000+1<<20 {
		t.Errorf("used %d bytes", spent)
	}
}
