package edgenode

// limitMemory sets whether requests are limited by the memory of targets.
func (p *Process) limitMemory(limit bool) {
	p.coordinator.LimitMemory, p.fallback.LimitMemory, p.client.LimitMemory = limit, limit, limit
}
