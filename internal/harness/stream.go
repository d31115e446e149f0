package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 4 << 20

// tokenEvent is the data of a "token" event.
type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// doneEvent is the data of a "done" event.
type doneEvent struct {
	Tokens int `json:"tokens"`
}

func (c *Call) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	name := ""
	for lines.Scan() {
		line := lines.Text()
		if event, ok := strings.CutPrefix(line, "event:"); ok {
			name = strings.TrimSpace(event)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		if over, err := c.takeEvent(name, []byte(data)); over || err != nil {
			c.endStream(err)
			return
		}
	}
	c.endStream(fmt.Errorf("stream ended without a done or error event: %w", orEOF(lines.Err())))
}

func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}

func (c *Call) endStream(err error) {
	if err != nil {
		c.lost(err)
	}
}

// takeEvent adds one event and reports whether it is the last one.
func (c *Call) takeEvent(name string, data []byte) (bool, error) {
	switch name {
	case "token":
		return false, c.takeToken(data)
	case "done":
		return true, c.takeDone(data)
	case "error":
		var p problem
		if err := json.Unmarshal(data, &p); err != nil {
			return true, fmt.Errorf("error event %q: %w", data, err)
		}
		c.fail(p)
		return true, nil
	default:
		return false, fmt.Errorf("unknown event %q", name)
	}
}

func (c *Call) takeToken(data []byte) error {
	var e tokenEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("token event %q: %w", data, err)
	}
	if have := c.Result().Tokens; e.Offset != have {
		return fmt.Errorf("token event at offset %d after %d tokens", e.Offset, have)
	}
	c.update(func(r *Result) {
		if r.FirstByte.IsZero() {
			r.FirstByte = time.Now()
		}
		r.Text += e.Text
		r.Tokens += e.Tokens
	})
	return nil
}

func (c *Call) takeDone(data []byte) error {
	var e doneEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("done event %q: %w", data, err)
	}
	if have := c.Result().Tokens; e.Tokens != have {
		return fmt.Errorf("done event tells %d tokens after %d", e.Tokens, have)
	}
	c.update(func(r *Result) { r.Whole = true })
	return nil
}
