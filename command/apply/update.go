package apply

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command/changelog"
	"github.com/gypsumford/gypsumford/command/configuration"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/finding"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/objects"
)

// retryDelay is the time between two attempts while the platform is unavailable, and
// between two checks of the nodes. It is a variable so that tests can shorten it.
var retryDelay = 250 * time.Millisecond

// attemptTimeout is the timeout of one request to the platform. A request that
// hangs then leaves time to find out whether the update took effect.
const attemptTimeout = 3 * time.Second

// update is one conditional update of the inventory.
type update struct {
	store        objects.Store
	document     configuration.Document // the operator's file
	current      configuration.Document // on the platform when apply started
	expected     epoch.Revision         // that the update replaces, zero if there must be none
	entry        changelog.Entry        // of the update
	responseLost bool                   // the response to a write was lost
	written      objects.Object         // as which the update took effect
}

// run writes the document, unless the platform holds it already. The platform
// refuses the write if it holds a version other than the expected one.
func (u *update) run(ctx context.Context) (result, error) {
	// What a copy brought back is written again: nodes may have a later version in force,
	// which this one is to replace.
	if u.current.Version != 0 && !u.current.IsFromCopy && bytes.Equal(u.current.Text, u.document.Text) {
		return result{Version: u.current.Version}, nil
	}
	value, err := inventory.Encode(changelog.Join(u.current.Log.Add(u.entry), u.document.Text))
	if err != nil {
		return result{}, err
	}
	if len(value) > objects.MaxValueBytes {
		return result{}, errors.Newf("the inventory has %d bytes after compression, the platform takes %d", len(value), objects.MaxValueBytes)
	}
	return u.put(ctx, value)
}

// put retries the write until its outcome is known or ctx ends.
func (u *update) put(ctx context.Context, value []byte) (result, error) {
	for {
		written, err := u.putOnce(ctx, value)
		switch {
		case err == nil:
			return u.newResult(written), nil
		case errors.Is(err, objects.ErrRestored), errors.Is(err, objects.ErrConflict) && u.wasRestored():
			return result{}, u.restoredError(ctx, value)
		case errors.Is(err, objects.ErrConflict):
			return u.resolveConflict(ctx, value)
		case !errors.Is(err, objects.ErrUnavailable):
			return result{}, errors.Wrap(err, "the platform refused the inventory, nothing was changed")
		}
		u.responseLost = true
		if held, found := u.find(ctx, value); found && !u.wasRestored() {
			return u.newResult(held), nil
		}
		if !pause(ctx) {
			return result{}, errors.Wrapf(err,
				"unknown whether the update took effect: the platform's answer was lost and the update wasn't there when last read; "+
					"run the same command again, it can't be applied twice")
		}
	}
}

func (u *update) putOnce(ctx context.Context, value []byte) (objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return u.store.Put(ctx, inventory.ObjectKey, value, u.expected)
}

// find returns what the platform holds, and whether that is the value.
func (u *update) find(ctx context.Context, value []byte) (objects.Object, bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	object, err := u.store.Get(ctx, inventory.ObjectKey)
	return object, err == nil && bytes.Equal(object.Value, value)
}

// wasRestored reports whether the store has come back from a copy since the expected
// revision was read.
func (u *update) wasRestored() bool {
	return !u.expected.IsZero() && u.store.Epoch() != u.expected.Epoch
}

// restoredError returns the error of an update that crossed a restore of the store: the
// expected revision may stand for another version now.
func (u *update) restoredError(ctx context.Context, value []byte) error {
	const cause = "the platform's store came back from a copy while the update was on its way"
	held, found := u.find(ctx, value)
	if found {
		return errors.Newf("%s. It holds your inventory as version %s, which may have replaced a change by others since the restore.\n"+
			"To go on: check the change log in 'gypsumctl get', and run the same command again to put your inventory in force.", cause, held.Version)
	}
	return errors.Newf("%s. The update isn't there: it was lost, or had no effect.\n"+
		"To go on: 'gypsumctl get' the present version, make your change in it, and apply that.", cause)
}

// newResult returns the result of an update that took effect as the object.
func (u *update) newResult(written objects.Object) result {
	u.written = written
	return result{
		Version: written.Version, Changed: true, ResponseLost: u.responseLost,
		Changes: inventory.Diff(u.current.Inventory, u.document.Inventory),
	}
}

// resolveConflict finds out the cause of a conflict: this update took effect and
// its response was lost, it took effect and others have replaced it since, or an
// update of others took effect first. Only the last is an error.
func (u *update) resolveConflict(ctx context.Context, value []byte) (result, error) {
	if held, found := u.find(ctx, value); found {
		u.responseLost = true
		return u.newResult(held), nil
	}
	latest, err := configuration.Read(ctx, u.store)
	var findings *finding.List
	if err != nil && !errors.As(err, &findings) {
		return result{}, errors.Wrap(err, "conflict: the inventory has changed since; what changed can't be read")
	}
	if u.responseLost && latest.Log.Has(u.entry) {
		r := u.newResult(objects.Object{Version: latest.Version, Revision: latest.Revision})
		r.Replaced = true
		return r, nil
	}
	return result{}, u.conflictError(latest)
}

// conflictError returns an error that lists the changes since the expected version.
func (u *update) conflictError(latest configuration.Document) error {
	return errors.Newf("conflict: the platform holds version %d, not %d as expected; nothing was changed.%s\n"+
		"To go on: 'gypsumctl get' the new version, make your change in it, and apply that.",
		latest.Revision.Number, u.expected.Number, indent(u.changesUntil(latest)))
}

// indent returns the lines as the end of a message.
func indent(lines []string) string {
	var text strings.Builder
	for _, line := range lines {
		text.WriteString("\n  " + line)
	}
	return text.String()
}

// changesUntil describes the changes from the expected version to the latest one.
// They are exact if apply read the expected version itself. Otherwise they are from
// the change log or, if that doesn't reach back far enough, the differences from
// the operator's file.
func (u *update) changesUntil(latest configuration.Document) []string {
	if u.current.Revision == u.expected && u.current.Inventory != nil {
		return describeChanges("Changed meanwhile:", inventory.Diff(u.current.Inventory, latest.Inventory))
	}
	entries, complete := latest.Log.Since(u.expected)
	if complete {
		return describeEntries(entries)
	}
	lines := describeChanges("The change log doesn't reach back to that version. From your file to the present inventory:",
		inventory.Diff(u.document.Inventory, latest.Inventory))
	return lines
}

func describeChanges(title string, changes []inventory.Change) []string {
	lines := []string{title}
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	return lines
}

func describeEntries(entries []changelog.Entry) []string {
	var lines []string
	for _, entry := range entries {
		lines = append(lines, "Changed by "+entry.By+" at "+entry.At.Format(time.RFC3339)+":")
		lines = append(lines, entry.Changes...)
	}
	return lines
}

// pause waits for retryDelay. It returns false if ctx ends before.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}
