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

const base = `{
  "tiers": {"kiln": {"rank": 0, "first_token_ms": 500, "deadline_ms": 1000}},
  "generations": {"small": {"prefill_tokens_per_second": 8000, "step_ms": 12, "step_ms_per_sequence": 0.4}},
  "services": {"report": {"kind": "model", "model": "m", "tier": "kiln"},
    "desk": {"kind": "plain", "tier": "kiln", "operations": {"confirm": {"non_idempotent": true}}}},
  "targets": {"e1": {"address": "127.0.0.1:1", "failure_domain": "a", "generation": "small", "services": ["report"], "window_max": 4}},
  "customers": {"museum": {"share": 1, "key_sha256": {"a": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}}},
  "operators": {"eva": {"key_sha256": {"a": "60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752"}}}
}`

func baseDocument(t testing.TB) *config.Document {
	d, err := config.Parse([]byte(base))
	if err != nil {
		t.Fatal(err)
	}
	if err := config.Validate(d); err != nil {
		t.Fatal(err)
	}
	return d
}

// FuzzPatch: a patch is refused with its kind, or gives a document that
// validates, survives its text form and indexes its keys.
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
				t.Fatalf("refused with kind %q: %v", k, err)
			}
			return
		}
		text, err := config.Canonical(next)
		if err != nil {
			t.Fatal(err)
		}
		state, err := config.RestoreDocument(1, config.Digest(text), text)
		if err != nil {
			t.Fatalf("accepted document does not restore: %v\n%s", err, text)
		}
		if !bytes.Equal(state.Canonical(), text) {
			t.Fatalf("text changes when it is read back:\n%s\n%s", text, state.Canonical())
		}
		if _, err := auth.NewIndex(*next); err != nil {
			t.Fatalf("keys of an accepted document: %v", err)
		}
	})
}

// FuzzConfigRecord: any record of the configuration stream is folded alike by
// two hosts and never lowers the version.
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
		a, _ := state.Apply(record)
		b, _ := state.Apply(record)
		if a.Version < 1 || a.Next != state.Next+1 {
			t.Fatalf("version %d at offset %d after version 1 at %d", a.Version, a.Next, state.Next)
		}
		if a.Version != b.Version || a.Digest != b.Digest {
			t.Fatalf("two hosts disagree: version %d digest %x, version %d digest %x", a.Version, a.Digest, b.Version, b.Digest)
		}
	})
}

// FuzzKey: a key is refused as malformed, or is in one shard however it is
// written.
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
				t.Fatalf("refused with kind %q: %v", k, err)
			}
			return
		}
		if key.ID.Version() != 7 {
			t.Fatalf("key %q has version %d", text, key.ID.Version())
		}
		again, err := claim.ParseKey("museum", "report", key.ID.String())
		if err != nil || again != key {
			t.Fatalf("key %q reads back as %v: %v", text, again, err)
		}
		if n := claim.ShardOf("museum", "report", text, shards); n != key.Shard(shards) || n < 0 || n >= shards {
			t.Fatalf("key %q has shards %d and %d", text, n, key.Shard(shards))
		}
	})
}

// FuzzClaimRecord: a record of a claim stream is refused, or is folded alike by
// two hosts and written again as it was read.
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
		a, b := claim.NewTable(limits), claim.NewTable(limits)
		a.Apply(now, 0, now, batch)
		text, err := batch.Encode()
		if err != nil {
			t.Fatalf("a batch that was read cannot be written: %v", err)
		}
		again, err := claim.Decode(text)
		if err != nil {
			t.Fatalf("a batch that was written cannot be read: %v", err)
		}
		b.Apply(now, 0, now, again)
		if a.Len() != b.Len() {
			t.Fatalf("tables of %d and %d keys", a.Len(), b.Len())
		}
	})
}

// FuzzPeerMessage: a message of a peer is refused, or is read again as it was
// written; news about hosts never make a table fail.
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
		t.Fatalf("%T cannot be written: %v", message, err)
	}
	if err := json.Unmarshal(first, message); err != nil {
		t.Fatalf("%T cannot be read back: %v", message, err)
	}
	second, err := json.Marshal(message)
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("%T changes when it is read back (%v):\n%s\n%s", message, err, first, second)
	}
}

func checkHeartbeat(t *testing.T, hb peer.Heartbeat) {
	now := time.Unix(1_800_000_000, 0)
	table := membership.New(now, tables.Host{ID: "self", Domain: "a", Incarnation: 5}, false)
	table.RecordContact(now, membership.Contact{Host: hb.Host, Incarnation: hb.Incarnation, Sequence: hb.Sequence, Leaving: hb.Leaving, ConfigVersion: hb.ConfigVersion})
	table.ApplyReports(now, hb.Reports)
	table.Tick(now)
	for _, h := range table.Hosts() {
		if h.ID == "" {
			t.Fatalf("a host without a name after %+v", hb)
		}
	}
	if state := table.State(now, "self"); state == membership.Down {
		t.Fatalf("a peer's word makes a host believe that it is itself down: %+v", hb)
	}
}
