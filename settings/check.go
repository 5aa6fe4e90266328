package settings

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Check checks a parsed value. It returns nil if the value is valid, and otherwise
// an error that says what is wrong. Defaults are checked, too.
type Check[T any] func(value T) error

// MaxNameLength is the length in bytes of the longest name that Name accepts.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Required is a check that accepts any value but the empty one.
func Required(value string) error {
	if value == "" {
		return errors.New("required, but not set")
	}
	return nil
}

// RequiredList is a check that accepts any list but the empty one.
func RequiredList(values []string) error {
	if len(values) == 0 {
		return errors.New("required, but not set")
	}
	return nil
}

// Name is a check that accepts the empty value and names of lower-case letters,
// digits, dots, hyphens and underscores.
func Name(value string) error {
	if value == "" {
		return nil
	}
	if len(value) > MaxNameLength || !namePattern.MatchString(value) {
		return fmt.Errorf("%q is not a valid name: want at most %d lower-case letters, digits, '.', '-' or '_', the first a letter or digit", value, MaxNameLength)
	}
	return nil
}

// Between returns a check that accepts values from lowest to highest.
func Between[T cmp.Ordered](lowest, highest T) Check[T] {
	return func(value T) error {
		if value < lowest || value > highest {
			return fmt.Errorf("%v is out of bounds, from %v to %v are allowed", value, lowest, highest)
		}
		return nil
	}
}

// OneOf returns a check that accepts only the given values.
func OneOf(allowed ...string) Check[string] {
	return func(value string) error {
		if !slices.Contains(allowed, value) {
			return fmt.Errorf("%q is not one of %s", value, strings.Join(allowed, ", "))
		}
		return nil
	}
}
