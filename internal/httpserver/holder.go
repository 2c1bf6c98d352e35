package httpserver

// MayClose implements callers.Holder.
func (c *conn) MayClose() bool {
	if c.writeBlocked.Load() {
		return true
	}
	open := c.openCount()
	body := c.body.Load()
	return open == 0 || (open == 1 && body != nil && body.isReading())
}

// Abort implements callers.Holder. A request that has come meanwhile is either not accepted or
// keeps the connection.
func (c *conn) Abort() bool {
	if !c.writeBlocked.Load() && !c.closeIfOpen(0) {
		body := c.body.Load()
		if body == nil || !body.isReading() || !c.closeIfOpen(1) || !body.end() {
			return false
		}
	}
	c.abort()
	return true
}

// openCount returns the number of open requests.
func (c *conn) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRequests
}

// closeIfOpen marks the connection as closing if so many requests are open, and reports whether
// they are.
func (c *conn) closeIfOpen(requests int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || c.openRequests == requests
	return c.openRequests == requests
}

// Caller implements callers.Holder.
func (c *conn) Caller() string { return c.raw.RemoteAddr().String() }
