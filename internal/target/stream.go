package target

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxEventBytes is the maximum length of a line in a stream of server-sent
	// events.
	maxEventBytes = 1 << 20
	// maxTokenGapBytes is the maximum number of bytes between two events of a stream
	// that carry a token. It counts all lines, and the second event too.
	maxTokenGapBytes = 2 * maxEventBytes
	dataPrefix       = "data:"
)

// errTokenGap is the error of a stream with more than maxTokenGapBytes between two
// events that carry a token.
var errTokenGap = fmt.Errorf("more than %d bytes without a token", maxTokenGapBytes)

// eventStream is a Stream that is received as server-sent events. A separate
// goroutine reads the body, so that Next can return when its context is done.
type eventStream struct {
	id     tables.RequestID
	chunks chan Chunk
	// err is the error that Next returns after the last chunk. It is set before
	// chunks is closed.
	err    error
	cancel context.CancelFunc
}

// openStream sends r and returns the response as a stream whose first token is
// expected at offset. It returns an *httpcall.Error if there is no response, and
// an error that wraps ErrNotAdmitted, ErrUnknown, ErrFailed or ErrFenced if the
// response is not a stream.
func openStream(ctx context.Context, c *http.Client, r httpcall.Request, id tables.RequestID, offset int) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := httpcall.Start(ctx, c, r)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, streamOpenError(resp)
	}
	s := &eventStream{id: id, chunks: make(chan Chunk), cancel: cancel}
	go s.read(ctx, resp.Body, offset)
	return s, nil
}

// streamOpenError returns the error for a response that is not a stream.
func streamOpenError(resp *http.Response) error {
	defer resp.Body.Close()
	body, err := httpcall.ReadBody(resp.Body, maxControlBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return errorFromResponse(httpcall.Response{Status: resp.StatusCode, Body: body})
}

// Next blocks until the next chunk is received. After the final chunk it returns
// io.EOF. Other errors wrap ErrUnknown or ErrFailed.
func (s *eventStream) Next(ctx context.Context) (Chunk, error) {
	select {
	case c, ok := <-s.chunks:
		if !ok {
			return Chunk{}, s.err
		}
		return c, nil
	case <-ctx.Done():
		return Chunk{}, fmt.Errorf("stream %q: %w: %w", s.id, ErrUnknown, ctx.Err())
	}
}

// Close closes the connection. It does not cancel the generation at the engine.
func (s *eventStream) Close() error {
	s.cancel()
	return nil
}

func (s *eventStream) read(ctx context.Context, body io.ReadCloser, offset int) {
	defer close(s.chunks)
	defer body.Close()
	s.err = s.forwardChunks(ctx, body, offset)
}

// forwardChunks sends the chunks in body to s.chunks. It returns io.EOF if the
// stream ended after a final chunk, and the reason otherwise.
func (s *eventStream) forwardChunks(ctx context.Context, body io.Reader, offset int) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	final, gap := false, 0
	for lines.Scan() {
		if gap += len(lines.Bytes()) + 1; gap > maxTokenGapBytes {
			return s.endError(final, errTokenGap)
		}
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == DoneMarker {
			return s.endError(final, nil)
		}
		c, err := s.parseEvent(data, offset)
		if err != nil {
			return err
		}
		offset += c.Tokens
		if c.Tokens > 0 {
			gap = 0
		}
		final = final || c.Final
		select {
		case s.chunks <- c:
		case <-ctx.Done():
			return fmt.Errorf("stream %q: %w: closed", s.id, ErrUnknown)
		}
	}
	return s.endError(final, lines.Err())
}

// endError returns the error that Next returns at the end of a stream. final
// reports whether the final chunk was received; err is the read error, if any.
func (s *eventStream) endError(final bool, err error) error {
	switch {
	case final:
		return io.EOF
	case err != nil:
		return fmt.Errorf("stream %q: %w: %w", s.id, ErrUnknown, err)
	default:
		return fmt.Errorf("stream %q: %w: ended without its final event", s.id, ErrUnknown)
	}
}

func (s *eventStream) parseEvent(data string, offset int) (Chunk, error) {
	var e CompletionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return Chunk{}, fmt.Errorf("stream %q: %w: %w", s.id, ErrUnknown, err)
	}
	if e.Error != nil {
		return Chunk{}, fmt.Errorf("stream %q: %w: %s %s", s.id, streamErrorFromCode(e.Error.Code), e.Error.Code, e.Error.Message)
	}
	if e.ID != s.id {
		return Chunk{}, fmt.Errorf("stream %q: %w: event belongs to %q", s.id, ErrUnknown, e.ID)
	}
	if e.Offset != offset {
		return Chunk{}, fmt.Errorf("stream %q: %w: event at offset %d instead of %d", s.id, ErrUnknown, e.Offset, offset)
	}
	if len(e.Choices) != 1 {
		return Chunk{}, fmt.Errorf("stream %q: %w: event with %d choices instead of 1", s.id, ErrUnknown, len(e.Choices))
	}
	return Chunk{
		Offset:       e.Offset,
		Text:         e.Choices[0].Text,
		Tokens:       e.Tokens,
		Final:        e.Choices[0].FinishReason != nil,
		CachedTokens: e.CachedTokens,
	}, nil
}

// streamErrorFromCode returns the error for the code of an error event. It never
// returns ErrNotAdmitted, because a request whose stream has begun was admitted.
func streamErrorFromCode(code string) error {
	if meaning := errorFromCode(code); errors.Is(meaning, ErrFailed) {
		return ErrFailed
	}
	return ErrUnknown
}
