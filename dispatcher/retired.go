package dispatcher

// Retired returns the number of removed targets that still have requests in
// flight or open connections.
func (d *Dispatcher) Retired() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.retired)
}
