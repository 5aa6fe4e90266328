// Package memory shares the memory account of a process (package membudget) between its
// listeners, links and the connections to the target, and holds long bodies in parts.
//
// A body is held in parts of PartBytes, which are read, sent and written one by one: a slice that
// grows would be copied several times, and the copies are garbage that counts as resident.
package memory

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumford/gypsumford/membudget"
)

const (
	// limitShare times the memory limit of the process, less baseBytes, is the limit of the account.
	// The rest is for the runtime, connections between nodes, tables and garbage.
	limitShare = 0.6
	baseBytes  = 32 << 20
	// minLimitShare of the memory limit is the limit of the account on machines with little memory.
	minLimitShare = 0.125
	// maxLimitBytes bounds the account if the process has no memory limit, or a large one.
	maxLimitBytes = 256 << 20

	// fileDescriptors is the part of the limit on descriptors that is for files.
	fileDescriptors = 200
	// connectionShare of the other descriptors is for connections of clients. The rest is for peers
	// and the target.
	connectionShare = 0.5
	// ConnectionBytes is what a connection of a client holds without a request: buffers, stack and
	// state.
	ConnectionBytes = 12 << 10
	// connectionMemoryShare of the account is the most that connections hold without requests.
	connectionMemoryShare = 0.25
)

// Eviction is the end of a client's connection for lack of memory or descriptors.
type Eviction struct {
	Held       int64         // bytes
	StalledFor time.Duration // time without progress
}

// Budget is the memory account of the process. It is safe for concurrent use.
type Budget struct {
	now     func() time.Time
	refused atomic.Int64 // how often bytes were asked for and not granted
	mu      struct {
		sync.Mutex
		account *membudget.Account[func(Eviction)]
	}
}

// NewBudget returns the budget of a process with limits on memory and open descriptors, 0 if there
// are none.
func NewBudget(memoryBytes int64, maxDescriptors int, now func() time.Time) *Budget {
	limits := membudget.Limits{Bytes: maxLimitBytes}
	if memoryBytes > 0 {
		share := int64(limitShare*float64(memoryBytes)) - baseBytes
		limits.Bytes = min(max(share, int64(minLimitShare*float64(memoryBytes))), maxLimitBytes)
	}
	limits.MaxEvictable = int(connectionMemoryShare * float64(limits.Bytes) / ConnectionBytes)
	if maxDescriptors > 0 {
		connections := int(connectionShare * float64(max(maxDescriptors-fileDescriptors, maxDescriptors/4)))
		limits.MaxEvictable = min(limits.MaxEvictable, connections)
	}
	b := &Budget{now: now}
	b.mu.account = membudget.New[func(Eviction)](limits)
	return b
}

// MaxBytes returns the most bytes that a single holder may hold.
func (b *Budget) MaxBytes() int64 { return b.mu.account.MaxBytes() }

// Used returns the bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mu.account.Used()
}

// Refused returns how often bytes were asked for and not granted.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Connections returns the number of open holders of clients.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mu.account.Holders()
}

type holder = membudget.Holder[func(Eviction)]

// Client is what a connection of a client holds.
type Client struct {
	budget  *Budget
	onEvict func(Eviction)
	holder  *holder // set by Open
}

// NewClient returns a connection of a client that isn't open yet and holds nothing. onEvict is
// called, at most once, when the open connection must be closed to make room.
func (b *Budget) NewClient(onEvict func(Eviction)) *Client {
	return &Client{budget: b, onEvict: onEvict}
}

// Open adds the connection to the account. It returns false if there is no room for it. onEvict may
// be called before Open returns. The other methods may be called only if it returned true.
func (c *Client) Open() bool {
	b := c.budget
	b.mu.Lock()
	now := b.now()
	h, evicted := b.mu.account.Open(now, c.onEvict)
	victims := []*holder{evicted}
	granted := false
	if h != nil {
		var more []*holder
		if granted, more = b.mu.account.Take(now, h, ConnectionBytes); !granted {
			b.mu.account.Close(h)
		}
		victims = append(victims, more...)
		c.holder = h
	}
	evictions := evictionsOf(now, victims)
	b.mu.Unlock()
	evictions.run()
	if !granted {
		b.refused.Add(1)
	}
	return granted
}

