package agent

import (
	"context"
	"testing"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/platform/platformtest"
)

// fakePlatform is an in-process stand-in for the platform's store.
type fakePlatform struct {
	t     testing.TB
	store *platformtest.Store
}

func newFakePlatform(t testing.TB) (*fakePlatform, string) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	return &fakePlatform{t: t, store: store}, store.URL
}

func (f *fakePlatform) setDown(down bool) { f.store.SetDown(down) }

// put creates an object.
func (f *fakePlatform) put(key string, value []byte) {
	if _, err := platform.NewObjects(f.store.URL).Put(context.Background(), key, value, epoch.Revision{}); err != nil {
		f.t.Fatal(err)
	}
}
