package capacity

import (
	"math"
	"regexp"
	"strconv"
	"strings"
)

// citation is the name of a slope in a page, with its value in the unit that
// follows it.
var citation = regexp.MustCompile("`((?:config|members|claims|dispatcher|gate|wire|host|path|feed|log|lease|engine)\\.[a-z0-9_.]+)`" +
	`(\s+)([0-9.]+)(\s*(?:µs|ms|s|B|KB|MB|%)?)`)

// unitFactors turn values of pages into values of slopes.
var unitFactors = map[string]float64{"": 1, "µs": 1e-6, "ms": 1e-3, "s": 1, "B": 1, "KB": 1e3, "MB": 1e6, "%": 0.01}

// citedDigits is the precision of values in pages.
const citedDigits = 3

// Cite writes the measured values into a page wherever it names a slope with a
// value. Names of slopes that were not measured are returned.
func Cite(page string, m Slopes) (string, []string) {
	var unknown []string
	out := citation.ReplaceAllStringFunc(page, func(text string) string {
		parts := citation.FindStringSubmatch(text)
		name, gap, unit := parts[1], parts[2], parts[4]
		slope, ok := m[name]
		if !ok {
			unknown = append(unknown, name)
			return text
		}
		value := rounded(slope.Value / unitFactors[strings.TrimSpace(unit)])
		return "`" + name + "`" + gap + value + unit
	})
	return out, unknown
}

// rounded writes a value with few digits and without an exponent.
func rounded(x float64) string {
	if x == 0 {
		return "0"
	}
	digits := citedDigits - 1 - int(math.Floor(math.Log10(math.Abs(x))))
	scale := math.Pow(10, float64(digits))
	return strconv.FormatFloat(math.Round(x*scale)/scale, 'f', max(digits, 0), 64)
}
