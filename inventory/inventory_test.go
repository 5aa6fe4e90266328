package inventory

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/finding"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"lindenhuber.yaml", "strandstoll.yaml"} {
		Convey("The example "+name+" is valid and unchanged after it was formatted and parsed again", t, func() {
			inv, err := Parse(name, example(t, name))
			So(err, ShouldBeNil)
			reparsed, err := Parse(name, Format(inv))
			So(err, ShouldBeNil)
			So(reparsed, ShouldResemble, inv)
			So(Diff(inv, reparsed), ShouldBeEmpty)
		})
	}
}

func TestAllFindingsAtOnce(t *testing.T) {
	Convey("A document with many faults has a finding for each, at its line", t, func() {
		data, err := os.ReadFile(filepath.Join("testdata", "faults.yaml"))
		So(err, ShouldBeNil)
		_, err = Parse("faults.yaml", data)
		var list *finding.List
		So(errors.As(err, &list), ShouldBeTrue)
		want, err := os.ReadFile(filepath.Join("testdata", "faults.golden"))
		So(err, ShouldBeNil)
		So(list.String()+"\n", ShouldEqual, string(want))
	})
}

func TestAttemptsMustCoverTheChain(t *testing.T) {
	Convey("A bound is accepted if it allows one attempt for each service of the longest chain, but not one less", t, func() {
		inv := chainedInventory(11)
		inv.Attempts.Bound = 11
		_, err := Parse("chain.yaml", Format(inv))
		So(err, ShouldBeNil)
		inv.Attempts.Bound = 10
		_, err = Parse("chain.yaml", Format(inv))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "a bound of 10 attempts is below the 11 services of the longest chain of calls")
	})
}
