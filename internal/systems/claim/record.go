package claim

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// MaxBodyBytes is the size of the largest answer that is recorded with its
// outcome.
const MaxBodyBytes = 4 << 10

// Batch is one log record: the entries that one process appended together.
type Batch struct {
	Writer      tables.HostID `json:"w"`
	Incarnation int64         `json:"i"`
	// Number grows with every batch of the process in the shard.
	Number  uint64  `json:"n"`
	Entries []Entry `json:"e"`
}

// Entry is one of its fields.
type Entry struct {
	Claim   *Claim   `json:"c,omitempty"`
	Release *Release `json:"r,omitempty"`
	Outcome *Outcome `json:"o,omitempty"`
}

// Claim asks for a key.
type Claim struct {
	Key         Key                `json:"k"`
	Request     tables.RequestID   `json:"q"`
	Fingerprint tables.Fingerprint `json:"f"`
	// Sequence numbers the attempts of the batch's writer in the shard.
	Sequence uint64 `json:"s"`
	// TargetsDigest is the digest of the targets that Request may go to.
	TargetsDigest uint64 `json:"d,omitempty"`
}

// Release makes one attempt of the batch's writer void, wherever its claim
// is or will be in the stream. The writer never grants a released attempt.
type Release struct {
	Key      Key    `json:"k"`
	Sequence uint64 `json:"s"`
}

// Outcome is the end of a request that was claimed with a key.
type Outcome struct {
	Key     Key              `json:"k"`
	Request tables.RequestID `json:"q"`
	Kind    errkind.Kind     `json:"x,omitempty"`
	Detail  string           `json:"m,omitempty"`
	Target  tables.TargetID  `json:"t,omitempty"`
	Status  int              `json:"u,omitempty"`
	Tokens  int              `json:"l,omitempty"`
	Body    []byte           `json:"b,omitempty"`
	// BodyKept is set when Body is the whole answer.
	BodyKept bool `json:"p,omitempty"`
}

// Encode returns the log record of b.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("batch %d of %q: %w", b.Number, b.Writer, err)
	}
	return data, nil
}

// Decode returns the batch in a log record.
func Decode(data []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return Batch{}, fmt.Errorf("claim record of %d bytes: %w", len(data), err)
	}
	return b, nil
}

// attempt identifies one try of one process to claim a key.
type attempt uint64

func newAttempt(writer tables.HostID, incarnation int64, sequence uint64) attempt {
	text := make([]byte, 0, len(writer)+42)
	text = append(text, writer...)
	text = strconv.AppendInt(append(text, 0), incarnation, 36)
	text = strconv.AppendUint(append(text, 0), sequence, 36)
	return attempt(xxhash.Sum64(text))
}
