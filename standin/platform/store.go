// Package platform is a stand-in of the platform's object API: versioned
// objects in memory behind HTTP, with conditional updates, watches, counted
// calls, and faults that are switched on by command.
//
// A Store keeps the objects, Faults decides what goes wrong with a call, and
// Server joins both behind HTTP. Nothing outlives the process.
package platform

import (
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Bounds of the store.
const (
	MaxValueBytes = 1 << 20 // largest value
	MaxKeyBytes   = 512     // longest key
	MaxObjects    = 100_000 // keys, deleted ones included
)

var (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.New("no such object")
	// ErrConflict: the object's version is not the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrTooLarge: the value, the key or the number of objects is over its bound.
	ErrTooLarge = errors.New("too large")
)

// Object is one value and its version.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// ObjectVersion names an object without its value.
type ObjectVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Condition is what a write expects of the object's version.
type Condition struct {
	Set     bool   // false: the write is unconditional
	Version uint64 // 0: the object must not exist
}

// entry is the state of one key. It stays after a deletion, so that versions
// only grow.
type entry struct {
	version uint64
	exists  bool
	value   []byte
	changed chan struct{} // closed at the next change
}

func (e *entry) satisfies(c Condition) bool {
	if !c.Set {
		return true
	}
	if c.Version == 0 {
		return !e.exists
	}
	return e.exists && e.version == c.Version
}

// Store keeps objects in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[string]*entry{}} }

// Get returns the object, or ErrNotFound with the version of its deletion.
func (s *Store) Get(key string) (Object, error) {
	object, _, err := s.observe(key)
	return object, err
}

// observe returns the object and a channel that is closed when it changes.
func (s *Store) observe(key string) (Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.entry(key)
	if err != nil {
		return Object{}, nil, err
	}
	object := Object{Key: key, Version: e.version}
	if !e.exists {
		return object, e.changed, ErrNotFound
	}
	object.Value = e.value
	return object, e.changed, nil
}

// Put writes a value if the condition holds and returns the new version, or
// ErrConflict with the current one.
func (s *Store) Put(key string, value []byte, condition Condition) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	return s.change(key, condition, func(e *entry) {
		e.exists = true
		e.value = value
	})
}

// Delete removes a value if the condition holds and returns the version of the
// deletion, or ErrConflict with the current one.
func (s *Store) Delete(key string, condition Condition) (uint64, error) {
	return s.change(key, condition, func(e *entry) {
		e.exists = false
		e.value = nil
	})
}

// List returns the existing objects whose keys begin with the prefix, by key.
func (s *Store) List(prefix string) []ObjectVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []ObjectVersion{}
	for key, e := range s.entries {
		if e.exists && strings.HasPrefix(key, prefix) {
			objects = append(objects, ObjectVersion{Key: key, Version: e.version})
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects
}

func (s *Store) change(key string, condition Condition, apply func(*entry)) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.entry(key)
	if err != nil {
		return 0, err
	}
	if !e.satisfies(condition) {
		return e.version, ErrConflict
	}
	apply(e)
	e.version++
	close(e.changed)
	e.changed = make(chan struct{})
	return e.version, nil
}

// entry returns the key's entry, made if need be. The caller holds mu.
func (s *Store) entry(key string) (*entry, error) {
	if e, ok := s.entries[key]; ok {
		return e, nil
	}
	if len(key) > MaxKeyBytes || len(s.entries) >= MaxObjects {
		return nil, ErrTooLarge
	}
	e := &entry{changed: make(chan struct{})}
	s.entries[key] = e
	return e, nil
}
