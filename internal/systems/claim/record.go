package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// MaxBodyBytes is the size of the largest answer that is recorded with its
// outcome.
const MaxBodyBytes = 4 << 10

// Batch is one log record: the entries that one process appended together, in
// the order in which they are folded.
type Batch struct {
	Writer      tables.HostID
	Incarnation int64
	// Number grows with every batch of the process in the shard.
	Number   uint64
	Releases []Release
	Claims   []Claim
	Outcomes []Outcome
}

// Claim asks for a key.
type Claim struct {
	Key         Key
	Request     tables.RequestID
	Fingerprint tables.Fingerprint
	// Sequence numbers the attempts of the batch's writer in the shard.
	Sequence uint64
	// TargetsDigest is the digest of the targets that Request may go to.
	TargetsDigest uint64
}

// Release makes one attempt of the batch's writer void, wherever its claim
// is or will be in the stream. The writer never grants a released attempt.
type Release struct {
	Key      Key
	Sequence uint64
}

// Outcome is the end of a request that was claimed with a key.
type Outcome struct {
	Key     Key
	Request tables.RequestID
	Kind    errkind.Kind
	Detail  string
	Target  tables.TargetID
	Status  int
	Tokens  int
	// Body is the whole answer when BodyKept is set.
	Body     []byte
	BodyKept bool
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
