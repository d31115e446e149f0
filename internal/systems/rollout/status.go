package rollout

// Status is the state of a rollout for operators and metrics.
type Status struct {
	Record
	// Percent is the share of new requests that the new version gets while shifting.
	Percent int
	// Stored is false while a change of the phase waits for the store.
	Stored bool
	// Old and New count the responses that were judged.
	OldAnswers, NewAnswers Counts
	// Score is the highest log-likelihood ratio of the sequential test.
	Score float64
}

// Counts counts responses and the bad ones among them.
type Counts struct {
	Answers int `json:"a,omitempty"`
	Bad     int `json:"b,omitempty"`
}
