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

// nameWidth is the width of a figure's name in the printed table.
const nameWidth = 44

// read takes the figures that add has printed into a file. Other lines are passed
// over; of a figure that stands there twice the last one counts.
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

// fileName makes a figure's name that of a file.
var fileName = strings.NewReplacer(" ", "-", "%", "", ",", "")

// plot writes one SVG for each figure that has at least three sizes. Of the times of
// a spread it draws those of the last node.
func (r *report) plot(dir string) error {
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
		file := filepath.Join(dir, fileName.Replace(name)+".svg")
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
