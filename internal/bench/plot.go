package bench

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots writes PNG files to dir. For each profile, they show the goodput of each tier
// and the wasted share of the prefill as functions of the load.
func WritePlots(dir string, results []Result) error {
	for _, profile := range distinctNames(results, func(r Result) string { return r.Profile }) {
		ofProfile := slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Profile != profile })
		for tier := range ofProfile[0].Tiers {
			name := fmt.Sprintf("%s-goodput-tier%d.png", profile, tier)
			value := func(r Result) float64 { return r.Tiers[tier].Goodput() }
			if err := draw(filepath.Join(dir, name), profile+": goodput of tier "+fmt.Sprint(tier), ofProfile, value); err != nil {
				return err
			}
		}
		if err := draw(filepath.Join(dir, profile+"-wasted-prefill.png"), profile+": wasted share of prefill", ofProfile, Result.WastedShare); err != nil {
			return err
		}
	}
	return nil
}

// distinctNames returns the distinct values of name in the order of the results.
func distinctNames(results []Result, name func(Result) string) []string {
	var out []string
	for _, r := range results {
		if !slices.Contains(out, name(r)) {
			out = append(out, name(r))
		}
	}
	return out
}

// draw writes a plot of the median of value over the seeds, with one line per policy.
func draw(path, title string, results []Result, value func(Result) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load / capacity"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	lines := make(map[string]plotter.XYs)
	for _, group := range bySeed(results) {
		name := group[0].Policy
		lines[name] = append(lines[name], plotter.XY{X: group[0].Load, Y: median(collect(group, value))})
	}
	var args []any
	for _, name := range distinctNames(results, func(r Result) string { return r.Policy }) {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("drawing %s: %w", path, err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}
