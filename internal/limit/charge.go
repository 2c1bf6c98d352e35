package limit

// maxDebtBursts bounds how far charges may overdraw the budget, so that one
// large transfer silences the other uses for a bounded time only.
const maxDebtBursts = 2

// Charge pays for bytes that were sent already. The budget may be overdrawn;
// Take and Allows then refuse until the debt is paid off.
func (m *Measuring) Charge(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	m.tokens = max(m.tokens-float64(bytes), -maxDebtBursts*m.burst)
	m.spent += uint64(bytes)
}

// Allows reports whether Take would succeed, without paying. Membership may
// overdraw the budget by one burst.
func (m *Measuring) Allows(bytes int, p Priority) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	floor := reserve[p] * m.burst
	if p == PriorityMembership {
		floor = -m.burst
	}
	if m.tokens-float64(bytes) < floor {
		m.denied++
		return false
	}
	return true
}

func (m *Measuring) refill() {
	now := m.now()
	m.tokens = min(m.burst, m.tokens+now.Sub(m.last).Seconds()*m.rate)
	m.last = now
}
