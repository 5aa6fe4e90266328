package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/api/platform"
)

// fakePlatform keeps objects in memory; watches poll.
type fakePlatform struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	down    bool
}

func newFakePlatform(t testing.TB) (*fakePlatform, string) {
	f := &fakePlatform{objects: map[string]platform.Object{}}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return f, server.URL
}

func (f *fakePlatform) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakePlatform) put(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.objects[key].Version + 1
	f.objects[key] = platform.Object{Key: key, Version: version, Value: value}
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/objects/")
	if after := r.URL.Query().Get("watch-after"); after != "" {
		f.wait(r, key, after)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	object, ok := f.objects[key]
	switch {
	case f.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/objects":
		f.list(w, r.URL.Query().Get("prefix"))
	case r.Method == http.MethodPut:
		f.write(w, r, object, key)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		w.Header().Set(platform.HeaderVersion, strconv.FormatUint(object.Version, 10))
		_, _ = w.Write(object.Value)
	}
}

func (f *fakePlatform) list(w io.Writer, prefix string) {
	found := []platform.ObjectVersion{}
	for key, object := range f.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, platform.ObjectVersion{Key: key, Version: object.Version})
		}
	}
	_ = json.NewEncoder(w).Encode(found)
}

func (f *fakePlatform) write(w http.ResponseWriter, r *http.Request, object platform.Object, key string) {
	if r.Header.Get(platform.HeaderIfVersion) != strconv.FormatUint(object.Version, 10) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	value, _ := io.ReadAll(r.Body)
	f.objects[key] = platform.Object{Key: key, Version: object.Version + 1, Value: value}
	w.Header().Set(platform.HeaderVersion, strconv.FormatUint(object.Version+1, 10))
}

func (f *fakePlatform) wait(r *http.Request, key, after string) {
	version, _ := strconv.ParseUint(after, 10, 64)
	for r.Context().Err() == nil {
		f.mu.Lock()
		newer := f.objects[key].Version > version || f.down
		f.mu.Unlock()
		if newer {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
