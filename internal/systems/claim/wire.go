package claim

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// A record consists of the header length as a varint, the header as JSON, and
// the entries with fixed-size big-endian fields. An outcome is followed by its
// detail and body. Entries refer to names by their index in the header's list,
// which keeps a claim at 62 bytes.

// header holds what all entries of a record share.
type header struct {
	Writer      tables.HostID `json:"w"`
	Incarnation int64         `json:"i"`
	Number      uint64        `json:"n"`
	Names       []string      `json:"s"`
	Releases    int           `json:"r,omitempty"`
	Claims      int           `json:"c,omitempty"`
	Outcomes    int           `json:"o,omitempty"`
}

type wireKey struct {
	Customer, Service uint16
	ID                uuid.UUID
}

type wireRequest struct {
	Host uint16
	ID   uuid.UUID
}

type wireClaim struct {
	Key           wireKey
	Request       wireRequest
	Fingerprint   uint64
	Sequence      uint64
	TargetsDigest uint64
}

type wireRelease struct {
	Key      wireKey
	Sequence uint64
}

type wireOutcome struct {
	Key        wireKey
	Request    wireRequest
	Kind       uint16
	Target     uint16
	Status     uint16
	Tokens     uint32
	BodyKept   bool
	DetailSize uint16
	BodySize   uint16
}

// maxDetailBytes is the maximum length of a recorded detail; longer ones are cut.
const maxDetailBytes = 1 << 10

// errTruncated is wrapped by errors for records that are shorter than their
// header states.
var errTruncated = errors.New("record ends early")

// Encode returns the log record for b.
func (b Batch) Encode() ([]byte, error) {
	e := encoder{names: newInterner[string]()}
	for _, r := range b.Releases {
		e.put(wireRelease{e.key(r.Key), r.Sequence})
	}
	for _, c := range b.Claims {
		e.put(wireClaim{e.key(c.Key), e.request(c.Request), uint64(c.Fingerprint), c.Sequence, c.TargetsDigest})
	}
	for _, o := range b.Outcomes {
		e.outcome(o)
	}
	if e.err != nil {
		return nil, fmt.Errorf("batch %d of %q: %w", b.Number, b.Writer, e.err)
	}
	encodedHeader, err := json.Marshal(header{
		Writer: b.Writer, Incarnation: b.Incarnation, Number: b.Number, Names: e.names.values,
		Releases: len(b.Releases), Claims: len(b.Claims), Outcomes: len(b.Outcomes),
	})
	if err != nil {
		return nil, fmt.Errorf("batch %d of %q: %w", b.Number, b.Writer, err)
	}
	out := binary.AppendUvarint(make([]byte, 0, len(encodedHeader)+len(e.body)+binary.MaxVarintLen32), uint64(len(encodedHeader)))
	return append(append(out, encodedHeader...), e.body...), nil
}

type encoder struct {
	names interner[string]
	body  []byte
	err   error
}

func (e *encoder) put(v any) {
	var err error
	if e.body, err = binary.Append(e.body, binary.BigEndian, v); err != nil {
		e.err = err
	}
}

func (e *encoder) name(s string) uint16 {
	n := e.names.intern(s)
	if n > 1<<16-1 {
		e.err = fmt.Errorf("%d names exceed a record", n)
	}
	return uint16(n)
}

func (e *encoder) key(k Key) wireKey {
	return wireKey{e.name(string(k.Customer)), e.name(string(k.Service)), k.ID}
}

func (e *encoder) request(id tables.RequestID) wireRequest {
	host, parsed, err := splitRequest(id)
	if err != nil {
		e.err = err
	}
	return wireRequest{e.name(string(host)), parsed}
}

func (e *encoder) outcome(o Outcome) {
	detail := o.Detail[:min(len(o.Detail), maxDetailBytes)]
	e.put(wireOutcome{
		Key: e.key(o.Key), Request: e.request(o.Request),
		Kind: e.name(string(o.Kind)), Target: e.name(string(o.Target)),
		Status: uint16(o.Status), Tokens: uint32(o.Tokens), BodyKept: o.BodyKept,
		DetailSize: uint16(len(detail)), BodySize: uint16(len(o.Body)),
	})
	e.body = append(append(e.body, detail...), o.Body...)
}

