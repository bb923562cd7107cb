package bench

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes an SVG file with the percentiles of response time over ideal, one
// curve per report.
func Plot(file string, reports []*Report) error {
	pl := plot.New()
	pl.Title.Text = "Response time over ideal"
	pl.X.Label.Text = "percentile"
	pl.Y.Label.Text = "response time / ideal"
	pl.Legend.Top = true
	pl.Legend.Left = true
	for i, rep := range reports {
		pts := make(plotter.XYs, 0, 100)
		for q := 1.0; q < 100; q++ {
			pts = append(pts, plotter.XY{X: q, Y: rep.quantile(q)})
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return fmt.Errorf("draw the curve of policy %s: %w", rep.Policy, err)
		}
		line.Color = plotutil.Color(i)
		pl.Add(line)
		pl.Legend.Add(fmt.Sprintf("%s, %s, load %.2f", rep.Policy, rep.Options.Scenario, rep.Options.Load), line)
	}
	const width, height = 18 * vg.Centimeter, 12 * vg.Centimeter
	if err := pl.Save(width, height, file); err != nil {
		return fmt.Errorf("write the plot: %w", err)
	}
	return nil
}
