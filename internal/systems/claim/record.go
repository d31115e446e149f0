package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// MaxBodyBytes is the maximum size of an answer body that is recorded with its
// outcome.
const MaxBodyBytes = 4 << 10

// Batch is the content of one log record: the entries that one process
// appended together. Releases are applied first, then claims, then outcomes.
type Batch struct {
	Writer      tables.HostID
	Incarnation int64
	// Number increases with every batch of the process in the shard.
	Number   uint64
	Releases []Release
	Claims   []Claim
	Outcomes []Outcome
}

// Claim is an attempt of a request to acquire a key.
type Claim struct {
	Key         Key
	Request     tables.RequestID
	Fingerprint tables.Fingerprint
	// Sequence identifies the attempt among those of the batch's writer in the
	// shard.
	Sequence uint64
	// TargetsDigest is the digest of the targets that Request may be sent to.
	TargetsDigest uint64
}

// Release voids one attempt of the batch's writer, whether its claim comes
// before or after the release in the stream. The writer never grants a released
// attempt.
type Release struct {
	Key      Key
	Sequence uint64
}

// Outcome is the result of a request that claimed a key. A later outcome replaces
// it if Kind leaves open whether the request ran.
type Outcome struct {
	Key     Key
	Request tables.RequestID
	Kind    errkind.Kind
	Detail  string
	Target  tables.TargetID
	Status  int
	Tokens  int
	// Body is the complete answer body if BodyKept is set.
	Body     []byte
	BodyKept bool
}

// attempt identifies one attempt of one process to claim a key: a hash of the
// writer, its incarnation and the attempt's sequence number.
type attempt uint64

func newAttempt(writer tables.HostID, incarnation int64, sequence uint64) attempt {
	text := make([]byte, 0, len(writer)+42)
	text = append(text, writer...)
	text = strconv.AppendInt(append(text, 0), incarnation, 36)
	text = strconv.AppendUint(append(text, 0), sequence, 36)
	return attempt(xxhash.Sum64(text))
}
