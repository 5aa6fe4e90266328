package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// MaxListLength is the largest number of entries of a setting that is a list.
const MaxListLength = 64

// String declares a setting of any text.
func (s *Set) String(name, defaultValue, usage string, checks ...Check[string]) *string {
	return declare(s, name, "text", usage, defaultValue, parseText, checks)
}

// Bool declares a setting that is true or false. Its default is false; the flag
// without a value means true.
func (s *Set) Bool(name, usage string) *bool {
	value := declare(s, name, "true or false", usage, "false", parseBool, nil)
	s.settings[len(s.settings)-1].isBool = true
	return value
}

// Int declares a setting that is a whole number.
func (s *Set) Int(name string, defaultValue int, usage string, checks ...Check[int]) *int {
	return declare(s, name, "number", usage, strconv.Itoa(defaultValue), parseInt, checks)
}

// Duration declares a setting that is a duration with a unit, such as "250ms".
func (s *Set) Duration(name string, defaultValue time.Duration, usage string, checks ...Check[time.Duration]) *time.Duration {
	return declare(s, name, "duration", usage, defaultValue.String(), parseDuration, checks)
}

// HostPort declares a setting that is an address such as "10.0.0.7:7100". Port 0
// is allowed: a listener then chooses a free port.
func (s *Set) HostPort(name, defaultValue, usage string, checks ...Check[string]) *string {
	return declare(s, name, "host:port", usage, defaultValue, parseHostPort, checks)
}

// HostPorts declares a setting that is a list of addresses, separated by commas.
func (s *Set) HostPorts(name, defaultValue, usage string, checks ...Check[[]string]) *[]string {
	return declare(s, name, "host:port,...", usage, defaultValue, parseHostPorts, checks)
}

// URL declares a setting that is an absolute http or https URL. Slashes at the end
// are removed from the value.
func (s *Set) URL(name, defaultValue, usage string, checks ...Check[string]) *string {
	return declare(s, name, "URL", usage, defaultValue, parseURL, checks)
}

// declare adds a setting and returns a pointer to its value. Set.Parse parses the
// text of the setting with parse, applies the checks, and stores the value there.
func declare[T any](s *Set, name, kind, usage, defaultText string, parse func(string) (T, error), checks []Check[T]) *T {
	value := new(T)
	assign := func(text string) error {
		parsed, err := parse(text)
		if err != nil {
			return err
		}
		for _, check := range checks {
			if err := check(parsed); err != nil {
				return err
			}
		}
		*value = parsed
		return nil
	}
	s.settings = append(s.settings, &setting{
		name: name, kind: kind, usage: usage, defaultText: defaultText, assign: assign,
	})
	return value
}

func parseText(text string) (string, error) { return text, nil }

func parseBool(text string) (bool, error) {
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("%q is neither true nor false", text)
	}
	return value, nil
}

func parseInt(text string) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%q is no whole number", text)
	}
	return value, nil
}

func parseDuration(text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is no duration with a unit, such as 250ms, 5s or 1m30s", text)
	}
	return value, nil
}

func parseHostPort(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return "", fmt.Errorf("%q is no host:port", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return "", fmt.Errorf("%q: port %q is no number from 0 to 65535", text, port)
	}
	return text, nil
}

func parseHostPorts(text string) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	parts := strings.Split(text, ",")
	if len(parts) > MaxListLength {
		return nil, fmt.Errorf("%d entries, at most %d are allowed", len(parts), MaxListLength)
	}
	addresses := make([]string, 0, len(parts))
	for _, part := range parts {
		address, err := parseHostPort(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if address == "" {
			return nil, fmt.Errorf("%q has an empty entry", text)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func parseURL(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return "", fmt.Errorf("%q is no URL such as http://10.0.0.1:7000", text)
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" {
		return "", fmt.Errorf("%q: a query or fragment is not allowed", text)
	}
	return strings.TrimRight(text, "/"), nil
}