// evictions are the calls to make for evicted holders, without the lock.
type evictions []func()

func evictionsOf(now time.Time, victims []*holder) (list evictions) {
	for _, h := range victims {
		if h != nil {
			e := Eviction{Held: h.Held(), StalledFor: h.StalledFor(now)}
			list = append(list, func() { h.Value(e) })
		}
	}
	return list
}

func (e evictions) run() {
	for _, call := range e {
		call()
	}
}

func (b *Budget) take(h *holder, bytes int64) bool {
	b.mu.Lock()
	now := b.now()
	granted, victims := b.mu.account.Take(now, h, bytes)
	evictions := evictionsOf(now, victims)
	b.mu.Unlock()
	evictions.run()
	if !granted {
		b.refused.Add(1)
	}
	return granted
}

func (b *Budget) release(h *holder, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.account.Release(h, bytes)
}

// Take lets the connection hold more bytes. It returns false if there is no room.
func (c *Client) Take(bytes int64) bool { return c.budget.take(c.holder, bytes) }

// Release gives back bytes.
func (c *Client) Release(bytes int64) { c.budget.release(c.holder, bytes) }

// Receive moves the bytes of a lease to the connection, and returns how many they are: at least those
// of the body, since room is taken before its length is known. It returns 0 if the connection was
// evicted; the lease is released in any case.
func (c *Client) Receive(l *Lease) (bytes int64) {
	if l == nil {
		return 0
	}
	b := c.budget
	b.mu.Lock()
	bytes = l.state.holder.Held()
	if !b.mu.account.Move(l.state.holder, c.holder, bytes) {
		bytes = 0
	}
	b.mu.Unlock()
	l.Release()
	return bytes
}

// Progress records that the client has sent or read bytes.
func (c *Client) Progress(bytes int) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.account.Progress(b.now(), c.holder, int64(bytes))
}

// Restart begins the time without progress anew, when the client sends again after an idle time.
func (c *Client) Restart() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.account.Restart(b.now(), c.holder)
}

// SetWaiting states whether the connection waits for others than its client. Meanwhile it isn't
// evicted.
func (c *Client) SetWaiting(waiting bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.account.SetWaiting(b.now(), c.holder, waiting)
}

// Close removes the connection. What it holds counts until it is released.
func (c *Client) Close() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.account.Close(c.holder)
	b.mu.account.Release(c.holder, ConnectionBytes)
}

// Lease is memory for one body that is never evicted. The methods accept nil.
type Lease struct{ state *leaseState }

type leaseState struct {
	budget *Budget
	holder *holder
	done   atomic.Bool
}

// Lease returns a lease of the bytes, or nil if there is no room.
func (b *Budget) Lease(bytes int64) *Lease {
	b.mu.Lock()
	h := b.mu.account.OpenFixed(b.now(), nil)
	b.mu.Unlock()
	if !b.take(h, bytes) {
		return nil
	}
	return &Lease{state: &leaseState{budget: b, holder: h}}
}

// ReleaseWhenUnreachable makes the garbage collector release the lease if nothing else does.
func (l *Lease) ReleaseWhenUnreachable() {
	if l != nil {
		runtime.AddCleanup(l, (*leaseState).release, l.state)
	}
}

// Grow adds bytes to the lease. It returns false if there is no room.
func (l *Lease) Grow(bytes int64) bool { return l.state.budget.take(l.state.holder, bytes) }

// Release gives the bytes back.
func (l *Lease) Release() {
	if l != nil {
		l.state.release()
	}
}

func (s *leaseState) release() {
	if !s.done.CompareAndSwap(false, true) {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.account.Close(s.holder)
	b.mu.account.Release(s.holder, s.holder.Held())
}
