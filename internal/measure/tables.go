package measure

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
)

// MarkdownTables returns the tables of docs/CAPACITY.md in Markdown, one for each
// series with a saved result: the measured values, the fitted line and its value at
// the target size. Series without a saved result are omitted.
func MarkdownTables(dir string) (string, error) {
	var b strings.Builder
	for _, s := range AllSeries() {
		result, err := LoadResult(dir, s.Name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return "", err
		}
		writeTable(&b, s, result)
	}
	return b.String(), nil
}

func writeTable(b *strings.Builder, s Series, result Result) {
	fmt.Fprintf(b, "### %s: by %s\n\n", s.Name, s.Size)
	fmt.Fprintf(b, "| figure | measured at | values | at size 0 | for each unit | R² | at %.0f |\n", s.Target)
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for i, m := range s.Metrics {
		var points []Point
		var sizes, values []string
		for _, p := range result.Points {
			points = append(points, Point{Size: p.Size, Value: p.Values[i]})
			sizes = append(sizes, fmt.Sprintf("%.0f", p.Size))
			values = append(values, fmt.Sprintf("%.3g", p.Values[i]))
		}
		f := FitLine(points)
		fmt.Fprintf(b, "| %s, %s | %s | %s | %.3g ± %.2g | %.3g ± %.2g | %.3f | %.3g |\n", m.Name, m.Unit,
			strings.Join(sizes, ", "), strings.Join(values, ", "), f.Base, f.BaseError, f.Slope, f.SlopeError, f.R2, f.At(s.Target))
	}
	b.WriteString("\n")
}
