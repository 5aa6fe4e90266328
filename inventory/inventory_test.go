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
		Convey("The example "+name+" holds together and survives its canonical form", t, func() {
			inv, err := Parse(name, example(t, name))
			So(err, ShouldBeNil)
			again, err := Parse(name, Format(inv))
			So(err, ShouldBeNil)
			So(again, ShouldResemble, inv)
			So(Diff(inv, again), ShouldBeEmpty)
		})
	}
}

func TestAllFindingsAtOnce(t *testing.T) {
	Convey("A document with many faults gets a finding for each, at its line", t, func() {
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
	Convey("A bound of as many attempts as services in the longest chain is accepted, one less is not", t, func() {
		inv := sized(11)
		inv.Attempts.Bound = 11
		_, err := Parse("chain.yaml", Format(inv))
		So(err, ShouldBeNil)
		inv.Attempts.Bound = 10
		_, err = Parse("chain.yaml", Format(inv))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "a bound of 10 attempts is below the 11 services of the longest chain of calls")
	})
}
