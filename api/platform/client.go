// Package platform is the client of the platform's object API: a service that
// keeps versioned objects, takes conditional updates and answers watches.
//
// The client never repeats a request. A write whose answer is lost has an
// unknown effect, and only its caller knows how to find out.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Header names of the object API.
const (
	HeaderVersion   = "Version"    // version of the object in an answer
	HeaderIfVersion = "If-Version" // version that a conditional write expects
)

// MaxValueBytes is the size of the largest value that the platform keeps.
const MaxValueBytes = 1 << 20

// maxListBytes caps the answer to List that the client reads.
const maxListBytes = 8 << 20

// Object is one value that the platform keeps.
type Object struct {
	Key     string
	Version uint64 // grows with each write, also over deletion; 0 if absent
	Value   []byte
}

// ObjectVersion names an object without its value.
type ObjectVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

var (
	// ErrNotFound: the platform has no such object.
	ErrNotFound = errors.New("object not found")
	// ErrNotModified: a watch ended without a newer version.
	ErrNotModified = errors.New("object not modified")
	// ErrConflict: the object's version is not the one that the write expected.
	ErrConflict = errors.New("object version conflict")
	// ErrRejected: the platform refused the request for good, as too large.
	ErrRejected = errors.New("request rejected by the platform")
	// ErrUnavailable: no answer, or an outage. A write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
)

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at the base URL, such as
// "http://10.0.0.1:7000". The HTTP client's timeout must be 0: calls end with
// their contexts.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Get returns the object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, key, nil)
}

// Watch waits until the object has a version above after and returns it. When
// wait has passed without one it returns ErrNotModified.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error) {
	query := url.Values{}
	query.Set("watch-after", strconv.FormatUint(after, 10))
	query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return c.read(ctx, key, query)
}

// Put writes the value if the object's version is ifVersion, 0 meaning that it
// must not exist, and returns the new version. After ErrUnavailable the write
// may have taken effect, or may yet do so.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key, nil), bytes.NewReader(value))
	if err != nil {
		return 0, errors.Wrapf(err, "put %s", key)
	}
	request.GetBody = nil // keeps net/http from repeating the write
	request.Header.Set(HeaderIfVersion, strconv.FormatUint(ifVersion, 10))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "put %s", key), ErrUnavailable)
	}
	defer drain(response.Body)
	if err := statusError(response.StatusCode); err != nil {
		return 0, errors.Wrapf(err, "put %s", key)
	}
	return versionOf(response)
}

// List returns the keys that begin with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]ObjectVersion, error) {
	query := url.Values{"prefix": {prefix}}
	response, err := c.get(ctx, c.base+"/objects?"+query.Encode())
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	defer drain(response.Body)
	if err := statusError(response.StatusCode); err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	var objects []ObjectVersion
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxListBytes))
	if err := decoder.Decode(&objects); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "list %s", prefix), ErrUnavailable)
	}
	return objects, nil
}

func (c *Client) read(ctx context.Context, key string, query url.Values) (Object, error) {
	response, err := c.get(ctx, c.objectURL(key, query))
	if err != nil {
		return Object{}, errors.Wrapf(err, "get %s", key)
	}
	defer drain(response.Body)
	if err := statusError(response.StatusCode); err != nil {
		return Object{}, errors.Wrapf(err, "get %s", key)
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, errors.Mark(errors.Wrapf(err, "get %s", key), ErrUnavailable)
	}
	if len(value) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrRejected, "get %s: value over %d bytes", key, MaxValueBytes)
	}
	version, err := versionOf(response)
	if err != nil {
		return Object{}, errors.Wrapf(err, "get %s", key)
	}
	return Object{Key: key, Version: version, Value: value}, nil
}

func (c *Client) get(ctx context.Context, address string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	return response, nil
}

func (c *Client) objectURL(key string, query url.Values) string {
	path := (&url.URL{Path: "/objects/" + key}).EscapedPath()
	if len(query) == 0 {
		return c.base + path
	}
	return c.base + path + "?" + query.Encode()
}

func versionOf(response *http.Response) (uint64, error) {
	version, err := strconv.ParseUint(response.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "version header"), ErrUnavailable)
	}
	return version, nil
}

func statusError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusNotModified:
		return ErrNotModified
	case status == http.StatusConflict:
		return ErrConflict
	case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
		return errors.Wrapf(ErrRejected, "status %d", status)
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}

// drain reads what is left of a small body so that its connection is reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// maxDrainBytes is the most that is read to save a connection.
const maxDrainBytes = 64 << 10
