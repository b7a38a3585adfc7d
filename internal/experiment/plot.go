package experiment

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes within a plot. The line at 0 extends by zeroLineOverhang of a row beyond the first and
// the last row.
const (
	plotWidth        = 20 * vg.Centimeter
	rowHeight        = 0.9 * vg.Centimeter
	plotMargin       = 3 * vg.Centimeter
	pointRadius      = 2.5
	zeroLineOverhang = 0.55
)

// errorBarData holds differences and their intervals; it implements plotter.XYer and
// plotter.XErrorer.
type errorBarData struct {
	plotter.XYs
	plotter.XErrors
}

// Plot writes a plot of the differences to the first variant, with their 95 % intervals, to a
// file in the format that its extension names: .svg, .png or .pdf.
func Plot(r *Report, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: service, difference to %s over %d seeds", r.Scenario, r.Variants[0].Name, r.Seeds)
	p.X.Label.Text = "share of the worth asked for; bars are 95 % intervals"
	n := len(r.Variants) - 1
	names := make([]string, n)
	data := errorBarData{XYs: make(plotter.XYs, n), XErrors: make(plotter.XErrors, n)}
	for i, v := range r.Variants[1:] {
		// The first variant is at the top.
		rowIndex := n - 1 - i
		names[rowIndex] = fmt.Sprintf("%s (%.3f)", v.Name, v.Median)
		data.XYs[rowIndex] = plotter.XY{X: v.Difference, Y: float64(rowIndex)}
		data.XErrors[rowIndex].Low, data.XErrors[rowIndex].High = -v.Margin, v.Margin
	}
	bars, err := plotter.NewXErrorBars(data)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	points, err := plotter.NewScatter(data.XYs)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	points.Radius = vg.Points(pointRadius)
	points.Color = color.RGBA{R: 30, G: 90, B: 160, A: 255}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -zeroLineOverhang}, {X: 0, Y: float64(n) - 1 + zeroLineOverhang}})
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	zero.Color = color.Gray{Y: 150}
	p.Add(zero, bars, points)
	p.NominalY(names...)
	if err := p.Save(plotWidth, plotMargin+rowHeight*vg.Length(n), file); err != nil {
		return fmt.Errorf("plot: %w; use a name that ends with .svg, .png or .pdf", err)
	}
	return nil
}
