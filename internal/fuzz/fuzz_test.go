package fuzz

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/auth"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/membership"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const baseConfig = `{
  "tiers": {"kiln": {"rank": 0, "first_token_ms": 500, "deadline_ms": 1000}},
  "generations": {"small": {"prefill_tokens_per_second": 8000, "step_ms": 12, "step_ms_per_sequence": 0.4}},
  "services": {"report": {"kind": "model", "model": "m", "tier": "kiln"},
    "desk": {"kind": "plain", "tier": "kiln", "operations": {"confirm": {"non_idempotent": true}}}},
  "targets": {"e1": {"address": "127.0.0.1:1", "failure_domain": "a", "generation": "small", "services": ["report"], "window_max": 4}},
  "customers": {"museum": {"share": 1, "key_sha256": {"a": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}}},
  "operators": {"eva": {"key_sha256": {"a": "60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752"}}}
}`

func baseDocument(t testing.TB) *config.Document {
	d, err := config.Parse([]byte(baseConfig))
	if err != nil {
		t.Fatal(err)
	}
	if err := config.Validate(d); err != nil {
		t.Fatal(err)
	}
	return d
}

// FuzzPatch checks that a configuration patch is either rejected as invalid or
// malformed, or produces a valid document. The document must be unchanged after
// a round trip through its canonical text, and auth.NewIndex must accept the keys of its
// customers and operators.
func FuzzPatch(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"targets":{"e1":null}}`, `{"targets":{"e1":{"window_min":9}}}`, `{"tiers":null}`, `[]`, `null`, `{"x":1}`,
		`{"customers":{"museum":{"key_sha256":{"b":"AB"}}}}`, `{"services":{"report":{"tier":"\u0000"}}}`, `{"limits":{"max_queued_per_target":1e309}}`,
		`{"customers":{"b":{"share":1,"key_sha256":{"a":"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}}}}`,
		`{"targets":{"e1":{"address":"[::1%25x]:1"}}}`, `{"targets":{"e1":{"address":"[::ffff:127.0.0.1]:1"}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, merge []byte) {
		before := baseDocument(t)
		next, err := config.ApplyMerge(before, merge)
		if err != nil {
			if k := errkind.Of(err); k != errkind.InvalidConfig && k != errkind.MalformedRequest {
				t.Fatalf("rejected with unexpected kind %q: %v", k, err)
			}
			return
		}
		text, err := config.Canonical(next)
		if err != nil {
			t.Fatal(err)
		}
		state, err := config.RestoreDocument(1, config.Digest(text), text)
		if err != nil {
			t.Fatalf("accepted document cannot be restored: %v\n%s", err, text)
		}
		if !bytes.Equal(state.Canonical(), text) {
			t.Fatalf("canonical text changes in a round trip:\n%s\n%s", text, state.Canonical())
		}
		if _, err := auth.NewIndex(*next); err != nil {
			t.Fatalf("index of the keys of an accepted document: %v", err)
		}
	})
}

// FuzzConfigRecord checks that applying a record of the configuration stream to
// the same state twice yields the same version and digest, advances the offset
// by one and never lowers the version.
func FuzzConfigRecord(f *testing.F) {
	for _, seed := range []string{
		`{"patch":{"id":"0198c0f0-0000-7000-8000-000000000000","base":1,"merge":{}}}`, `{"patch":{"base":1}}`, `{"snapshot":{"version":9}}`,
		`{"snapshot":{"version":2,"recovery":true,"document":{},"digest":1}}`, `{"snapshot":{"next":-5,"version":1}}`, `{}`, `x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := config.Canonical(baseDocument(t))
		if err != nil {
			t.Fatal(err)
		}
		state, err := config.RestoreDocument(1, config.Digest(text), text)
		if err != nil {
			t.Fatal(err)
		}
		record := ports.Record{Offset: state.Next, Data: data, Time: time.Unix(1, 0)}
		first, _ := state.Apply(record)
		second, _ := state.Apply(record)
		if first.Version < 1 || first.Next != state.Next+1 {
			t.Fatalf("version %d at offset %d after version 1 at %d", first.Version, first.Next, state.Next)
		}
		if first.Version != second.Version || first.Digest != second.Digest {
			t.Fatalf("applying a record twice differs: version %d digest %x, version %d digest %x", first.Version, first.Digest, second.Version, second.Digest)
		}
	})
}

// FuzzKey checks that an idempotency key is either rejected as malformed or is a
// version 7 UUID. The accepted notation must map to the same shard as the
// canonical one.
func FuzzKey(f *testing.F) {
	for _, seed := range []string{
		"0198c0f0-0000-7000-8000-000000000000", "0198C0F0-0000-7000-8000-000000000000", "{0198c0f0-0000-7000-8000-000000000000}",
		"urn:uuid:0198c0f0-0000-7000-8000-000000000000", "0198c0f0000070008000000000000000", "0198c0f0-0000-4000-8000-000000000000", "", "\x00",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		const shards = 64
		key, err := claim.ParseKey("museum", "report", text)
		if err != nil {
			if k := errkind.Of(err); k != errkind.KeyMalformed {
				t.Fatalf("rejected with unexpected kind %q: %v", k, err)
			}
			return
		}
		if key.ID.Version() != 7 {
			t.Fatalf("accepted key %q has UUID version %d", text, key.ID.Version())
		}
		reparsed, err := claim.ParseKey("museum", "report", key.ID.String())
		if err != nil || reparsed != key {
			t.Fatalf("key %q becomes %v in a round trip: %v", text, reparsed, err)
		}
		if n := claim.ShardOf("museum", "report", text, shards); n != key.Shard(shards) || n < 0 || n >= shards {
			t.Fatalf("key %q maps to shards %d and %d", text, n, key.Shard(shards))
		}
	})
}

