package capacity

import (
	"math"
	"regexp"
	"strconv"
	"strings"
)

// citation matches the name of a slope in a page, followed by a value and an optional
// unit.
var citation = regexp.MustCompile("`((?:config|members|claims|dispatcher|gate|wire|host|path|feed|log|lease|engine)\\.[a-z0-9_.]+)`" +
	`(\s+)([0-9.]+)(\s*(?:µs|ms|s|B|KB|MB|%)?)`)

// unitFactors holds the factors that convert values in the units of pages to values in
// the units of slopes.
var unitFactors = map[string]float64{"": 1, "µs": 1e-6, "ms": 1e-3, "s": 1, "B": 1, "KB": 1e3, "MB": 1e6, "%": 0.01}

// citedDigits is the number of significant digits of values in pages.
const citedDigits = 3

// UpdateCitations returns page with the value after each name of a slope replaced by the measured
// value, in the same unit. It also returns the names of cited slopes that are not in m;
// their values are unchanged.
func UpdateCitations(page string, m Slopes) (string, []string) {
	var unknown []string
	out := citation.ReplaceAllStringFunc(page, func(text string) string {
		parts := citation.FindStringSubmatch(text)
		name, space, unit := parts[1], parts[2], parts[4]
		slope, ok := m[name]
		if !ok {
			unknown = append(unknown, name)
			return text
		}
		value := formatRounded(slope.Value / unitFactors[strings.TrimSpace(unit)])
		return "`" + name + "`" + space + value + unit
	})
	return out, unknown
}

// formatRounded formats x with citedDigits significant digits and without an exponent.
func formatRounded(x float64) string {
	if x == 0 {
		return "0"
	}
	digits := citedDigits - 1 - int(math.Floor(math.Log10(math.Abs(x))))
	scale := math.Pow(10, float64(digits))
	return strconv.FormatFloat(math.Round(x*scale)/scale, 'f', max(digits, 0), 64)
}
