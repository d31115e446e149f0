// Package bodyread reads the bodies of requests within a budget of bytes. A body that
// arrives too slowly is given up, and so is the slowest one when the budget is full.
package bodyread

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/membudget"
)

const (
	// MaxSilence is the longest time without a byte of a body.
	MaxSilence = 5 * time.Second
	// MinRate is the lowest mean rate of a body in bytes a second, from rateGrace after its
	// beginning on. At this rate a body of 4 MiB takes over two minutes.
	MinRate   = 32 << 10
	rateGrace = 5 * time.Second
	// firstPiece is the capacity for the beginning of a body without a length, in bytes.
	firstPiece = 4 << 10
)

// Reasons why a body was not read.
var (
	ErrNoRoom  = errors.New("there is no memory for the body")
	ErrTooSlow = errors.New("the body arrives too slowly")
	ErrTooLong = errors.New("the body is above the limit")
)

// SetDeadline sets the time at which reads of the body fail with os.ErrDeadlineExceeded; zero
// means never. It may be called during a read.
type SetDeadline func(time.Time) error

// Body is a body that is to be read.
type Body struct {
	Reader io.Reader
	// Length is the announced length; negative if unknown. Max is the longest length.
	Length, Max int64
	SetDeadline SetDeadline
}

// Read reads a whole body. Its bytes are reserved in the account, which the caller must close
// when it no longer needs them, also after an error. Without a bounded budget there are no
// limits of time.
func (b Body) Read(budget *membudget.Budget, account *membudget.Account) ([]byte, error) {
	if b.Length > b.Max {
		return nil, ErrTooLong
	}
	if b.Length == 0 {
		return nil, nil
	}
	r := &reading{Body: b, account: account, timed: budget.Bounded(), begun: time.Now()}
	account.AllowEviction(func() { _ = b.SetDeadline(time.Unix(1, 0)) })
	data, err := r.readAll()
	if !account.ForbidEviction() && err == nil {
		// The body has ended at the moment of the eviction.
		err = ErrNoRoom
	}
	if err == nil && r.timed {
		err = b.SetDeadline(time.Time{})
	}
	return data, err
}

// reading is the state of one Read.
type reading struct {
	Body
	account *membudget.Account
	timed   bool
	begun   time.Time
	read    int64
}

func (r *reading) readAll() ([]byte, error) {
	capacity := r.Length
	if capacity < 0 {
		capacity = min(firstPiece, r.Max+1)
		r.account.Expect(membudget.SmallBytes)
	}
	if !r.account.Reserve(capacity) {
		return nil, ErrNoRoom
	}
	data := make([]byte, 0, capacity)
	for {
		if len(data) == cap(data) && r.Length < 0 {
			grown, err := r.grow(data)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := r.readPiece(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > r.Max:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF) && int64(len(data)) < r.Length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF), err == nil && int64(len(data)) == r.Length:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of data with twice the capacity.
func (r *reading) grow(data []byte) ([]byte, error) {
	if int64(len(data)) > r.Max {
		return nil, ErrTooLong
	}
	capacity := min(2*int64(cap(data)), r.Max+1)
	if !r.account.Reserve(capacity) {
		return nil, ErrNoRoom
	}
	grown := make([]byte, len(data), capacity)
	copy(grown, data)
	r.account.Release(int64(cap(data)))
	return grown, nil
}

// readPiece reads a part of the body within the limits of time.
func (r *reading) readPiece(p []byte) (int, error) {
	if r.timed {
		if err := r.SetDeadline(r.deadline()); err != nil {
			return 0, err
		}
		if r.account.Evicted() {
			return 0, ErrNoRoom
		}
	}
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	r.account.Arrived(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, r.timeoutError(err)
	}
	return n, err
}

// deadline returns when the next byte must have arrived.
func (r *reading) deadline() time.Time {
	silent := time.Now().Add(MaxSilence)
	slow := r.begun.Add(rateGrace + time.Duration(float64(r.read)/MinRate*float64(time.Second)))
	if slow.Before(silent) {
		return slow
	}
	return silent
}

func (r *reading) timeoutError(cause error) error {
	if r.account.Evicted() {
		return ErrNoRoom
	}
	return fmt.Errorf("%w: %d bytes in %v: %w", ErrTooSlow, r.read, time.Since(r.begun).Round(time.Millisecond), cause)
}