// FuzzClaimRecord checks that a record of a claim stream is either rejected, or
// can be encoded and decoded again. The decoded and the re-decoded batch must
// give tables with the same number of keys.
func FuzzClaimRecord(f *testing.F) {
	for _, seed := range []string{`{}`, `x`, `{"w":"h","i":1,"n":1}`, `[]`, `{"w":"h","i":1,"n":1,"e":[{}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := claim.Decode(data)
		if err != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		limits := claim.Limits{Window: time.Hour, Skew: time.Minute}
		original, copied := claim.NewTable(limits), claim.NewTable(limits)
		original.Apply(now, 0, now, batch)
		encoded, err := batch.Encode()
		if err != nil {
			t.Fatalf("a decoded batch cannot be encoded: %v", err)
		}
		redecoded, err := claim.Decode(encoded)
		if err != nil {
			t.Fatalf("an encoded batch cannot be decoded: %v", err)
		}
		copied.Apply(now, 0, now, redecoded)
		if original.Len() != copied.Len() {
			t.Fatalf("tables have %d and %d keys", original.Len(), copied.Len())
		}
	})
}

// FuzzPeerMessage checks that a peer message is either rejected or unchanged by a
// JSON round trip. It also checks that the membership table handles any
// heartbeat that can be decoded.
func FuzzPeerMessage(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"host":"a","incarnation":1,"reports":[{"host":"a","inc":9,"down_by":"b"}]}`, `{"id":"a.b","chunk":{"offset":-1,"tokens":-9}}`,
		`{"pool":[{"target":"e1","free":-1,"queued":[1],"slowdown":1e308}]}`, `{"age":-1,"due_in":9223372036854775807}`, `{"entries":[{}]}`, `null`, `[]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []any{
			&peer.Hello{}, &peer.Submit{}, &peer.SubmitResult{}, &peer.Started{}, &peer.Chunk{}, &peer.Finished{}, &peer.CancelRequest{},
			&peer.CancelResult{}, &peer.Attach{}, &peer.Lookup{}, &peer.Outcome{}, &peer.Acquire{}, &peer.AcquireResult{}, &peer.Record{},
			&peer.ConfigRequest{}, &peer.ConfigState{}, &peer.Share{},
		} {
			checkMessage(t, data, message)
		}
		var hb peer.Heartbeat
		if json.Unmarshal(data, &hb) != nil {
			return
		}
		checkHeartbeat(t, hb)
	})
}

// checkMessage decodes data into message and fails the test if message changes
// in a JSON round trip. Data that cannot be decoded, and numbers that JSON cannot
// represent, are accepted.
func checkMessage(t *testing.T, data []byte, message any) {
	if json.Unmarshal(data, message) != nil {
		return
	}
	first, err := json.Marshal(message)
	if err != nil {
		var unsupported *json.UnsupportedValueError
		if errors.As(err, &unsupported) {
			return
		}
		t.Fatalf("%T cannot be encoded: %v", message, err)
	}
	if err := json.Unmarshal(first, message); err != nil {
		t.Fatalf("%T cannot be decoded again: %v", message, err)
	}
	second, err := json.Marshal(message)
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("%T changes in a round trip (%v):\n%s\n%s", message, err, first, second)
	}
}

// checkHeartbeat applies a heartbeat to a membership table. It fails the test if
// the table then has a host without an ID or regards the local host as down.
func checkHeartbeat(t *testing.T, hb peer.Heartbeat) {
	now := time.Unix(1_800_000_000, 0)
	table := membership.New(now, tables.Host{ID: "self", Domain: "a", Incarnation: 5}, false)
	table.RecordContact(now, membership.Contact{Host: hb.Host, Incarnation: hb.Incarnation, Sequence: hb.Sequence, Leaving: hb.Leaving, ConfigVersion: hb.ConfigVersion})
	table.ApplyReports(now, hb.Reports)
	table.Tick(now)
	for _, h := range table.Hosts() {
		if h.ID == "" {
			t.Fatalf("the table has a host without an ID after %+v", hb)
		}
	}
	if state := table.State(now, "self"); state == membership.Down {
		t.Fatalf("a heartbeat from a peer makes the local host regard itself as down: %+v", hb)
	}
}
