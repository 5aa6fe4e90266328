package scenario_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/standin/scenario"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		s, err := scenario.Parse("file", d.Input)
		if err != nil {
			return err.Error() + "\n"
		}
		return s.Inventory()
	})
}

func TestShippedScenarios(t *testing.T) {
	Convey("Each shipped scenario parses, and its inventory has no findings", t, func() {
		files, err := filepath.Glob("../scenarios/*.scenario")
		So(err, ShouldBeNil)
		demos, err := filepath.Glob("../scenarios/demo/*.scenario")
		So(err, ShouldBeNil)
		So(len(files), ShouldBeGreaterThan, 10)
		for _, file := range append(files, demos...) {
			text, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			s, err := scenario.Parse(file, string(text))
			So(err, ShouldBeNil)
			_, findings := inventory.Parse(file, []byte(s.Inventory()))
			So(findings, ShouldBeNil)
		}
	})
}

func TestCost(t *testing.T) {
	Convey("The cost of an operation includes each of its child calls", t, func() {
		s, err := scenario.Parse("file", `
name n
length 1s
classes a
service top
service deep slots 2
operation top/x class a time 1ms calls deep/y,deep/y
operation deep/y class a time 5ms`)
		So(err, ShouldBeNil)
		So(s.Cost("top/x", "deep"), ShouldEqual, 10*time.Millisecond)
		So(s.Cost("top/x", "top"), ShouldEqual, time.Millisecond)
	})
}

func TestMatching(t *testing.T) {
	Convey("The object of an action selects targets", t, func() {
		s, err := scenario.Parse("file", "name n\nlength 1s\nservice a targets 2\nservice b")
		So(err, ShouldBeNil)
		So(s.MatchingTargets("a", 0), ShouldResemble, []string{"a-1", "a-2"})
		So(s.MatchingTargets("a-2", 0), ShouldResemble, []string{"a-2"})
		So(s.MatchingTargets("a-next", 3), ShouldResemble, []string{"a-2"})
		So(s.MatchingTargets("all", 0), ShouldResemble, []string{"a-1", "a-2", "b-1"})
		So(s.MatchingTargets("all-next", 1), ShouldResemble, []string{"b-1"})
		So(s.MatchingTargets("c", 0), ShouldBeEmpty)
	})
}
