package inventory

import (
	"bytes"
	"compress/gzip"
	"errors"
	"flag"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/finding"
)

// init fixes the seed so that each run gives the same result. The flag
// -rapid.seed on the command line takes precedence.
func init() { _ = flag.Set("rapid.seed", "1") }

// FuzzParse checks Parse on arbitrary bytes: it never panics, each finding has a
// file and a line, and an accepted inventory is unchanged after it was formatted
// and parsed again.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"lindenhuber.yaml", "strandstoll.yaml", "../inventory/testdata/faults.yaml"} {
		f.Add(example(f, name))
	}
	f.Add([]byte("classes: [a]\nattempts: &x {bound: 4}\nservices: *x\n"))
	f.Add([]byte("a: 1\n---\nb: 2\n"))
	f.Add([]byte("? [complex, key]\n: 1\n<<: {a: b}\n"))
	f.Add([]byte{0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 0xff, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, err := Parse("fuzz.yaml", data)
		if err != nil {
			checkLocations(t, err)
			return
		}
		checkRoundTrip(t, inv)
	})
}

func checkLocations(t interface{ Fatalf(string, ...any) }, err error) {
	var list *finding.List
	if !errors.As(err, &list) {
		t.Fatalf("error of type %T, want *finding.List: %v", err, err)
	}
	for _, f := range list.Findings() {
		if f.File == "" || f.Line < 1 || f.Message == "" {
			t.Fatalf("finding without file, line or message: %#v", f)
		}
	}
}

func checkRoundTrip(t interface{ Fatalf(string, ...any) }, inv *Inventory) {
	text := Format(inv)
	reparsed, err := Parse("canonical.yaml", text)
	if err != nil {
		t.Fatalf("canonical form doesn't parse: %v\n%s", err, text)
	}
	if !reflect.DeepEqual(inv, reparsed) {
		t.Fatalf("canonical form parses to another inventory:\n%s", text)
	}
	if !bytes.Equal(Format(reparsed), text) {
		t.Fatalf("canonical form isn't stable:\n%s", text)
	}
}

// TestDocumentsOfFields builds documents from fields in all states: valid,
// missing, duplicate, of the wrong type or unit. The checks are those of
// FuzzParse, on inputs most of which are valid YAML.
func TestDocumentsOfFields(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		inv, err := Parse("drawn.yaml", []byte(document))
		if err != nil {
			checkLocations(t, err)
			return
		}
		accepted++
		checkRoundTrip(t, inv)
		compressed, err := Encode([]byte(document + strings.Repeat("\n", CompressAboveBytes)))
		if err != nil {
			t.Fatal(err)
		}
		other, err := Parse("drawn.yaml", compressed)
		if err != nil || !reflect.DeepEqual(inv, other) {
			t.Fatalf("compressed document parses to another inventory: %v", err)
		}
	})
	if accepted == 0 {
		t.Error("no generated document was accepted, so no canonical form was checked")
	}
}

func drawDocument(t *rapid.T) string {
	valid := rapid.IntRange(0, 2).Draw(t, "valid") > 0
	value := func(good ...string) string {
		if !valid && rapid.IntRange(0, 7).Draw(t, "fault") == 0 {
			return rapid.SampledFrom([]string{"", "~", "-1", "3", "5s", "[a]", "{a: b}", "null", "yes", "*x", "&x a", "9999999999999999999", "!!binary aGk="}).Draw(t, "bad")
		}
		return rapid.SampledFrom(good).Draw(t, "good")
	}
	var out strings.Builder
	fmt.Fprintf(&out, "classes: %s\n", value("[a]", "[a, b]", `[b, a, "null"]`))
	fmt.Fprintf(&out, "attempts: {bound: %s}\n", value("8", "20"))
	fmt.Fprintf(&out, "retry:\n  max-per-call: %s\n  backoff-min: %s\n", value("1", "3"), value("1ms", "20ms"))
	names := []string{"first", "second", "third", "fourth"}
	fmt.Fprintf(&out, "callers:\n  - {name: %s, share: %s}\n", value("x", "true", "n"), value("1", "7"))
	out.WriteString("services:\n")
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		fmt.Fprintf(&out, "  - name: %s\n", value(names[i]))
		fmt.Fprintf(&out, "    contract: {slots: %s, connections: %s, drain: %s}\n", value("3", "70"), value("70", "500"), value("10s", "1m"))
		if i > 0 {
			fmt.Fprintf(&out, "    calls: %s\n", value("[]", "["+strings.Join(names[:i], ", ")+"]"))
		}
		out.WriteString("    operations:\n")
		for j := range rapid.IntRange(1, 3).Draw(t, "operations") {
			fmt.Fprintf(&out, "      - {name: op-%d, class: %s, deadline: %s, %s: %s}\n", j, value("a"), value("1s", "250ms"),
				value("repeatable", "at-most-once"), value("true", "false"))
		}
	}
	return out.String()
}

