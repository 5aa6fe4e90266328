package route

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatch(t *testing.T) {
	c := &Configuration{Routes: []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}}
	c.Index()
	for _, example := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/1", "short"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		Convey(example.host+example.path+" matches "+example.want, t, func() {
			name := ""
			if r := c.Match(example.host, example.path); r != nil {
				name = r.Name
			}
			So(name, ShouldEqual, example.want)
		})
	}
}

func TestSplitter(t *testing.T) {
	Convey("Each destination gets its share of any run of 50 requests, from any start", t, func() {
		r := &Route{Name: "r", Destinations: []Destination{{"a", 95}, {"b", 5}}}
		for _, first := range []float64{0, 0.3, 0.97} {
			s := NewSplitter(first)
			count := 0
			for range 50 {
				if s.Next(r) == "b" {
					count++
				}
			}
			So(count, ShouldBeBetweenOrEqual, 1, 4)
		}
	})
	Convey("A single destination gets all requests", t, func() {
		So(NewSplitter(0).Next(&Route{Destinations: []Destination{{"a", 1}}}), ShouldEqual, "a")
	})
}
