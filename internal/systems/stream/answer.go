// Package stream puts one streamed answer together from parts that may come
// twice, late, with gaps, and by several ways. The parts of one dispatch agree in
// their text and not always in where they are cut.
package stream

import (
	"bytes"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Added tells what became of a part.
type Added int

// The fates of a part.
const (
	// Next: the part continues the answer.
	Next Added = iota
	// Repeated: the answer has the beginning of the part already. It is dropped.
	Repeated
	// Gap: a part before it is missing. It is dropped.
	Gap
)

// Answer is the answer so far. The zero value is an empty answer.
type Answer struct {
	chunks []target.Chunk
	from   int
	tokens int
}

// After returns the answer of which text is the part before a token offset.
// Without the text the answer begins at the offset and is never whole.
func After(offset int, text string) Answer {
	if offset == 0 {
		return Answer{}
	}
	if text == "" {
		return Answer{from: offset, tokens: offset}
	}
	return Answer{chunks: []target.Chunk{{Text: text, Tokens: offset}}, tokens: offset}
}

// Add takes c when it continues the answer.
func (a *Answer) Add(c target.Chunk) Added {
	switch {
	case c.Offset < a.tokens:
		return Repeated
	case c.Offset > a.tokens:
		return Gap
	}
	a.chunks = append(a.chunks, c)
	a.tokens += c.Tokens
	return Next
}

// Tokens counts the tokens up to the end of the last part.
func (a *Answer) Tokens() int { return a.tokens }

// FromStart reports whether the beginning of the answer is known.
func (a *Answer) FromStart() bool { return a.from == 0 }

// Chunks returns the parts in order; the caller must not change them.
func (a *Answer) Chunks() []target.Chunk { return a.chunks }

// EndsWith reports whether c is the last part of the answer and all before it
// is here.
func (a *Answer) EndsWith(c target.Chunk) bool {
	return c.Final && c.Offset+c.Tokens == a.tokens
}

// Text joins the parts.
func (a *Answer) Text() []byte {
	var b []byte
	for _, c := range a.chunks {
		b = append(b, c.Text...)
	}
	return b
}

// Fill adds what is missing of a whole answer that was recorded elsewhere. It
// reports whether the answer is whole now; it is left as it is when it differs.
func (a *Answer) Fill(whole []byte, tokens int) bool {
	rest, ok := bytes.CutPrefix(whole, a.Text())
	if !ok || (len(rest) > 0) != (tokens > a.tokens) {
		return false
	}
	if len(rest) > 0 {
		a.Add(target.Chunk{Offset: a.tokens, Text: string(rest), Tokens: tokens - a.tokens, Final: true})
	}
	return tokens == a.tokens
}

// Rest returns the parts that follow a token offset, for a reader that has the
// text before it. It reports false when they can't be told or the text is not
// that of this answer.
func (a *Answer) Rest(offset int, text string) ([]target.Chunk, bool) {
	if offset < a.from {
		return nil, false
	}
	if !a.FromStart() || offset == 0 || offset > a.tokens || text == "" {
		return a.following(offset)
	}
	var all []byte
	for i, c := range a.chunks {
		all = append(all, c.Text...)
		end := c.Offset + c.Tokens
		if end < offset {
			continue
		}
		tail, same := bytes.CutPrefix(all, []byte(text))
		if !same || end == offset && len(tail) > 0 {
			return nil, false
		}
		if end == offset {
			return a.chunks[i+1:], true
		}
		first := target.Chunk{Offset: offset, Text: string(tail), Tokens: end - offset, Final: c.Final}
		return append([]target.Chunk{first}, a.chunks[i+1:]...), true
	}
	return nil, false
}

// following returns the parts from a token offset on, when one begins there.
func (a *Answer) following(offset int) ([]target.Chunk, bool) {
	for i, c := range a.chunks {
		if c.Offset >= offset {
			return a.chunks[i:], c.Offset == offset
		}
	}
	return nil, offset >= a.tokens
}
