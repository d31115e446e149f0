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

// hops are the spans that the trace of a streamed request must have.
var hops = []string{"request", "dispatch", "target"}

// printTraces writes every trace as an indented tree. The error names a hop
// that no single trace has together with the others.
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
		complete = complete || containsAll(names, hops)
	}
	if !complete {
		return fmt.Errorf("no trace has a span for each of the hops %s", strings.Join(hops, ", "))
	}
	return nil
}

func printSpan(w io.Writer, s tracetest.SpanStub, children map[trace.SpanID][]tracetest.SpanStub, depth int) map[string]bool {
	names := map[string]bool{s.Name: true}
	took := s.EndTime.Sub(s.StartTime).Round(10 * time.Microsecond)
	fmt.Fprintf(w, "%s%s %s\n", strings.Repeat("  ", depth+1), s.Name, took)
	below := children[s.SpanContext.SpanID()]
	sort.Slice(below, func(i, j int) bool { return below[i].StartTime.Before(below[j].StartTime) })
	for _, c := range below {
		for name := range printSpan(w, c, children, depth+1) {
			names[name] = true
		}
	}
	return names
}

func containsAll(names map[string]bool, want []string) bool {
	for _, n := range want {
		if !names[n] {
			return false
		}
	}
	return true
}