// TestHostileDocuments checks that Parse returns an error for decompression bombs,
// for documents of too many bytes, nodes, levels or unknown fields, and for one
// whose root is not a mapping.
func TestHostileDocuments(t *testing.T) {
	var bomb bytes.Buffer
	writer := gzip.NewWriter(&bomb)
	for range 64 {
		_, _ = writer.Write(make([]byte, 1<<20))
	}
	_ = writer.Close()
	for name, document := range map[string][]byte{
		"compressed zeros": bomb.Bytes(),
		"too long":         bytes.Repeat([]byte("#"), MaxExpandedBytes+1),
		"too many nodes":   bytes.Repeat([]byte("a,"), MaxDelimiters),
		"too deep":         bytes.Repeat([]byte("["), MaxDelimiters-1),
		"a list as root":   []byte(strings.Repeat("- x\n", 5)),
		"unknown fields":   unknownFields(5 * finding.MaxFindings),
	} {
		_, err := Parse(name, document)
		if err == nil {
			t.Errorf("%s: accepted", name)
			continue
		}
		checkLocations(t, err)
	}
}

func unknownFields(count int) []byte {
	var out bytes.Buffer
	for i := range count {
		fmt.Fprintf(&out, "field-%d: 1\n", i)
	}
	return out.Bytes()
}

// designServices is the number of services that the system is designed for.
const designServices = 950

// chainedInventory returns an inventory with the number of services, which call
// each other in chains of 11.
func chainedInventory(services int) *Inventory {
	inv := &Inventory{Classes: []string{"paid", "lookups", "browsing"}, Attempts: Attempts{Bound: 32},
		Retry: Retry{BudgetPercent: 10, MaxPerCall: 2, BackoffMin: DefaultBackoffMin, BackoffMax: DefaultBackoffMax}}
	for i := range services {
		service := Service{Name: fmt.Sprintf("service-%03d", i), Contract: Contract{Slots: 70, Connections: 500, Drain: DefaultDrain}}
		if i%11 != 0 {
			service.Calls = []string{fmt.Sprintf("service-%03d", i-1)}
		}
		for j := range 6 {
			service.Operations = append(service.Operations, Operation{Name: fmt.Sprintf("operation-%d", j), Deadline: DefaultDrain / 3})
		}
		inv.Services = append(inv.Services, service)
	}
	return inv
}

// TestFullSize checks that an inventory of the size that the system is designed
// for stays below the limits on a document, with half of the stored size free.
func TestFullSize(t *testing.T) {
	text := Format(chainedInventory(designServices))
	stored, err := Encode(text)
	if err != nil || len(stored) > MaxDocumentBytes/2 {
		t.Fatalf("%d bytes stored, error %v", len(stored), err)
	}
	inv, err := Parse("full.yaml", stored)
	if err != nil {
		t.Fatal(err)
	}
	checkRoundTrip(t, inv)
}

// BenchmarkParse shows how time and memory of Parse grow with the number of
// services.
func BenchmarkParse(b *testing.B) {
	for _, services := range []int{4, 100, 300, designServices} {
		text := Format(chainedInventory(services))
		b.Run(fmt.Sprintf("services-%d", services), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, err := Parse("full.yaml", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
