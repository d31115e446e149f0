// Package predict learns answer lengths by customer, service and prompt size.
package predict

import "github.com/bluebellseam/bluebellseam/internal/tables"

// Lengths predicts answer lengths in tokens.
type Lengths struct{}

// NewLengths returns a predictor without observations.
func NewLengths() *Lengths { return &Lengths{} }

// Predict returns the expected answer length of r in tokens.
func (l *Lengths) Predict(r *tables.Request) int { return r.MaxTokens }

// Observe records the answer length of a finished request.
func (l *Lengths) Observe(_ *tables.Request, _ int) {}
