package settings

import (
	"fmt"
	"strings"

	"github.com/caarlos0/env/v11"
	"github.com/integrii/flaggy"
)

// load sets the fields of the struct that settings points to from the defaults,
// the environment and the flags, in increasing precedence. Values that the struct
// already contains are defaults.
func load(program string, settings any, args, environ []string) error {
	fields := settingFields(settings)
	if err := checkArguments(fields, args); err != nil {
		return err
	}
	if wantsHelp(args) {
		return &HelpError{Text: helpText(program, fields)}
	}
	if wantsVersion(args) {
		return &HelpError{Text: program + " " + Version() + "\n"}
	}
	options := env.Options{Environment: env.ToMap(environ)}
	if err := env.ParseWithOptions(settings, options); err != nil {
		return invalid("environment: %s", oneLine(err))
	}
	if err := parseFlags(program, fields, args); err != nil {
		return invalid("flags: %s", oneLine(err))
	}
	return nil
}

func parseFlags(program string, fields []field, args []string) error {
	parser := flaggy.NewParser(program)
	parser.ShowHelpWithHFlag = false
	parser.ShowHelpOnUnexpected = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	levels := make([]levelFlag, 0, len(fields))
	for _, f := range fields {
		if f.flag == "" {
			continue
		}
		switch p := f.pointer().(type) {
		case *string:
			parser.String(p, "", f.flag, f.usage)
		case durationPointer:
			parser.Duration(p, "", f.flag, f.usage)
		case levelPointer:
			l := levelFlag{name: f.flag, level: p, text: new(string)}
			levels = append(levels, l)
			parser.String(l.text, "", f.flag, f.usage)
		default:
			return fmt.Errorf("flag --%s has the unsupported type %T", f.flag, p)
		}
	}
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	for _, l := range levels {
		if err := l.set(); err != nil {
			return err
		}
	}
	return nil
}

// levelFlag is a flag for a log level. The level is parsed after all flags have
// been read.
type levelFlag struct {
	name  string
	level levelPointer
	text  *string
}

func (l levelFlag) set() error {
	if *l.text == "" {
		return nil
	}
	if err := l.level.Set(*l.text); err != nil {
		return fmt.Errorf("--%s: %w", l.name, err)
	}
	return nil
}

// checkArguments rejects arguments that the flag parser would silently ignore.
func checkArguments(fields []field, args []string) error {
	known := make(map[string]bool)
	for _, f := range fields {
		known[f.flag] = true
	}
	delete(known, "")
	for i := 0; i < len(args); i++ {
		name, isFlag := strings.CutPrefix(args[i], "--")
		if isHelp(args[i]) || args[i] == versionFlag {
			continue
		}
		if !isFlag {
			return invalid("unexpected argument %q", args[i])
		}
		name, _, hasValue := strings.Cut(name, "=")
		if !known[name] {
			return invalid("unknown flag --%s", name)
		}
		if hasValue {
			continue
		}
		i++
		if i == len(args) || strings.HasPrefix(args[i], "--") {
			return invalid("flag --%s needs a value", name)
		}
	}
	return nil
}

func isHelp(arg string) bool { return arg == "--help" || arg == "-h" }

const versionFlag = "--version"

func wantsHelp(args []string) bool {
	for _, a := range args {
		if isHelp(a) {
			return true
		}
	}
	return false
}

func wantsVersion(args []string) bool {
	for _, a := range args {
		if a == versionFlag {
			return true
		}
	}
	return false
}

// oneLine returns the text of err with each run of white space replaced by one
// space.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
