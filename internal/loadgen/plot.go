package loadgen

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes two PNG files, prefix-goodput.png and prefix-p99.png, with one
// line per report.
func Plot(prefix string, reports []*Report) error {
	charts := []struct {
		name, label string
		value       func(Point) float64
	}{
		{"goodput", "complete responses per second", func(p Point) float64 { return float64(p.Goodput) }},
		{"p99", "p99 latency in ms", func(p Point) float64 { return p.P99 }},
	}
	for _, c := range charts {
		p := plot.New()
		p.Title.Text = reports[0].Scenario
		p.X.Label.Text = "s"
		p.Y.Label.Text = c.label
		p.Y.Min = 0
		p.Legend.Top = true
		p.Add(plotter.NewGrid())
		for i, r := range reports {
			points := make(plotter.XYs, len(r.Series))
			for j, pt := range r.Series {
				points[j].X, points[j].Y = float64(pt.Second), c.value(pt)
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return fmt.Errorf("plot %s of %q: %w", c.name, r.Label, err)
			}
			line.Color = plotutil.Color(i)
			p.Add(line)
			p.Legend.Add(r.Label, line)
		}
		if err := p.Save(8*vg.Inch, 4*vg.Inch, prefix+"-"+c.name+".png"); err != nil {
			return fmt.Errorf("write plot: %w; choose a writable path", err)
		}
	}
	return nil
}
