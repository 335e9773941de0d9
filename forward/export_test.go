package forward

// HeldBytes returns the bytes that are held for request bodies, plain responses and events.
func (h *Handler) HeldBytes() (uploads, plain, events int64) {
	used := func(m *responseMemory) int64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.used
	}
	return h.bodies.used.Load(), used(h.slow.plain), used(h.slow.events)
}
