package exchange

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/call"
)

// brokenBody returns an error after its text.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("connection broken")
	}
	return n, err
}

func (brokenBody) Close() error { return nil }

func TestBrokenResponseIsNotComplete(t *testing.T) {
	for name, length := range map[string]int64{"known": 100, "unknown": -1} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			Write(w, "r1", &Reply{
				Outcome: call.Completed, Status: http.StatusOK, Length: length,
				Body: brokenBody{strings.NewReader("half")},
			})
		}))
		response, err := http.Get(server.URL)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		if err == nil {
			t.Errorf("length %s: the incomplete response was read as complete", name)
		}
		server.Close()
	}
}
