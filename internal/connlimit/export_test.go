package connlimit

// Reading returns the number of connections of which a part of a header has been read.
func (l *Limiter) Reading() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		c.mu.Lock()
		if c.phase == reading {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
