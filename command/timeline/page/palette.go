package page

// colours of the lines; they differ in lightness too.
var colours = []string{"#0b5cad", "#d9730d", "#1b7f4b", "#8e3fa8", "#b3261e", "#00808a", "#7a5c00", "#4a4a4a"}

// palette gives each name the same colour in all panels.
type palette map[string]string

// newPalette gives colours to the names in the order in which panels show them;
// panels of the same kind of names share colours.
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
