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

// field is one setting, as described by the tags of its struct field.
type field struct {
	name        string
	variable    string
	flag        string
	defaultText string
	usage       string
	secret      bool
	value       reflect.Value
}

// settingFields returns the fields of a settings struct, or of the struct that
// settings points to, in order. Embedded structs are flattened.
func settingFields(settings any) []field {
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
			name:        f.Name,
			variable:    f.Tag.Get("env"),
			flag:        f.Tag.Get("flag"),
			defaultText: fieldDefault(f, v.Field(i)),
			usage:       f.Tag.Get("usage"),
			secret:      f.Tag.Get("secret") == "true",
			value:       v.Field(i),
		})
	}
	return out
}

// fieldDefault returns the current value of a string field if it is not empty,
// otherwise the default of the field's tag.
func fieldDefault(f reflect.StructField, value reflect.Value) string {
	if value.Kind() == reflect.String && value.String() != "" {
		return value.String()
	}
	return f.Tag.Get("envDefault")
}

// pointer returns a pointer to the value. For all string types it is a *string.
func (f field) pointer() any {
	if f.value.Kind() == reflect.String {
		return f.value.Addr().Convert(reflect.TypeFor[*string]()).Interface()
	}
	return f.value.Addr().Interface()
}

// helpText returns the output for --help, with the flag, the environment variable
// and the default of each setting.
func helpText(program string, fields []field) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s [flags]\n\nFlags take precedence over environment variables, and these over defaults.\n\n", program)
	for _, f := range fields {
		name := "(no flag)"
		if f.flag != "" {
			name = "--" + f.flag
		}
		defaultText := f.defaultText
		if defaultText == "" {
			defaultText = "none"
		}
		fmt.Fprintf(&b, "  %-20s %s\n      %s (default: %s)\n", name, f.variable, f.usage, defaultText)
	}
	fmt.Fprintf(&b, "  %-20s print this text and exit\n", "-h, --help")
	fmt.Fprintf(&b, "  %-20s print the version and exit\n", versionFlag)
	b.WriteString("\nExit codes: 0 normal shutdown, 1 failure at runtime, 2 invalid settings.\n")
	return b.String()
}

// Fields returns the settings of a settings struct, or of the struct that settings
// points to, as log fields. It omits secrets.
func Fields(settings any) []zap.Field {
	var out []zap.Field
	for _, f := range settingFields(settings) {
		if !f.secret {
			out = append(out, zap.Any(f.variable, f.value.Interface()))
		}
	}
	return out
}
