package observe

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Definition describes one metric.
type Definition struct {
	// Name includes the unit of the metric.
	Name string
	// Type is "counter", "gauge" or "histogram".
	Type string
	// Labels are the label names.
	Labels []string
	// Help is the description for operators, one sentence.
	Help string
	// Buckets are the upper bounds of a histogram, in the unit of the metric.
	Buckets []float64
}

// Upper bounds of the histograms in seconds. They include the SLOs for the time to first
// token (0.67) and for the gap between tokens (0.032).
var (
	waitBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.67, 1, 2.5, 5, 10, 30, 60}
	gapBuckets  = []float64{0.002, 0.004, 0.008, 0.016, 0.024, 0.032, 0.048, 0.064, 0.128, 0.256, 0.512, 1, 5}
)

var (
	requestsTotal            = Definition{"bluebell_requests_total", "counter", []string{"service", "tier", "kind"}, "Requests that ended, by error kind; kind is ok on success. Counted by the gate.", nil}
	inFlightRequests         = Definition{"bluebell_in_flight_requests", "gauge", nil, "Requests that are open in this process.", nil}
	queueSeconds             = Definition{"bluebell_queue_seconds", "histogram", []string{"tier"}, "Time of a request in the dispatcher's queue.", waitBuckets}
	firstTokenSeconds        = Definition{"bluebell_first_token_seconds", "histogram", []string{"tier"}, "Time from the arrival of a request to its first token.", waitBuckets}
	tokenGapSeconds          = Definition{"bluebell_token_gap_seconds", "histogram", []string{"tier"}, "Time between two tokens of one answer.", gapBuckets}
	tokensTotal              = Definition{"bluebell_tokens_total", "counter", []string{"tier"}, "Answer tokens that went to callers.", nil}
	dispatchesTotal          = Definition{"bluebell_dispatches_total", "counter", []string{"service"}, "Requests that the dispatcher sent to a target.", nil}
	cancelsTotal             = Definition{"bluebell_cancels_total", "counter", []string{"kind"}, "Cancels that the dispatcher sent to a target, by the error kind that caused them.", nil}
	claimsTotal              = Definition{"bluebell_claims_total", "counter", []string{"result"}, "Attempts to claim an idempotency key: won, joined (another request holds it), refused or unavailable.", nil}
	configVersion            = Definition{"bluebell_config_version", "gauge", nil, "Configuration version in force in this process; 0 before the first.", nil}
	peersUp                  = Definition{"bluebell_peers_up", "gauge", nil, "Peers that answer heartbeats.", nil}
	configLogReachable       = Definition{"bluebell_log_reachable", "gauge", nil, "1 while reading the log works, else 0.", nil}
	wastedPrefillTokensTotal = Definition{"bluebell_wasted_prefill_tokens_total", "counter", []string{"reason"}, "Prompt tokens computed for nothing: cancelled, late, lost, or recomputed although another fitting engine held them.", nil}
)

// Metrics of rollouts in EdgeMetrics.
var (
	rolloutPhase    = Definition{"bluebell_edge_rollout_phase", "gauge", []string{"service", "phase"}, "1 for the phase of the last rollout of a service, as far as the host knows.", nil}
	rolloutRequests = Definition{"bluebell_edge_rollout_requests", "gauge", []string{"service"}, "Requests of a service since the order of its last rollout, over all hosts.", nil}
	rolloutExposed  = Definition{"bluebell_edge_rollout_exposed_requests", "gauge", []string{"service"}, "Those of them that went to the new version.", nil}
	rolloutBad      = Definition{"bluebell_edge_rollout_bad_answers", "gauge", []string{"service"}, "Bad answers of the new version since the order.", nil}
)

// RolloutDefinitions returns the definitions of the metrics of rollouts.
func RolloutDefinitions() []Definition {
	return []Definition{rolloutPhase, rolloutRequests, rolloutExposed, rolloutBad}
}

