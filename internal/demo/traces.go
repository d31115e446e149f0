package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
)

// requiredSpans are the names of the spans that the trace of a request must have.
var requiredSpans = []string{"request", "dispatch", "target"}

// printTraces writes every trace as an indented tree. It returns an error if no trace
// has all requiredSpans.
func printTraces(w io.Writer, spans tracetest.SpanStubs) error {
	children := make(map[trace.SpanID][]tracetest.SpanStub)
	known := make(map[trace.SpanID]bool)
	for _, s := range spans {
		known[s.SpanContext.SpanID()] = true
	}
	var roots []tracetest.SpanStub
	for _, s := range spans {
		if known[s.Parent.SpanID()] {
			children[s.Parent.SpanID()] = append(children[s.Parent.SpanID()], s)
			continue
		}
		roots = append(roots, s)
	}
	complete := false
	for _, r := range roots {
		names := printSpan(w, r, children, 0)
		complete = complete || containsAll(names, requiredSpans)
	}
	if !complete {
		return fmt.Errorf("no trace has a span for each of the hops %s", strings.Join(requiredSpans, ", "))
	}
	return nil
}

// printSpan writes a span and its descendants and returns the set of their names.
func printSpan(w io.Writer, s tracetest.SpanStub, children map[trace.SpanID][]tracetest.SpanStub, depth int) map[string]bool {
	names := map[string]bool{s.Name: true}
	duration := s.EndTime.Sub(s.StartTime).Round(10 * time.Microsecond)
	fmt.Fprintf(w, "%s%s %s\n", strings.Repeat("  ", depth+1), s.Name, duration)
	childSpans := children[s.SpanContext.SpanID()]
	sort.Slice(childSpans, func(i, j int) bool { return childSpans[i].StartTime.Before(childSpans[j].StartTime) })
	for _, c := range childSpans {
		for name := range printSpan(w, c, children, depth+1) {
			names[name] = true
		}
	}
	return names
}

// containsAll reports whether names has all required names.
func containsAll(names map[string]bool, required []string) bool {
	for _, n := range required {
		if !names[n] {
			return false
		}
	}
	return true
}
