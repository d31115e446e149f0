// Command bluebell-siteplay plays a site file with real bluebell-edge processes on loopback
// and checks the order of streams. It is a development tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/edgeprocess"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/platform/siteplay"
)

func main() {
	settings.Exit(run())
}

func run() error {
	if len(os.Args) == 4 && os.Args[1] == siteplay.TargetCommand {
		return siteplay.ServeTarget(os.Args[2], os.Args[3])
	}
	o := siteplay.Options{Net: "127.61", RateFactor: 1, LengthShare: 0.1, Ended: &sync.WaitGroup{}, Out: os.Stdout}
	defer o.Ended.Wait()
	siteFile, dayName, kinds, logDir, seeds, troubles := "", "", "", "", 1, 6
	var firstSeed uint64 = 1
	flaggy.SetName("bluebell-siteplay")
	flaggy.SetDescription("Plays a site file with real edge processes on loopback and checks the order of streams.")
	flaggy.String(&siteFile, "", "site", "path of the site file")
	flaggy.String(&dayName, "", "day", "day of the site file; without one, days are drawn by seed")
	flaggy.String(&kinds, "", "only", "kinds of troubles to draw, separated by commas; none for calm days")
	flaggy.Int(&troubles, "", "troubles", "number of troubles of a drawn day")
	flaggy.UInt64(&firstSeed, "", "seed", "first seed")
	flaggy.Int(&seeds, "", "seeds", "number of consecutive seeds to play on the same addresses")
	flaggy.Duration(&o.Length, "", "length", "length of a day; by default that of the site")
	flaggy.Float64(&o.RateFactor, "", "rate-factor", "factor of the rates of the site")
	flaggy.Bool(&o.Shared, "", "shared-targets", "all targets are in this process; their listeners live on when a target crashes")
	flaggy.Float64(&o.LengthShare, "", "length-share", "share of streams with a stated length")
	flaggy.Float64(&o.UnframedShare, "", "unframed-share", "share of streams with neither a length nor chunks")
	flaggy.Float64(&o.CutShare, "", "cut-share", "share of streams whose caller's connection breaks midway")
	flaggy.Bool(&o.EndAtDeadline, "", "end-at-deadline", "targets end streams regularly at their deadline")
	flaggy.Duration(&o.Linger, "", "linger", "how long every second host of a seed lives on beside the next one, without its store")
	flaggy.String(&o.Net, "", "net", "first two bytes of all addresses")
	flaggy.String(&o.Binary, "", "binary", "path of bluebell-edge; by default it is built")
	flaggy.String(&logDir, "", "logs", "directory in which the logs of a seed with violations are kept")
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	site, err := siteplay.LoadSite(siteFile)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "siteplay")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if o.Binary == "" {
		if o.Binary, err = edgeprocess.Build(ctx, dir); err != nil {
			return err
		}
	}
	total := 0
	for seed := firstSeed; seed < firstSeed+uint64(seeds) && ctx.Err() == nil; seed++ {
		var only []string
		if kinds != "" {
			only = strings.Split(kinds, ",")
		}
		day := site.Draw(seed, troubles, only)
		if dayName != "" {
			if day, err = site.Day(dayName); err != nil {
				return err
			}
			day.Seed += seed
		}
		n, err := playSeed(ctx, site, day, o, filepath.Join(dir, fmt.Sprint(seed)), seed, logDir)
		if err != nil {
			return err
		}
		total += n
	}
	if total > 0 {
		return fmt.Errorf("%d violations", total)
	}
	return nil
}

// playSeed plays a day and keeps its logs if there are violations.
func playSeed(ctx context.Context, site *siteplay.Site, day siteplay.Day, o siteplay.Options, dir string, seed uint64, logDir string) (int, error) {
	o.Dir = dir
	startedAt := time.Now()
	r, err := siteplay.Run(ctx, site, day, o)
	if err != nil {
		return 0, err
	}
	byKind := make(map[string]int)
	for i, v := range r.Violations {
		if byKind[v.Kind]++; byKind[v.Kind] <= 5 {
			fmt.Print(r.Records[i])
		}
	}
	var kinds []string
	for kind, n := range byKind {
		kinds = append(kinds, fmt.Sprintf("%s: %d", kind, n))
	}
	slices.Sort(kinds)
	for _, line := range kinds {
		fmt.Printf("seed %d, %s\n", seed, line)
	}
	fmt.Printf("seed %d, %s %s: %d calls, %d served, %d streams, %d taken up, %d violations, %.0f s\n",
		seed, site.Name, day.Name, r.Calls, r.Served, r.Streams, r.TakenUp, len(r.Violations), time.Since(startedAt).Seconds())
	if len(r.Violations) > 0 && logDir != "" {
		kept := filepath.Join(logDir, fmt.Sprintf("%s-%s-%d-%s", site.Name, day.Name, seed, startedAt.Format("150405")))
		if err := os.MkdirAll(kept, 0o700); err != nil {
			return 0, err
		}
		if err := os.CopyFS(kept, os.DirFS(dir)); err != nil {
			return 0, err
		}
		if err := os.WriteFile(filepath.Join(kept, "violations"), []byte(strings.Join(r.Records, "")), 0o600); err != nil {
			return 0, err
		}
	}
	return len(r.Violations), nil
}
