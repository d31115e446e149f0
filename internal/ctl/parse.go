package ctl

import (
	"context"
	"time"

	"github.com/integrii/flaggy"
)

// defaultWaitTimeout is the default of --wait-timeout.
const defaultWaitTimeout = 30 * time.Second

// command runs a parsed command.
type command func(ctx context.Context) error

// leafCommand is a leaf of the command tree: a subcommand of the parser and the
// function that runs it.
type leafCommand struct {
	sub *flaggy.Subcommand
	run command
}

// parse returns the command that args select. For help, shell completion and
// unknown flags, the flag library prints its output and exits the process.
func (a *app) parse(args []string) (command, error) {
	parser := flaggy.NewParser("bluebellctl")
	parser.Description = "operate bluebellseam: publish configuration, show hosts and targets, look up requests"
	parser.ShowVersionWithVersionFlag = false
	parser.AdditionalHelpAppend = "Environment: BLUEBELLCTL_ADDRESS, BLUEBELLCTL_KEY, BLUEBELLCTL_KEY_FILE, BLUEBELLCTL_OUTPUT; flags take precedence.\n\n" + exitCodesHelp
	parser.String(&a.options.Address, "a", "address", "URL of the operators' API of a host; the host must be an IP address")
	parser.String(&a.options.KeyFile, "k", "key-file", "file with the operator's key")
	parser.String(&a.options.Output, "o", "output", "output format: table or json")

	var showVersion bool
	parser.Bool(&showVersion, "", "version", "print the version of this program")

	leaves := a.commands(parser)
	if err := parser.ParseArgs(args); err != nil {
		return nil, usageError("%s", err)
	}
	if showVersion {
		return a.version, nil
	}
	for _, leaf := range leaves {
		if leaf.sub.Used {
			return leaf.run, nil
		}
	}
	parser.ShowHelp()
	return nil, usageError("no command given")
}

// commands builds the command tree and returns its leaves.
func (a *app) commands(parser *flaggy.Parser) []leafCommand {
	var leaves []leafCommand
	leaves = append(leaves, a.publishCommand(parser))
	leaves = append(leaves, a.configCommands(parser)...)
	leaves = append(leaves, a.statusCommand(parser))
	leaves = append(leaves, a.targetCommands(parser)...)
	leaves = append(leaves, a.requestCommands(parser)...)
	leaves = append(leaves, a.quarantineCommands(parser)...)
	leaves = append(leaves, a.explainCommand(parser))
	leaves = append(leaves, a.keyCommands(parser)...)
	leaves = append(leaves, a.versionCommand(parser))
	return leaves
}

// commandGroup is a parser or a subcommand that accepts subcommands.
type commandGroup interface {
	AttachSubcommand(sub *flaggy.Subcommand, position int)
}

func attach(to commandGroup, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	to.AttachSubcommand(sub, 1)
	return sub
}

// waitFlags holds the flags --wait and --wait-timeout of commands that publish.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

func (f *waitFlags) register(sub *flaggy.Subcommand, description string) {
	f.timeout = defaultWaitTimeout
	sub.Bool(&f.wait, "w", "wait", description)
	sub.Duration(&f.timeout, "", "wait-timeout", "maximum time to wait with --wait")
}
