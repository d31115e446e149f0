package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

func (a *app) explainCommand(parser *flaggy.Parser) node {
	sub := attach(parser, "explain", "explain an error kind, or how a request ended; list all kinds without either")
	kind, request, logs := new(string), new(string), new(string)
	sub.AddPositionalValue(kind, "KIND", 1, false, "error kind of a refusal")
	sub.String(request, "r", "request", "ID of a request to follow through the logs")
	sub.String(logs, "l", "logs", "pattern of the log files of all hosts, with --request")
	return node{sub, func(context.Context) error {
		if *request != "" {
			return a.tell(*request, *logs)
		}
		return a.explain(errkind.Kind(*kind))
	}}
}

// explanation is the answer of one kind for programs.
type explanation struct {
	Kind              errkind.Kind `json:"kind"`
	Status            int          `json:"http_status"`
	Ran               errkind.Ran  `json:"ran"`
	RetryAfterSeconds float64      `json:"retry_after_s,omitempty"`
	Meaning           string       `json:"meaning"`
}

func (a *app) explain(kind errkind.Kind) error {
	kinds := []errkind.Kind{kind}
	if kind == errkind.None {
		kinds = allKinds()
	}
	if !kinds[0].Valid() {
		return usage("%q is no error kind; bluebellctl explain lists all", string(kind))
	}
	out := explanations(kinds)
	return a.print(out, func(w io.Writer) {
		row(w, "KIND", "HTTP", "RAN", "SEND AGAIN", "MEANING")
		for _, e := range out {
			row(w, e.Kind, e.Status, e.Ran, sendAgain(e), e.Meaning)
		}
	})
}

// allKinds returns the closed list in order of name.
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

func sendAgain(e explanation) string {
	if e.RetryAfterSeconds == 0 {
		return "no"
	}
	return fmt.Sprintf("after %g s", e.RetryAfterSeconds)
}
