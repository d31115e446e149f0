package orders

// takeWeight returns the weight-store lease of an engine's load, and chooses a
// free one when it has none. It is empty when all are in use here.
func (c *Controller) takeWeight(j job) string {
	doc := c.opts.Config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.engine.weight != "" || doc == nil {
		return j.engine.weight
	}
	for slot := range doc.Limits.WeightLoads() {
		name := weightName(slot)
		if !c.weights[name] && c.leases.available(name) {
			c.weights[name] = true
			j.engine.weight = name
			return name
		}
	}
	return ""
}

// freeWeight gives the weight-store lease of an engine back once its load has
// ended; the next tick releases it.
func (c *Controller) freeWeight(j job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.engine.weight != "" {
		delete(c.weights, j.engine.weight)
		j.engine.weight = ""
	}
}
