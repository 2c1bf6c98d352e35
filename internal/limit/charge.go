package limit

// maxUrgentDebt is how far charges and urgent messages may overdraw the budget, in
// bursts. The bound keeps a large transfer or many urgent messages from blocking the
// other uses for long.
const (
	maxUrgentDebt = 2.0
	// maxMembershipDebt is how far membership messages may overdraw the budget, in
	// bursts. The bound keeps many of them from blocking the other uses for long.
	maxMembershipDebt = 1.0
)

// Charge takes bytes that were sent already. It may overdraw the budget; Take, Allows and
// AllowsUrgent then refuse until enough of the debt is paid off.
func (m *Measuring) Charge(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	m.tokens = max(m.tokens-float64(bytes), -maxUrgentDebt*m.burst)
	m.used += uint64(bytes)
}

// Allows reports whether bytes may be sent at a priority, without taking them. Membership
// may overdraw the budget by maxMembershipDebt.
func (m *Measuring) Allows(bytes int, p Priority) bool {
	if p == PriorityMembership {
		return m.keepsAbove(bytes, -maxMembershipDebt)
	}
	return m.keepsAbove(bytes, reservedShare[p])
}

// AllowsUrgent is like Allows for messages that can't wait, such as a failed or draining
// instance. They may overdraw the budget by maxUrgentDebt.
func (m *Measuring) AllowsUrgent(bytes int) bool { return m.keepsAbove(bytes, -maxUrgentDebt) }

// keepsAbove reports whether at least a number of bursts, which may be negative, is left
// after taking bytes. A refusal is counted.
func (m *Measuring) keepsAbove(bytes int, bursts float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	if m.tokens-float64(bytes) < bursts*m.burst {
		m.denied++
		return false
	}
	return true
}

// refill adds the tokens for the time since the last call. The caller holds m.mu.
func (m *Measuring) refill() {
	now := m.now()
	m.tokens = min(m.burst, m.tokens+now.Sub(m.last).Seconds()*m.rate)
	m.last = now
}
