package ctl

import (
	"context"
	"time"

	"github.com/integrii/flaggy"
)

// defaultWait bounds --wait.
const defaultWait = 30 * time.Second

// command is what remains of a command line once it is parsed.
type command func(ctx context.Context) error

// node is a command of the tree before parsing.
type node struct {
	sub *flaggy.Subcommand
	run command
}

// parse returns the command that args name. The flag library itself prints
// help, version and completion and exits; so it does for unknown flags.
func (a *app) parse(args []string) (command, error) {
	parser := flaggy.NewParser("bluebellctl")
	parser.Description = "operate bluebellseam: publish configuration, watch hosts and targets, find requests"
	parser.ShowVersionWithVersionFlag = false
	parser.AdditionalHelpAppend = "Environment: BLUEBELLCTL_ADDRESS, BLUEBELLCTL_KEY, BLUEBELLCTL_KEY_FILE, BLUEBELLCTL_OUTPUT; a flag wins.\n\n" + exitCodesHelp
	parser.String(&a.options.Address, "a", "address", "URL of a host's operators' API, by IP number")
	parser.String(&a.options.KeyFile, "k", "key-file", "file with the operator's key")
	parser.String(&a.options.Output, "o", "output", "table for people or json for programs")

	var showVersion bool
	parser.Bool(&showVersion, "", "version", "print the version of this program")

	nodes := a.commands(parser)
	if err := parser.ParseArgs(args); err != nil {
		return nil, usage("%s", err)
	}
	if showVersion {
		return a.version, nil
	}
	for _, n := range nodes {
		if n.sub.Used {
			return n.run, nil
		}
	}
	parser.ShowHelp()
	return nil, usage("no command given")
}

// commands builds the tree and returns its leaves.
func (a *app) commands(parser *flaggy.Parser) []node {
	var leaves []node
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

// attacher is a parser or a group of commands.
type attacher interface {
	AttachSubcommand(sub *flaggy.Subcommand, position int)
}

func attach(to attacher, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	to.AttachSubcommand(sub, 1)
	return sub
}

// waitFlags are the flags of commands that publish.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

func (f *waitFlags) add(sub *flaggy.Subcommand, description string) {
	f.timeout = defaultWait
	sub.Bool(&f.wait, "w", "wait", description)
	sub.Duration(&f.timeout, "", "wait-timeout", "longest wait")
}
