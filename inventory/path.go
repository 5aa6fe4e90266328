package inventory

import (
	"fmt"

	"go.yaml.in/yaml/v3"
)

// join returns the path of a field below a path.
func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// index returns the path of an entry without a name.
func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// clip shortens a text of the input for a message.
func clip(text string) string {
	const longest = 80
	if len(text) <= longest {
		return text
	}
	return text[:longest] + "..."
}

// kindName names the kind of a node for a message.
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
