package status

import (
	"fmt"
	"slices"
)

// boundary is the boundary of admission of a target: all classes that are more
// important than the named one pass, and the share of that one.
type boundary struct {
	class string // "" if all pass
	share float64
}

// String returns the boundary for tables.
func (b boundary) String() string {
	if b.class == "" {
		return "all"
	}
	return fmt.Sprintf("%s %.0f%%", b.class, 100*b.share)
}

// stricter reports whether the boundary lets fewer calls pass than the other.
func (b boundary) stricter(other boundary, classes *classCounts) bool {
	switch {
	case b.class == "":
		return false
	case other.class == "":
		return true
	case b.class != other.class:
		return slices.Index(classes.order, b.class) < slices.Index(classes.order, other.class)
	default:
		return b.share < other.share
	}
}
