// Package configuration reads the inventory from files and from the platform's
// store, for the verbs that use it.
package configuration

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/changelog"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

// StandardInput is the file name that stands for standard input.
const StandardInput = "-"

// Document is an inventory and the text that it was parsed from.
type Document struct {
	Text     []byte // uncompressed, without the lines of the change log
	Log      changelog.Log
	Version  epoch.Version  // in the store; 0 for a file, or if the store has none
	Revision epoch.Revision // in the store, to be replaced by a write
	// IsFromCopy tells that the store was restored from a copy after this version was
	// written, so that a later one may be lost.
	IsFromCopy bool
	Inventory  *inventory.Inventory // nil if there is none or it is invalid
}

// NewStore returns a client of the platform's store at the URL.
func NewStore(url string) objects.Store { return platform.NewObjects(url) }

// CopyNote is the note to operators on a document that is from a copy.
const CopyNote = "note: the platform's store came back from a copy after version %s was written; a later version may be lost.\n" +
	"'gypsumctl status' shows the versions in force, 'gypsumctl get -from-node' prints the one of a node, to be applied again"

// ReadNode reads the inventory in force at the node with the peer address.
func ReadNode(ctx context.Context, address string) (Document, error) {
	client := peer.NewPeerProtobufClient("http://"+address, command.NewHTTPClient())
	reply, err := client.PullConfig(ctx, &peer.PullConfigRequest{})
	if err != nil {
		return Document{}, errors.Wrapf(err, "can't read the inventory of node %s", address)
	}
	if len(reply.GetDocument()) == 0 {
		return Document{}, errors.Newf("node %s has no inventory in force", address)
	}
	document, err := parse("node "+address, reply.GetDocument())
	document.Version = epoch.Version(reply.GetVersion())
	return document, err
}

// ReadFile reads and checks the inventory in a file. If the inventory is invalid,
// the error is a *finding.List.
func ReadFile(name string, stdin io.Reader) (Document, error) {
	data, err := readAll(name, stdin)
	if err != nil {
		return Document{}, err
	}
	return parse(name, data)
}

func readAll(name string, stdin io.Reader) ([]byte, error) {
	if name == StandardInput {
		data, err := io.ReadAll(io.LimitReader(stdin, inventory.MaxExpandedBytes+1))
		return data, errors.Wrap(err, "read standard input")
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open the inventory")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, inventory.MaxExpandedBytes+1))
	return data, errors.Wrapf(err, "read %s", name)
}

// Read reads and checks the inventory in the store. If there is none, the document
// has version 0. If the inventory is invalid, the document has its version and the
// error wraps a *finding.List.
func Read(ctx context.Context, store objects.Store) (Document, error) {
	object, err := store.Get(ctx, inventory.ObjectKey)
	if errors.Is(err, objects.ErrNotFound) {
		return Document{}, nil
	}
	if err != nil {
		return Document{}, errors.Wrap(err, "can't read the inventory, try again when the platform answers")
	}
	document, err := parse(inventory.ObjectKey, object.Value)
	document.Version, document.Revision, document.IsFromCopy = object.Version, object.Revision, object.IsFromCopy()
	if err != nil {
		return document, errors.Wrap(err, "the inventory on the platform is faulty")
	}
	return document, nil
}

func parse(name string, data []byte) (Document, error) {
	inv, err := inventory.Parse(name, data)
	if err != nil {
		return Document{}, err
	}
	text, err := inventory.Decode(data)
	if err != nil {
		return Document{}, errors.Wrap(err, name)
	}
	log, body := changelog.Split(text)
	return Document{Text: body, Log: log, Inventory: inv}, nil
}