// Decode parses a log record. Body slices of the result share memory with data.
func Decode(data []byte) (Batch, error) {
	size, n := binary.Uvarint(data)
	if n <= 0 || uint64(len(data)-n) < size {
		return Batch{}, fmt.Errorf("claim record of %d bytes: %w", len(data), errTruncated)
	}
	var h header
	if err := json.Unmarshal(data[n:n+int(size)], &h); err != nil {
		return Batch{}, fmt.Errorf("claim record of %d bytes: %w", len(data), err)
	}
	d := decoder{names: h.Names, body: data[n+int(size):]}
	b := Batch{Writer: h.Writer, Incarnation: h.Incarnation, Number: h.Number}
	for range h.Releases {
		var w wireRelease
		d.get(&w)
		b.Releases = append(b.Releases, Release{Key: d.key(w.Key), Sequence: w.Sequence})
		if d.err != nil {
			break
		}
	}
	for i := 0; i < h.Claims && d.err == nil; i++ {
		b.Claims = append(b.Claims, d.claim())
	}
	for i := 0; i < h.Outcomes && d.err == nil; i++ {
		b.Outcomes = append(b.Outcomes, d.outcome())
	}
	if d.err != nil {
		return Batch{}, fmt.Errorf("batch %d of %q: %w", h.Number, h.Writer, d.err)
	}
	return b, nil
}

type decoder struct {
	names []string
	body  []byte
	err   error
}

func (d *decoder) get(v any) {
	if d.err != nil {
		return
	}
	n, err := binary.Decode(d.body, binary.BigEndian, v)
	if err != nil {
		d.err = errTruncated
		return
	}
	d.body = d.body[n:]
}

func (d *decoder) bytes(n int) []byte {
	if d.err == nil && len(d.body) < n {
		d.err = errTruncated
	}
	if d.err != nil || n == 0 {
		return nil
	}
	out := d.body[:n]
	d.body = d.body[n:]
	return out
}

func (d *decoder) name(n uint16) string {
	if int(n) >= len(d.names) {
		d.err = fmt.Errorf("name %d of %d", n, len(d.names))
		return ""
	}
	return d.names[n]
}

func (d *decoder) key(w wireKey) Key {
	return Key{Customer: tables.CustomerID(d.name(w.Customer)), Service: tables.ServiceID(d.name(w.Service)), ID: w.ID}
}

func (d *decoder) request(w wireRequest) tables.RequestID {
	return tables.NewRequestID(tables.HostID(d.name(w.Host)), w.ID)
}

func (d *decoder) claim() Claim {
	var w wireClaim
	d.get(&w)
	return Claim{
		Key: d.key(w.Key), Request: d.request(w.Request),
		Fingerprint: tables.Fingerprint(w.Fingerprint), Sequence: w.Sequence, TargetsDigest: w.TargetsDigest,
	}
}

func (d *decoder) outcome() Outcome {
	var w wireOutcome
	d.get(&w)
	return Outcome{
		Key: d.key(w.Key), Request: d.request(w.Request),
		Kind: errkind.Kind(d.name(w.Kind)), Target: tables.TargetID(d.name(w.Target)),
		Status: int(w.Status), Tokens: int(w.Tokens), BodyKept: w.BodyKept,
		Detail: string(d.bytes(int(w.DetailSize))), Body: d.bytes(int(w.BodySize)),
	}
}

// splitRequest splits a request ID into its home and its UUID.
func splitRequest(id tables.RequestID) (tables.HostID, uuid.UUID, error) {
	host, err := id.Home()
	if err != nil {
		return "", uuid.UUID{}, err
	}
	parsed, err := uuid.Parse(string(id)[len(host)+1:])
	return host, parsed, err
}
