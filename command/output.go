package command

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/settings"
)

// Output formats of the flag -o.
const (
	Text = "text"
	JSON = "json"
	HTML = "html"
)

// Default and bounds of the flag -timeout.
const (
	defaultTimeout = 10 * time.Second
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
)

// OutputFlag declares the flag -o with the formats that the verb supports.
func OutputFlag(set *settings.Set, formats ...string) *string {
	return set.String("o", Text, "output format: "+joinFormats(formats), settings.OneOf(formats...))
}

// TimeoutFlag declares the flag -timeout.
func TimeoutFlag(set *settings.Set) *time.Duration {
	return set.Duration("timeout", defaultTimeout, "longest time that the command takes",
		settings.Between(minTimeout, maxTimeout))
}

// PlatformFlag declares the flag -platform, which is required.
func PlatformFlag(set *settings.Set) *string {
	return set.URL("platform", "", "URL of the platform's store, such as http://10.0.0.1:7000", settings.Required)
}

// NodeFlag declares the flag -node, which is required.
func NodeFlag(set *settings.Set) *string {
	return set.HostPort("node", "", "peer address of any node that runs, such as 10.0.0.7:7100", settings.Required)
}

// WriteJSON writes the value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(value), "write the output")
}

// Count returns a count with its noun, such as "1 change" or "2 changes".
func Count(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func joinFormats(formats []string) string {
	text := formats[0]
	for _, format := range formats[1:] {
		text += ", " + format
	}
	return text
}
