package limit

const (
	// maxUrgentDebt is how far charges and urgent messages may overdraw the budget, in
	// bursts. The bound keeps a large transfer or many urgent messages from blocking the
	// other uses for long.
	maxUrgentDebt = 2.0
	// maxMembershipDebt is how far membership messages may overdraw the budget, in
	// bursts. The bound keeps many of them from blocking the other uses for long.
	maxMembershipDebt = 1.0
)

// Charge takes bytes that were sent already. It may overdraw the budget; Take, Allows and
// AllowsUrgent then refuse until enough of the debt is paid off.
func (b *ControlBudget) Charge(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens = max(b.tokens-float64(bytes), -maxUrgentDebt*b.burst)
	b.used += uint64(bytes)
}

// Allows reports whether bytes may be sent at a priority, without taking them. Membership
// may overdraw the budget by maxMembershipDebt.
func (b *ControlBudget) Allows(bytes int, p Priority) bool {
	if p == PriorityMembership {
		return b.keepsAbove(bytes, -maxMembershipDebt)
	}
	return b.keepsAbove(bytes, reservedShare[p])
}

// AllowsUrgent is like Allows for messages that can't wait, such as a failed or draining
// instance. They may overdraw the budget by maxUrgentDebt.
func (b *ControlBudget) AllowsUrgent(bytes int) bool { return b.keepsAbove(bytes, -maxUrgentDebt) }

// keepsAbove reports whether at least a number of bursts, which may be negative, is left
// after taking bytes. A refusal is counted.
func (b *ControlBudget) keepsAbove(bytes int, bursts float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens-float64(bytes) < bursts*b.burst {
		b.denied++
		return false
	}
	return true
}

// refill adds the tokens for the time since the last call. The caller holds b.mu.
func (b *ControlBudget) refill() {
	now := b.now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
}
