package explain

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/node"
	"github.com/gypsumford/gypsumford/spillover"
)

// Guards against an output that hides why a request goes where it goes.
func TestExplainVerb(t *testing.T) {
	answer, _ := json.Marshal(node.Explanation{
		Instance: "n1", Domain: "d1", Version: 7, Route: "orders", Account: "a17", Priority: 2,
		Pressures: []node.ExplainedPressure{{Service: "stock", Requests: 4, Known: true, Pressure: 1.31, Share: 0.4, Restricted: true}},
		Services: []node.ExplainedService{{
			Service: "shop", Weight: 1, Crossing: 1.38, Spillover: true,
			Domains: []spillover.Outlook{{Domain: "d2", Targets: 2, Used: 0.4, Gain: 2.5, Share: 0.28}},
			Targets: []node.ExplainedTarget{
				{Target: "t1", Domain: "d1", Chance: 0.2, State: "cold"}, {Target: "t2", Domain: "d1", Chance: 0.5, State: "ready"},
			},
		}},
	})
	body, asked := string(answer), ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Method + " " + r.URL.String()
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	run := func(args ...string) (status int, stdout, stderr string) {
		var out, notes bytes.Buffer
		env := &command.Env{Program: "gypsumctl", Stdout: &out, Stderr: &notes, Getenv: func(string) string { return "" }}
		args = append([]string{"explain", "-metrics", strings.TrimPrefix(server.URL, "http://")}, args...)
		status = command.Main(context.Background(), env, []command.Verb{Verb}, args)
		return status, out.String(), notes.String()
	}
	Convey("Route, account, pressures, domains and targets are shown, the likeliest target first", t, func() {
		status, out, _ := run("-host", "shop.example", "-path", "/orders?x=1", "-account", "a17")
		So(status, ShouldEqual, command.ExitDone)
		So(asked, ShouldEqual, "GET /explain?account=a17&awaited=false&host=shop.example&path=%2Forders%3Fx%3D1")
		for _, text := range []string{"route orders, account a17, priority 2", "1.31", "0.400", "d2", "0.280", "cold"} {
			So(out, ShouldContainSubstring, text)
		}
		So(strings.Index(out, "t2"), ShouldBeLessThan, strings.Index(out, "t1"))
		_, out, _ = run("-host", "h", "-path", "/", "-o", "json")
		So(out, ShouldContainSubstring, `"crossing": 1.38`)
	})
	Convey("A refusal is named", t, func() {
		body = `{"instance":"n1","refused":"no route matches"}`
		_, out, _ := run("-host", "h", "-path", "/")
		So(out, ShouldContainSubstring, "refused: no route matches")
	})
	Convey("Wrong usage and a wrong address are clear errors", t, func() {
		status, _, _ := run("-path", "/")
		So(status, ShouldEqual, command.ExitUsage)
		body = `{"answers": {}}`
		status, _, notes := run("-host", "h", "-path", "/")
		So(status, ShouldEqual, command.ExitFailure)
		So(notes, ShouldContainSubstring, "is this its metrics address?")
	})
}
