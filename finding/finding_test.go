package finding

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestList(t *testing.T) {
	Convey("Findings are printed in the order of file, line and field", t, func() {
		var list List
		So(list.Err(), ShouldBeNil)
		list.Addf("b", 1, "x", "one")
		list.Addf("a", 10, "x", "two")
		list.Addf("a", 9, "", "three")
		list.Addf("", 0, "-flag", "four")
		So(list.Err().Error(), ShouldEqual, "-flag: four\na:9: three\na:10: x: two\nb:1: x: one")
	})
	Convey("A list stores a bounded number of findings and counts the others", t, func() {
		var list List
		for i := range MaxFindings + 5 {
			list.Addf("a", i+1, "", "x")
		}
		So(list.Len(), ShouldEqual, MaxFindings+5)
		So(strings.Count(list.String(), "\n"), ShouldEqual, MaxFindings)
		So(list.String(), ShouldEndWith, fmt.Sprintf("and %d more findings", 5))
	})
}
