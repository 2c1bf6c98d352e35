package limit

// How far the budget may be overdrawn, in bursts. The bounds keep one large
// transfer or a storm of news from silencing the other uses for long.
const (
	urgentDebt     = 2.0
	membershipDebt = 1.0
)

// Charge pays for bytes that were sent already. The budget may be overdrawn;
// Take and Allows refuse until the debt is paid off.
func (m *Measuring) Charge(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	m.tokens = max(m.tokens-float64(bytes), -urgentDebt*m.burst)
	m.spent += uint64(bytes)
}

// Allows reports whether bytes of a priority may be sent, without paying.
// Membership may overdraw the budget by one burst.
func (m *Measuring) Allows(bytes int, p Priority) bool {
	if p == PriorityMembership {
		return m.above(bytes, -membershipDebt)
	}
	return m.above(bytes, reserve[p])
}

// AllowsUrgent is Allows for news that can't wait, such as a death or a drain.
func (m *Measuring) AllowsUrgent(bytes int) bool { return m.above(bytes, -urgentDebt) }

// above reports whether a number of bursts is left after bytes.
func (m *Measuring) above(bytes int, bursts float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	if m.tokens-float64(bytes) < bursts*m.burst {
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
