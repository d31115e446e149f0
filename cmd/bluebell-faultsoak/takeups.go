package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/faultsoak"
)

// takeUps holds the flags of the subcommand that plays streams that are taken up.
type takeUps struct {
	command    *flaggy.Subcommand
	options    faultsoak.TakeUpOptions
	verbose    bool
	binary     string
	violations int
}

func newTakeUps() *takeUps {
	t := &takeUps{command: flaggy.NewSubcommand("take-ups"), options: faultsoak.TakeUpOptions{Rounds: 25, RoundStreams: 40, Case: "serving"}}
	t.command.Description = "Breaks streams off while targets of two software versions serve, and counts how callers go on with them."
	t.command.String(&t.options.Case, "", "case", fmt.Sprintf("what breaks the streams off, one of %v", faultsoak.TakeUpCases()))
	t.command.Int(&t.options.Rounds, "", "rounds", "number of times that hosts end")
	t.command.Int(&t.options.RoundStreams, "", "streams", "number of streams of a round")
	t.command.Bool(&t.options.NoResumes, "", "no-resumes", "callers do not name the request that began the stream")
	t.command.Bool(&t.options.Resets, "", "resets", "targets reset some requests before their first event")
	t.command.Bool(&t.options.Release, "", "release", "targets are replaced by ones of another version")
	t.command.String(&t.binary, "", "build", "path of the build of bluebell-edge to run in place of this one")
	t.command.Bool(&t.verbose, "", "verbose", "print a line for each round")
	flaggy.AttachSubcommand(t.command, 1)
	return t
}

// run plays one seed and prints the counts.
func (t *takeUps) run(ctx context.Context, seed uint64, hosts int, binary, logDir string) error {
	o := t.options
	o.Binary, o.Hosts, o.Seed, o.Out = binary, hosts, seed, io.Discard
	if t.binary != "" {
		o.Binary = t.binary
	}
	o.Dir = filepath.Join(logDir, fmt.Sprintf("%s-%d", o.Case, seed))
	if t.verbose {
		o.Out = os.Stdout
	}
	result, err := faultsoak.RunTakeUps(ctx, o)
	if err != nil {
		return err
	}
	for _, line := range result.Disorder {
		fmt.Println("VIOLATION", line)
	}
	t.violations += len(result.Disorder)
	fmt.Printf("case %s seed %d: %d streams, %d taken up, %d out of order, %d went on, refused %v, not begun %v\n",
		o.Case, seed, result.Streams, result.TakenUp, len(result.Disorder), result.WentOn, result.Refused, result.NotBegun)
	return nil
}
