package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// figure is one measured value.
type figure struct {
	name  string // what was measured; figures of the same name form one plot
	size  int    // number of members or nodes
	value float64
	unit  string
}

// report prints each figure when it is added and keeps it for the plots.
type report struct {
	out     io.Writer
	figures []figure
}

func (r *report) add(name string, size int, value float64, unit string) {
	r.figures = append(r.figures, figure{name, size, value, unit})
	fmt.Fprintf(r.out, "%-44s %6d  %14.5g %s\n", name, size, value, unit)
}

// nameWidth is the width of the column of names that add prints, in bytes.
const nameWidth = 44

// read adds the figures from a file with the output of earlier runs. It skips lines
// that aren't figures. A later figure replaces an earlier one of the same name and size.
func (r *report) read(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if len(line) <= nameWidth {
			continue
		}
		f := figure{name: strings.TrimSpace(line[:nameWidth])}
		if _, err := fmt.Sscan(line[nameWidth:], &f.size, &f.value, &f.unit); err != nil {
			continue
		}
		_, f.unit, _ = strings.Cut(line[nameWidth:], strconv.FormatFloat(f.value, 'g', 5, 64)+" ")
		r.figures = slices.DeleteFunc(r.figures, func(old figure) bool { return old.name == f.name && old.size == f.size })
		r.figures = append(r.figures, f)
	}
	return nil
}

// plotFileName turns the name of a figure into a file name without extension.
var plotFileName = strings.NewReplacer(" ", "-", "%", "", ",", "")

// writePlots writes one SVG file for each name that has figures of at least three sizes.
// Of propagation times it plots only those of the last node, not of half of the nodes.
func (r *report) writePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	series := map[string][]figure{}
	for _, f := range r.figures {
		series[f.name] = append(series[f.name], f)
	}
	for name, figures := range series {
		if len(figures) < 3 || strings.HasSuffix(name, " half") {
			continue
		}
		file := filepath.Join(dir, plotFileName.Replace(name)+".svg")
		if err := os.WriteFile(file, []byte(drawPlot(name, figures)), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func sortedBySize(figures []figure) []figure {
	figures = slices.Clone(figures)
	slices.SortFunc(figures, func(a, b figure) int { return a.size - b.size })
	return figures
}
