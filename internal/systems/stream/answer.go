// Package stream assembles a streamed answer from chunks that may arrive more
// than once, late, with gaps and over several connections. All copies of one
// dispatch's answer have the same text, but may be split into chunks
// differently.
package stream

import (
	"bytes"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// AddResult is the result of adding a chunk to an answer.
type AddResult int

// Results of Answer.Add.
const (
	// Appended means that the chunk was appended.
	Appended AddResult = iota
	// Duplicate means that the chunk begins before the end of the answer; it was
	// dropped.
	Duplicate
	// MissingChunk means that an earlier chunk is missing; the chunk was dropped.
	MissingChunk
)

// Answer is the part of an answer received so far. The zero value is an empty
// answer.
type Answer struct {
	chunks []target.Chunk
	// startOffset and endOffset are the token offsets of the beginning and the
	// end.
	startOffset int
	endOffset   int
}

// ResumeAt returns an answer that continues at a token offset; text is the part
// before it. If text is empty, the answer begins at the offset and never includes
// the part before it.
func ResumeAt(offset int, text string) Answer {
	if offset == 0 {
		return Answer{}
	}
	if text == "" {
		return Answer{startOffset: offset, endOffset: offset}
	}
	return Answer{chunks: []target.Chunk{{Text: text, Tokens: offset}}, endOffset: offset}
}

// Add appends c if it starts where the answer ends.
func (a *Answer) Add(c target.Chunk) AddResult {
	switch {
	case c.Offset < a.endOffset:
		return Duplicate
	case c.Offset > a.endOffset:
		return MissingChunk
	}
	a.chunks = append(a.chunks, c)
	a.endOffset += c.Tokens
	return Appended
}

// EndOffset returns the token offset of the end of the answer.
func (a *Answer) EndOffset() int { return a.endOffset }

// FromStart reports whether the answer includes its beginning.
func (a *Answer) FromStart() bool { return a.startOffset == 0 }

// Chunks returns the chunks in order. The caller must not modify them.
func (a *Answer) Chunks() []target.Chunk { return a.chunks }

// CompletedBy reports whether c is the final chunk and the answer ends exactly
// where c ends.
func (a *Answer) CompletedBy(c target.Chunk) bool {
	return c.Final && c.Offset+c.Tokens == a.endOffset
}

// Text returns the concatenated text of all chunks.
func (a *Answer) Text() []byte {
	var b []byte
	for _, c := range a.chunks {
		b = append(b, c.Text...)
	}
	return b
}

// Complete appends the rest of full to the answer. full is a recorded copy of
// the complete answer, which has the given number of tokens. Complete reports
// whether the answer is complete afterwards. If full does not begin with the
// answer so far, or the number of tokens contradicts the text, Complete changes
// nothing.
func (a *Answer) Complete(full []byte, tokens int) bool {
	rest, ok := bytes.CutPrefix(full, a.Text())
	if !ok || (len(rest) > 0) != (tokens > a.endOffset) {
		return false
	}
	if len(rest) > 0 {
		a.Add(target.Chunk{Offset: a.endOffset, Text: string(rest), Tokens: tokens - a.endOffset, Final: true})
	}
	return tokens == a.endOffset
}

// ChunksAfter returns the chunks after a token offset, for a reader that has
// the text before that offset. The text is compared only if it is not empty, the
// answer includes its beginning, and offset is positive and not beyond its end.
// ChunksAfter returns false if text differs from the answer, if offset is before
// the answer, or if text is not compared and offset is within a chunk.
func (a *Answer) ChunksAfter(offset int, text string) ([]target.Chunk, bool) {
	if offset < a.startOffset {
		return nil, false
	}
	if !a.FromStart() || offset == 0 || offset > a.endOffset || text == "" {
		return a.chunksFrom(offset)
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
		partial := target.Chunk{Offset: offset, Text: string(tail), Tokens: end - offset, Final: c.Final}
		return append([]target.Chunk{partial}, a.chunks[i+1:]...), true
	}
	return nil, false
}

// chunksFrom returns the chunks from a token offset on. It returns false if the
// offset is within a chunk or before the first one.
func (a *Answer) chunksFrom(offset int) ([]target.Chunk, bool) {
	for i, c := range a.chunks {
		if c.Offset >= offset {
			return a.chunks[i:], c.Offset == offset
		}
	}
	return nil, offset >= a.endOffset
}
