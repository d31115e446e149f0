package allocation

import "math"

const (
	// minOutputSamples is the number of finished requests from which the output of others is
	// predicted. Before, each counts with its maximum.
	minOutputSamples = 50
	// maxOutputSamples bounds the weight of earlier requests, so that the prediction follows
	// a change of what callers ask for.
	maxOutputSamples = 2000
	// spreadFactor widens the measured spread by its error at minOutputSamples, two standard
	// deviations.
	spreadFactor = 1.2
)

// logSpread measures the mean and the variance of the natural logarithm of a positive
// quantity. The zero value has no samples.
type logSpread struct {
	Samples  float64 `json:"n"`
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

func (l *logSpread) observe(x float64) {
	l.Samples = min(l.Samples+1, maxOutputSamples)
	weight := 1 / l.Samples
	difference := math.Log(x) - l.Mean
	l.Mean += weight * difference
	l.Variance += weight * (difference*difference*(1-weight) - l.Variance)
}

func (l *logSpread) known() bool { return l.Samples >= minOutputSamples }

// deviation returns the standard deviation that predictions use.
func (l *logSpread) deviation() float64 { return spreadFactor * math.Sqrt(max(l.Variance, 0)) }

// OutputEstimate is what is known of the output of the requests of a service.
type OutputEstimate struct {
	// Tokens is the number of output tokens, and Ratio that number divided by the hint.
	Tokens logSpread `json:"t"`
	Ratio  logSpread `json:"r"`
}

// observe records the output of a finished request.
func (o *OutputEstimate) observe(c TokenCounts, tokens float64) {
	if tokens <= 0 {
		return
	}
	o.Tokens.observe(tokens)
	if c.Hint > 0 {
		o.Ratio.observe(tokens / float64(c.Hint))
	}
}

// predict returns the moments of the output of a request. limit bounds the output if the
// caller states no maximum. A hint is used if it narrows the prediction.
func (o *OutputEstimate) predict(c TokenCounts, limit float64) demand {
	most := limit
	if c.MaxOutput > 0 {
		most = min(most, float64(c.MaxOutput))
	}
	switch hinted := c.Hint > 0 && o.Ratio.known(); {
	case hinted && (!o.Tokens.known() || o.Ratio.Variance < o.Tokens.Variance):
		return clippedLogNormal(math.Log(float64(c.Hint))+o.Ratio.Mean, o.Ratio.deviation(), most)
	case o.Tokens.known():
		return clippedLogNormal(o.Tokens.Mean, o.Tokens.deviation(), most)
	default:
		return demand{mean: most, most: most}
	}
}

// clippedLogNormal returns the moments of min(X, most), where the logarithm of X is normally
// distributed with the given mean and standard deviation.
func clippedLogNormal(mean, deviation, most float64) demand {
	if deviation < 1e-6 {
		x := min(math.Exp(mean), most)
		return demand{mean: x, most: most}
	}
	moment := func(k float64) float64 {
		inside := math.Exp(k*mean+k*k*deviation*deviation/2) * normalBelow((math.Log(most)-mean-k*deviation*deviation)/deviation)
		return inside + math.Pow(most, k)*(1-normalBelow((math.Log(most)-mean)/deviation))
	}
	first, second, third := moment(1), moment(2), moment(3)
	return demand{
		mean: first, variance: max(second-first*first, 0),
		third: max(third-3*first*second+2*first*first*first, 0), most: most,
	}
}

// normalBelow returns the probability that a standard normal variable is below x.
func normalBelow(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

func (s *service) exportOutput() *OutputEstimate {
	if s.memory.Tokens <= 0 {
		return nil
	}
	out := s.output
	return &out
}

// importOutput takes up the estimate of another scheduler if this one has none.
func (s *service) importOutput(shared *OutputEstimate) {
	if shared != nil && !s.output.Tokens.known() {
		s.output = *shared
	}
}

// RecordOutput records the number of events that a target has sent for a request that
// succeeded. It must be called before the slot of the grant is released.
func (sched *Scheduler) RecordOutput(id ID, events int) {
	g := sched.grants[id]
	if g == nil {
		return
	}
	s := sched.service(g.request.Service)
	perEvent := s.memory.TokensPerEvent
	if perEvent <= 0 {
		perEvent = tokensPerEvent
	}
	s.output.observe(g.request.Tokens, float64(events*perEvent))
}
