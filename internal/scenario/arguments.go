package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// arguments are the words of one line: plain words and key=value options.
type arguments struct {
	words   []string
	options map[string]string
	used    map[string]bool
}

func parse(words []string) *arguments {
	a := &arguments{options: make(map[string]string), used: make(map[string]bool)}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if ok && name != "" && !strings.ContainsAny(name, " {") {
			a.options[name] = value
			continue
		}
		a.words = append(a.words, w)
	}
	return a
}

// word takes the next plain word; what names it in the error.
func (a *arguments) word(what string) (string, error) {
	if len(a.words) == 0 {
		return "", fmt.Errorf("%s is missing", what)
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w, nil
}

// rest takes all remaining plain words.
func (a *arguments) rest() []string {
	words := a.words
	a.words = nil
	return words
}

func (a *arguments) option(name, otherwise string) string {
	a.used[name] = true
	if v, ok := a.options[name]; ok {
		return v
	}
	return otherwise
}

func (a *arguments) number(name string, otherwise int) (int, error) {
	text := a.option(name, strconv.Itoa(otherwise))
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("option %s=%q is no number", name, text)
	}
	return n, nil
}

func (a *arguments) duration(name string, otherwise time.Duration) (time.Duration, error) {
	text := a.option(name, otherwise.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("option %s=%q is no duration", name, text)
	}
	return d, nil
}

// pairs takes all options that no one has read, in order of name.
func (a *arguments) pairs() [][2]string {
	var out [][2]string
	for _, name := range slices.Sorted(maps.Keys(a.options)) {
		if !a.used[name] {
			out = append(out, [2]string{name, a.option(name, "")})
		}
	}
	return out
}

// unused returns an error that names what the command did not read.
func (a *arguments) unused() error {
	if len(a.words) > 0 {
		return fmt.Errorf("unexpected words %q", a.words)
	}
	if left := a.pairs(); len(left) > 0 {
		return fmt.Errorf("unknown options %q", left)
	}
	return nil
}

// span is a range of counts: "1" or "0-1".
type span struct{ low, high int }

func parseSpan(text string) (span, error) {
	first, last, ok := strings.Cut(text, "-")
	if !ok {
		last = first
	}
	low, err := strconv.Atoi(first)
	if err != nil {
		return span{}, fmt.Errorf("%q is no count and no range of counts", text)
	}
	high, err := strconv.Atoi(last)
	if err != nil || high < low {
		return span{}, fmt.Errorf("%q is no count and no range of counts", text)
	}
	return span{low, high}, nil
}

// span takes the next plain word as a range of counts.
func (a *arguments) span() (span, error) {
	text, err := a.word("count")
	if err != nil {
		return span{}, err
	}
	return parseSpan(text)
}

// String returns the range as it is written.
func (s span) String() string {
	if s.low == s.high {
		return strconv.Itoa(s.low)
	}
	return fmt.Sprintf("%d-%d", s.low, s.high)
}

func (s span) contains(n int) bool { return n >= s.low && n <= s.high }
