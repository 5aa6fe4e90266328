package status

import (
	"fmt"
	"slices"
)

// boundary is the boundary of admission of a target. It admits all calls of the
// classes that are more important than class, and the share of the calls of class.
type boundary struct {
	class string  // "" if all calls are admitted
	share float64 // from 0 to 1
}

// String returns the boundary as the tables show it.
func (b boundary) String() string {
	if b.class == "" {
		return "all"
	}
	return fmt.Sprintf("%s %.0f%%", b.class, 100*b.share)
}

// stricter reports whether the boundary admits fewer calls than the other.
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
