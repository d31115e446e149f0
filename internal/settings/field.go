package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

type (
	durationPointer = *time.Duration
	levelPointer    = *zapcore.Level
)

// field describes one setting by the tags of its struct field.
type field struct {
	name     string
	variable string
	flag     string
	standard string
	usage    string
	secret   bool
	value    reflect.Value
}

// fieldsOf lists the settings of a struct, or of one that settings points to,
// embedded structs first.
func fieldsOf(settings any) []field {
	return appendFields(nil, reflect.Indirect(reflect.ValueOf(settings)))
}

func appendFields(out []field, v reflect.Value) []field {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			out = appendFields(out, v.Field(i))
			continue
		}
		out = append(out, field{
			name:     f.Name,
			variable: f.Tag.Get("env"),
			flag:     f.Tag.Get("flag"),
			standard: defaultOf(f, v.Field(i)),
			usage:    f.Tag.Get("usage"),
			secret:   f.Tag.Get("secret") == "true",
			value:    v.Field(i),
		})
	}
	return out
}

// defaultOf returns the value that the field holds before anything is read, or
// the default of its tag.
func defaultOf(f reflect.StructField, value reflect.Value) string {
	if value.Kind() == reflect.String && value.String() != "" {
		return value.String()
	}
	return f.Tag.Get("envDefault")
}

// pointer returns the address of the value; named string types come as *string.
func (f field) pointer() any {
	if f.value.Kind() == reflect.String {
		return f.value.Addr().Convert(reflect.TypeFor[*string]()).Interface()
	}
	return f.value.Addr().Interface()
}

// helpText lists flag, variable and default of every setting.
func helpText(program string, fields []field) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s [flags]\n\nA flag wins over its environment variable, a variable over the default.\n\n", program)
	for _, f := range fields {
		name := "(no flag)"
		if f.flag != "" {
			name = "--" + f.flag
		}
		standard := f.standard
		if standard == "" {
			standard = "none"
		}
		fmt.Fprintf(&b, "  %-20s %s\n      %s (default: %s)\n", name, f.variable, f.usage, standard)
	}
	fmt.Fprintf(&b, "  %-20s print this text and exit\n", "-h, --help")
	fmt.Fprintf(&b, "  %-20s print the version and exit\n", versionFlag)
	b.WriteString("\nExit codes: 0 stopped as asked, 1 failed while running, 2 bad settings.\n")
	return b.String()
}

// Fields returns a settings struct, or one that settings points to, as log
// fields. Secrets are left out.
func Fields(settings any) []zap.Field {
	var out []zap.Field
	for _, f := range fieldsOf(settings) {
		if !f.secret {
			out = append(out, zap.Any(f.variable, f.value.Interface()))
		}
	}
	return out
}
