package settings

import (
	"bytes"
	"errors"
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/finding"
)

// environment is a fixed set of environment variables.
type environment map[string]string

func (e environment) get(name string) string { return e[name] }

func TestPrecedence(t *testing.T) {
	Convey("A flag takes precedence over its variable, the variable over the default", t, func() {
		set := New("daemon", environment{"GYPSUM_PEER_ADDRESS": "b:2", "GYPSUM_SLOTS": "5", "GYPSUM_LEASE": ""}.get)
		address := set.HostPort("peer-address", "a:1", "address")
		slots := set.Int("slots", 3, "slots", Between(1, 10))
		lease := set.Duration("lease", time.Second, "lease")
		seeds := set.HostPorts("seeds", "", "seeds")
		verbose := set.Bool("verbose", "more")
		file := set.Argument("FILE", "file")
		So(set.Parse([]string{"-slots=7", "name", "-seeds", "c:1, d:2", "-verbose"}), ShouldBeNil)
		So(*address, ShouldEqual, "b:2")
		So(*slots, ShouldEqual, 7)
		So(*lease, ShouldEqual, time.Second)
		So(*seeds, ShouldResemble, []string{"c:1", "d:2"})
		So(*verbose, ShouldBeTrue)
		So(*file, ShouldEqual, "name")
	})
}

func TestAllFindingsAtOnce(t *testing.T) {
	Convey("All invalid values are reported together, with the flag or the variable", t, func() {
		set := New("daemon", environment{"GYPSUM_LEASE": "5", "GYPSUM_PLATFORM": "ftp://x"}.get)
		set.HostPort("peer-address", "", "address", Required)
		set.Int("slots", 3, "slots", Between(1, 10))
		set.Duration("lease", time.Second, "lease")
		set.URL("platform", "", "platform")
		set.HostPorts("seeds", "", "seeds")
		set.String("domain", "", "domain", Name)
		err := set.Parse([]string{"-slots", "11", "-nothing", "value", "-seeds", "a:1,,b:99999", "extra", "-domain", "Not A Name"})
		var list *finding.List
		So(errors.As(err, &list), ShouldBeTrue)
		places := make(map[string]int)
		for _, f := range list.Findings() {
			places[f.Field]++
		}
		So(places, ShouldResemble, map[string]int{
			"":                                     2, // the unknown flag and the surplus argument
			"-slots":                               1,
			"GYPSUM_LEASE":                         1,
			"-seeds":                               1,
			"-domain":                              1,
			"-peer-address or GYPSUM_PEER_ADDRESS": 1,
			"GYPSUM_PLATFORM":                      1,
		})
		var out, errs bytes.Buffer
		So(set.Report(err, &out, &errs), ShouldEqual, ExitUsage)
		So(out.Len(), ShouldEqual, 0)
		So(errs.String(), ShouldContainSubstring, "-slots: 11 is out of bounds, from 1 to 10 are allowed")
	})
}

func TestHelp(t *testing.T) {
	Convey("-help adds no finding, and the help states variables, defaults and precedence", t, func() {
		set := New("daemon", environment{}.get)
		set.HostPort("peer-address", "", "address", Required)
		set.Int("slots", 3, "slots")
		So(errors.Is(set.Parse([]string{"-slots", "x", "-help"}), flag.ErrHelp), ShouldBeTrue)
		So(set.Help(), ShouldContainSubstring, "variable GYPSUM_PEER_ADDRESS, required")
		So(set.Help(), ShouldContainSubstring, "variable GYPSUM_SLOTS, default 3")
		So(set.Help(), ShouldContainSubstring, "A flag takes precedence over its environment variable")
	})
}
