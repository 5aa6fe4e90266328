package inventory

import (
	"fmt"

	"go.yaml.in/yaml/v3"
)

// joinPath returns the path of a field of the entry at the given path.
func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// indexPath returns the path of a list's entry by its position, for an entry
// whose name is not known.
func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// truncate shortens a text from the document so that it fits into a message.
func truncate(text string) string {
	const maxBytes = 80
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}

// kindName returns a description of the node's kind for a message.
func kindName(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a group of fields"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	default:
		return "a single value"
	}
}
