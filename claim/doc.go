// Package claim runs operations that may happen at most once, such as paid
// orders, at most once. It decides and does no I/O: a Home takes events and the
// time, and returns the actions that its daemon carries out.
//
// A call of such an operation carries an idempotency key. There are two kinds.
//
// # Keys that callers choose
//
// The key space of a service has a fixed number of shards. The claims of each
// are one object of the platform, and by rendezvous hash over the service's
// members each shard has a home. The home appends the key's fingerprint to the
// object by a conditional update, and only then lets the key run, once. The
// object's version is the fence: an instance that was paused, replaced, or
// wrongly believes to be home fails its update and runs nothing. No clock or
// lease is trusted for safety; which instance is home only decides who tries
// first.
//
// A claim names its claimant (a hash of the instance's id, which is new at each
// start, and a number), so that a home whose write got no answer can tell by a
// read whether it is in. Such a write may still take effect after that read.
// The home therefore keeps the key in doubt until the object has a later
// version than the write expected: the next write that expects the same version
// settles it, whichever of the two wins.
//
// A key found claimed by another instance, or by this one without a record of
// it in memory, is answered 'unknown' and never run. A key that was claimed
// here and provably did not run may run here at any time, also while the
// platform is out; after a while its claim is given back by an update, so that
// other instances can run it.
//
// Cost: a write for all keys of the shard that are waiting (group commit), and
// one read when a home meets a shard first or lost an update. A call that is
// alone waits for one platform write; under load a shard writes once in
// Config.CommitInterval, which keeps all services within the platform's writes. Loss: if the home dies, the keys it claimed
// and did not answer are 'unknown', and the answers of the others are gone.
// While the platform is out, keys that are not claimed yet are refused.
//
// Claims age. Dated keys (UUIDv7) below the object's floor, which only rises,
// are answered 'unknown'; claims below it are dropped. The floor rises over
// claims of a quarter of an hour's age, or of one minute if the shard is nearly full. A
// shard holds at most MaxEntries claims in less than 700 KB; when it can't drop
// any, new keys are refused as not run. Undated keys never age, so only
// MaxUndated of them fit in a shard.
//
// # Keys that a node issues
//
// A caller may ask any node of the service for keys ahead of need. Only the
// instance that issued such a key may ever run it, and its memory is the
// record: its id is new at each start, so nobody else can take it for its own.
//
// Cost: no platform call and no time. Loss: if the instance dies, all keys that
// it issued are 'unknown', used or not. They go on through any platform outage.
//
// # Another way that was weighed
//
// A home could claim all keys whose time lies in the next minutes with one
// write, and keep the record in memory. That bridges outages for chosen keys
// too, but when it dies every key of the shard with a time in that block is
// 'unknown', also those that nobody sent yet, for as long as the block was to
// bridge. Issued keys bridge the same outage and lose only themselves.
//
// # What 'not run' says
//
// Each outcome speaks of one call. 'Not run' says that this call caused no run
// and never will. A caller that repeats a key holds the sum: if every call with
// the key was answered 'not run', the key never ran, and the caller may use
// another one instead. After one 'unknown' it must stay with the key.
package claim
