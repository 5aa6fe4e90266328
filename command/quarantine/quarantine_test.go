package quarantine

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/command"
)

const listed = `{"instance":"n","requests":[{"fingerprint":"45388c39521bb3539f4d51b13629654e","status":"quarantined","crashes":3,
"since":"2026-01-02T03:04:05Z","last":"2026-01-02T03:04:09Z","until":"2026-01-02T03:14:09Z",
"evidence":[{"instance":"a","service":"plots","version":"v1","at":"2026-01-02T03:04:05Z"}]}]}`

func TestQuarantineVerb(t *testing.T) {
	const bad = "45388c39521bb3539f4d51b13629654e"
	var calls []string
	list := listed
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.Path)
		switch {
		case r.Method == http.MethodGet:
			_, _ = w.Write([]byte(list))
		case strings.Contains(r.URL.Path, bad):
			_, _ = w.Write([]byte(`{"fingerprint":"` + bad + `","crashes":3}`))
		default:
			http.Error(w, "no crash is known", http.StatusNotFound)
		}
	}))
	defer server.Close()
	run := func(args ...string) (status int, stdout, stderr string) {
		calls = nil
		var out, notes bytes.Buffer
		env := &command.Env{Program: "gypsumctl", Stdout: &out, Stderr: &notes, Getenv: func(string) string { return "" }}
		args = append([]string{"quarantine", "-metrics", strings.TrimPrefix(server.URL, "http://")}, args...)
		status = command.Main(context.Background(), env, []command.Verb{Verb}, args)
		return status, out.String(), notes.String()
	}
	Convey("Requests are listed", t, func() {
		status, out, _ := run()
		So(status, ShouldEqual, command.ExitDone)
		So(out, ShouldContainSubstring, bad)
		So(out, ShouldContainSubstring, "2026-01-02T03:14:09Z")
		_, out, _ = run("-o", "json")
		So(out, ShouldContainSubstring, `"status": "quarantined"`)
	})
	Convey("One is shown with its evidence", t, func() {
		status, out, _ := run("-fingerprint", bad)
		So(status, ShouldEqual, command.ExitDone)
		So(out, ShouldContainSubstring, "quarantined until 2026-01-02T03:14:09Z")
		So(out, ShouldContainSubstring, "plots")
		status, _, notes := run("-fingerprint", strings.Repeat("0", 32))
		So(status, ShouldEqual, command.ExitFailure)
		So(notes, ShouldContainSubstring, "no evidence")
	})
	Convey("One is released", t, func() {
		status, out, _ := run("-release", bad)
		So(status, ShouldEqual, command.ExitDone)
		So(calls, ShouldResemble, []string{"POST /quarantine/" + bad + "/release"})
		So(out, ShouldContainSubstring, "3 reports")
		status, _, notes := run("-release", strings.Repeat("0", 32))
		So(status, ShouldEqual, command.ExitFailure)
		So(notes, ShouldContainSubstring, "no crash is known")
	})
	Convey("Wrong usage and a wrong address are clear errors", t, func() {
		status, _, notes := run("-release", "xyz")
		So(status, ShouldEqual, command.ExitUsage)
		So(notes, ShouldContainSubstring, "32 hexadecimal digits")
		status, _, _ = run("-release", bad, "-fingerprint", bad)
		So(status, ShouldEqual, command.ExitUsage)
		list = "metrics"
		status, _, notes = run()
		So(status, ShouldEqual, command.ExitFailure)
		So(notes, ShouldContainSubstring, "is this its metrics address?")
		list = `{"instance":"n","requests":null}`
		_, out, _ := run()
		So(out, ShouldContainSubstring, "no request is in quarantine")
	})
}
