package inventory

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestReferencePage checks that docs/CONFIGURATION.md has a row for each field,
// with the bounds and the default that the code uses.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range sourceFields(t) {
		if !strings.Contains(string(page), "\n| `"+field+"` |") {
			t.Errorf("field %s has no row", field)
		}
	}
	for _, row := range expectedRows() {
		if !strings.Contains(string(page), "\n"+row) {
			t.Errorf("no row begins with %s", row)
		}
	}
}

// sourceFields returns the names of the fields that parse.go reads.
func sourceFields(t *testing.T) []string {
	source, err := os.ReadFile("parse.go")
	if err != nil {
		t.Fatal(err)
	}
	var fields []string
	pattern := regexp.MustCompile(`\.(?:require|take|int|requireInt|duration|requireDuration|bool)\("([a-z-]+)"`)
	for _, match := range pattern.FindAllStringSubmatch(string(source), -1) {
		fields = append(fields, match[1])
	}
	if len(fields) < 20 {
		t.Fatalf("only %d fields found in the parser", len(fields))
	}
	return fields
}

func expectedRows() []string {
	number := func(field string, b intBounds, fallback any) string {
		return fmt.Sprintf("| `%s` | %d to %d | %v |", field, b.lowest, b.highest, fallback)
	}
	duration := func(field string, b durationBounds, fallback any) string {
		return fmt.Sprintf("| `%s` | %s to %s | %v |", field, b.shortest, b.longest, fallback)
	}
	return []string{
		number("bound", attemptsBounds, "required"),
		number("budget-percent", budgetBounds, DefaultBudgetPercent),
		number("max-per-call", maxPerCallBounds, DefaultMaxPerCall),
		duration("backoff-min", backoffBounds, DefaultBackoffMin),
		duration("backoff-max", backoffBounds, DefaultBackoffMax),
		number("share", shareBounds, DefaultShare),
		number("slots", slotsBounds, "required"),
		number("connections", connectionsBounds, "required"),
		duration("connection-cost", costBounds, DefaultConnectionCost),
		duration("probe-cost", costBounds, DefaultProbeCost),
		duration("cold-start", coldStartBounds, DefaultColdStart),
		duration("drain", drainBounds, DefaultDrain),
		duration("deadline", deadlineBounds, "required"),
		number("attempts", attemptsBounds, "`attempts.bound`"),
		fmt.Sprintf("| `callers` | list of at most %d entries |", MaxCallers),
		fmt.Sprintf("| `services` | list of 1 to %d entries |", MaxServices),
		fmt.Sprintf("| `calls` | list of at most %d names |", MaxCalls),
		fmt.Sprintf("| `operations` | list of 1 to %d entries |", MaxOperations),
		fmt.Sprintf("| a chain of `calls` of more than %d services |", MaxDepth),
	}
}
