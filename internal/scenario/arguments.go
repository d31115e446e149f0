package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// arguments holds the arguments of one command: plain words and name=value
// options. Methods remove words and mark options as used.
type arguments struct {
	words   []string
	options map[string]string
	used    map[string]bool
}

func parseArguments(words []string) *arguments {
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

// nextWord removes and returns the next plain word. If there is none, the error
// contains description.
func (a *arguments) nextWord(description string) (string, error) {
	if len(a.words) == 0 {
		return "", fmt.Errorf("%s is missing", description)
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w, nil
}

// remainingWords removes and returns all remaining plain words.
func (a *arguments) remainingWords() []string {
	words := a.words
	a.words = nil
	return words
}

// option returns the value of an option, or defaultValue if it is absent, and marks
// the option as used.
func (a *arguments) option(name, defaultValue string) string {
	a.used[name] = true
	if v, ok := a.options[name]; ok {
		return v
	}
	return defaultValue
}

func (a *arguments) number(name string, defaultValue int) (int, error) {
	text := a.option(name, strconv.Itoa(defaultValue))
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("option %s=%q is not a number", name, text)
	}
	return n, nil
}

func (a *arguments) duration(name string, defaultValue time.Duration) (time.Duration, error) {
	text := a.option(name, defaultValue.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("option %s=%q is not a duration", name, text)
	}
	return d, nil
}

// unusedOptions returns all options not used before as name and value, sorted by
// name, and marks them as used.
func (a *arguments) unusedOptions() [][2]string {
	var out [][2]string
	for _, name := range slices.Sorted(maps.Keys(a.options)) {
		if !a.used[name] {
			out = append(out, [2]string{name, a.option(name, "")})
		}
	}
	return out
}

// checkAllUsed returns an error that lists the words and options that the command
// did not use.
func (a *arguments) checkAllUsed() error {
	if len(a.words) > 0 {
		return fmt.Errorf("unexpected words %q", a.words)
	}
	if unused := a.unusedOptions(); len(unused) > 0 {
		return fmt.Errorf("unknown options %q", unused)
	}
	return nil
}

// countRange is an inclusive range of counts, written as "1" or "0-1".
type countRange struct{ low, high int }

func parseCountRange(text string) (countRange, error) {
	first, last, ok := strings.Cut(text, "-")
	if !ok {
		last = first
	}
	low, err := strconv.Atoi(first)
	if err != nil {
		return countRange{}, fmt.Errorf("%q is neither a count nor a range of counts", text)
	}
	high, err := strconv.Atoi(last)
	if err != nil || high < low {
		return countRange{}, fmt.Errorf("%q is neither a count nor a range of counts", text)
	}
	return countRange{low, high}, nil
}

// nextCountRange removes the next plain word and parses it as a range of counts.
func (a *arguments) nextCountRange() (countRange, error) {
	text, err := a.nextWord("count")
	if err != nil {
		return countRange{}, err
	}
	return parseCountRange(text)
}

// String returns the range in the notation of parseCountRange.
func (s countRange) String() string {
	if s.low == s.high {
		return strconv.Itoa(s.low)
	}
	return fmt.Sprintf("%d-%d", s.low, s.high)
}

func (s countRange) contains(n int) bool { return n >= s.low && n <= s.high }
