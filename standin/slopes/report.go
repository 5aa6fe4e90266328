package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// figure is one measured value.
type figure struct {
	name  string // what was measured, one plot for each
	size  int    // members or nodes
	value float64
	unit  string
}

// report prints figures as they come and keeps them for the plots.
type report struct {
	out     io.Writer
	figures []figure
}

func (r *report) add(name string, size int, value float64, unit string) {
	r.figures = append(r.figures, figure{name, size, value, unit})
	fmt.Fprintf(r.out, "%-44s %6d  %14.5g %s\n", name, size, value, unit)
}

// plot writes one SVG for each figure that has at least three sizes.
func (r *report) plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	series := map[string][]figure{}
	for _, f := range r.figures {
		series[f.name] = append(series[f.name], f)
	}
	for name, figures := range series {
		if len(figures) < 3 {
			continue
		}
		file := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".svg")
		if err := os.WriteFile(file, []byte(drawPlot(name, figures)), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func sorted(figures []figure) []figure {
	figures = slices.Clone(figures)
	slices.SortFunc(figures, func(a, b figure) int { return a.size - b.size })
	return figures
}
