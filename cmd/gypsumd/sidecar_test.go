package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node"
)

// Guards against a misspelt value that silently leaves spillover on.
func TestSpilloverVariable(t *testing.T) {
	for value, off := range map[string]bool{"": false, "on": false, "off": true} {
		Convey("Value "+value, t, func() {
			t.Setenv(spilloverVariable, value)
			var s node.Settings
			So(readVariables(&s), ShouldBeNil)
			So(s.WithoutSpillover, ShouldEqual, off)
		})
	}
	Convey("Any other value is an error that names the variable", t, func() {
		t.Setenv(spilloverVariable, "no")
		So(readVariables(&node.Settings{}), ShouldNotBeNil)
		So(readVariables(&node.Settings{}).Error(), ShouldContainSubstring, `GYPSUM_SPILLOVER: want on or off, got "no"`)
	})
}