// Metrics of what a host knows of the store, in EdgeMetrics.
var (
	streamEnd  = Definition{"bluebell_edge_stream_end", "gauge", []string{"stream"}, "Offset before which the host knows all records of a stream of the store; -1 before the first read. A lower one than at other hosts is late.", nil}
	streamKeys = Definition{"bluebell_edge_stream_keys", "gauge", []string{"stream"}, "Keys of a stream that have a value. Hosts with the same end and different numbers have lost records.", nil}
)

// hostCount is the number of hosts by which limits of the whole system are divided.
var hostCount = Definition{"bluebell_edge_host_count", "gauge", nil, "Hosts of the system; 0 while the host does not know their number, so that it may use only the smallest share of quotas and budgets.", nil}

// keyRequired tells whether the configuration in force asks for API keys.
var keyRequired = Definition{"bluebell_edge_key_required", "gauge", nil, "1 if the configuration in force requires an API key on routes that are not public; 0 if all routes are open, or there is no configuration.", nil}

// refusedPeers counts the refusals of hosts that do not belong to the fleet.
var refusedPeers = Definition{"bluebell_edge_refused_peers_total", "counter", []string{"way", "reason"}, "Greetings, messages and relayed requests of hosts that do not belong to this fleet, by way (greeting, relay, address) and reason (other_fleet, other_store, unlisted, other_host). Any is a sign of two deployments that share addresses.", nil}

// withheldAnswers counts answers that reach no caller, since their status would be an untrue promise.
var withheldAnswers = Definition{"bluebell_edge_withheld_answers_total", "counter", []string{"status"}, "Answers of targets that no caller got: their status tells callers that the request has not run, and the target does not state that. Any is a target that reports failures of its own with a status for refusals.", nil}

// causeTrials counts the trials of causes of crashes at this host.
var causeTrials = Definition{"bluebell_edge_crash_cause_trials_total", "counter", []string{"result"}, "Single requests that this host sent although they hold a cause of crashes, by result: survived releases the cause, lost confirms it, unused tells nothing.", nil}

// causeReleases counts the causes of crashes that were released at this host.
var causeReleases = Definition{"bluebell_edge_crash_cause_releases_total", "counter", []string{"by"}, "Causes of crashes whose requests this host sends again before they are a day old, by who has released them: trial (a target has answered a request that this host sent), evidence (other causes explain the crashes), host (another one told or wrote so) or operator.", nil}

// StreamDefinitions returns the definitions of the metrics of streams, of the hosts and the
// configuration that they hold, and of answers that are not passed on.
func StreamDefinitions() []Definition {
	return []Definition{streamEnd, streamKeys, hostCount, withheldAnswers, causeTrials, causeReleases, refusedPeers, keyRequired}
}

// Definitions returns the definitions of the metrics in Metrics, in the order of
// docs/metrics.md. Of the metrics in EdgeMetrics, only those of
// RolloutDefinitions and StreamDefinitions are listed there, too.
func Definitions() []Definition {
	return []Definition{
		requestsTotal, inFlightRequests, queueSeconds, firstTokenSeconds, tokenGapSeconds, tokensTotal,
		dispatchesTotal, cancelsTotal, claimsTotal, configVersion, peersUp, configLogReachable, wastedPrefillTokensTotal,
	}
}

// WriteMarkdown writes the metrics as the table of docs/metrics.md.
func WriteMarkdown(w io.Writer) error {
	if _, err := fmt.Fprint(w, markdownHeader); err != nil {
		return err
	}
	for _, d := range slices.Concat(Definitions(), RolloutDefinitions(), StreamDefinitions()) {
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", d.Name, d.Type, strings.Join(d.Labels, ", "), d.Help); err != nil {
			return err
		}
	}
	return nil
}

const markdownHeader = `# Metrics

Generated by ` + "`go generate ./internal/observe`" + `. Each process serves its metrics at
` + "`/metrics`" + ` of its metrics address in the Prometheus text format, next to those
of the Go runtime (` + "`go_*`" + `) and of the process (` + "`process_*`" + `: processor time,
memory, open files). The unit is the last word of a name before ` + "`_total`" + `.

| name | type | labels | meaning |
|---|---|---|---|
`
