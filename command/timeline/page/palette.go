package page

// colours are the colours of lines. They differ in hue and in lightness.
var colours = []string{"#0b5cad", "#d9730d", "#1b7f4b", "#8e3fa8", "#b3261e", "#00808a", "#7a5c00", "#4a4a4a"}

// palette maps the name of a line to its colour, which is the same in all panels.
type palette map[string]string

// newPalette assigns colours to the names of each group of panels, in the order in
// which the panels show them. Names in different groups may have the same colour.
func newPalette(groups ...[]panel) palette {
	p := palette{}
	for _, group := range groups {
		next := 0
		for _, panel := range group {
			for _, line := range panel.lines {
				if p[line.name] == "" {
					p[line.name] = colours[next%len(colours)]
					next++
				}
			}
		}
	}
	return p
}

func (p palette) of(name string) string { return p[name] }
