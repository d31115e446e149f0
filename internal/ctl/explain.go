package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

func (a *app) explainCommand(parser *flaggy.Parser) leafCommand {
	sub := attach(parser, "explain", "explain an error kind or how a request ended; without arguments, list all error kinds")
	kind, request, logs := new(string), new(string), new(string)
	sub.AddPositionalValue(kind, "KIND", 1, false, "error kind, as in an error response")
	sub.String(request, "r", "request", "ID of a request to find in the log files")
	sub.String(logs, "l", "logs", "glob pattern of the log files to search for --request")
	return leafCommand{sub, func(context.Context) error {
		if *request != "" {
			return a.explainRequest(*request, *logs)
		}
		return a.explainKind(errkind.Kind(*kind))
	}}
}

// explanation describes one error kind.
type explanation struct {
	Kind              errkind.Kind     `json:"kind"`
	Status            int              `json:"http_status"`
	Ran               errkind.RanState `json:"ran"`
	RetryAfterSeconds float64          `json:"retry_after_s,omitempty"`
	Meaning           string           `json:"meaning"`
}

func (a *app) explainKind(kind errkind.Kind) error {
	kinds := []errkind.Kind{kind}
	if kind == errkind.None {
		kinds = allKinds()
	}
	if !kinds[0].Valid() {
		return usageError("%q is not an error kind; bluebellctl explain lists all", string(kind))
	}
	out := explanations(kinds)
	return a.print(out, func(w io.Writer) {
		writeRow(w, "KIND", "HTTP", "RAN", "RETRY", "MEANING")
		for _, e := range out {
			writeRow(w, e.Kind, e.Status, e.Ran, retryAdvice(e), e.Meaning)
		}
	})
}

// allKinds returns all error kinds, sorted by name.
func allKinds() []errkind.Kind {
	kinds := errkind.Kinds()
	slices.Sort(kinds)
	return kinds
}

func explanations(kinds []errkind.Kind) []explanation {
	out := make([]explanation, 0, len(kinds))
	for _, k := range kinds {
		answer := k.Answer()
		out = append(out, explanation{k, answer.Status, answer.Ran, answer.RetryAfter.Seconds(), answer.Explanation})
	}
	return out
}

func retryAdvice(e explanation) string {
	if e.RetryAfterSeconds == 0 {
		return "no"
	}
	return fmt.Sprintf("after %g s", e.RetryAfterSeconds)
}
