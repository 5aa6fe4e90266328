package target

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/standin/answer"
)

// errChildCall is the error of a child call that did not complete.
var errChildCall = errors.New("child call did not complete")

// maxResponseBytes is the most that is read of a child call's response body.
const maxResponseBytes = 1 << 20

// callChildren makes the operation's child calls and returns the sums of their
// responses, in the order of op.Calls.
func (t *Target) callChildren(ctx context.Context, op *Operation, parent *incomingCall) ([]string, error) {
	sums := make([]string, len(op.Calls))
	errs := make([]error, len(op.Calls))
	if !op.Parallel {
		for i, child := range op.Calls {
			if sums[i], errs[i] = t.callChild(ctx, child, parent); errs[i] != nil {
				return nil, errs[i]
			}
		}
		return sums, nil
	}
	var group sync.WaitGroup
	for i, child := range op.Calls {
		group.Go(func() { sums[i], errs[i] = t.callChild(ctx, child, parent) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return sums, nil
}

// callChild makes one child call and returns the sum of its response.
func (t *Target) callChild(ctx context.Context, operation string, parent *incomingCall) (string, error) {
	pause(ctx, t.settings.HopDelay)
	if t.settings.Plain {
		return t.callWithoutNode(ctx, operation, parent)
	}
	return t.sendChildCall(ctx, "http://"+t.node+"/call/"+operation, operation, parent)
}

// callWithoutNode sends the call to random targets of its service until one
// completes it or the attempts are used up.
func (t *Target) callWithoutNode(ctx context.Context, operation string, parent *incomingCall) (string, error) {
	service, name, _ := strings.Cut(operation, "/")
	addresses := t.settings.Peers[service]
	if len(addresses) == 0 {
		return "", errors.Wrapf(errChildCall, "no target of %s", service)
	}
	var err error
	for range max(t.settings.PlainTries, 1) {
		address := addresses[rand.IntN(len(addresses))]
		var sum string
		if sum, err = t.sendWithoutNode(ctx, "http://"+address+"/"+name, operation, parent); err == nil {
			return sum, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", err
}

// sendWithoutNode sends the call once, with the timeout of one attempt.
func (t *Target) sendWithoutNode(ctx context.Context, url, operation string, parent *incomingCall) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.PlainTimeout)
	defer cancel()
	return t.sendChildCall(ctx, url, operation, parent)
}

// sendChildCall sends a child call with the parent's headers and body. It returns
// the sum of the response, which must belong to this request and operation.
func (t *Target) sendChildCall(ctx context.Context, url, operation string, parent *incomingCall) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(parent.body))
	if err != nil {
		return "", err
	}
	setIfNotEmpty(request.Header, callhttp.HeaderRequestID, parent.requestID)
	setIfNotEmpty(request.Header, callhttp.HeaderParent, parent.token)
	setIfNotEmpty(request.Header, callhttp.HeaderCaller, parent.caller)
	if remaining := time.Until(parent.deadline); !parent.deadline.IsZero() {
		request.Header.Set(callhttp.HeaderTimeout, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	response, err := t.client.Do(request)
	if err != nil {
		return "", errors.CombineErrors(errChildCall, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "", errors.CombineErrors(errChildCall, err)
	}
	if response.StatusCode != http.StatusOK {
		return "", errors.Wrapf(errChildCall, "%s: status %d, %s", operation, response.StatusCode, response.Header.Get(callhttp.HeaderOutcome))
	}
	child, err := answer.Parse(body)
	if err != nil {
		return "", err
	}
	if child.RequestID != parent.requestID || child.Operation != operation {
		t.foreignResponses.Add(1)
		return "", errors.Newf("response belongs to %s of request %s, want %s of request %s", child.Operation, child.RequestID, operation, parent.requestID)
	}
	return child.Sum, nil
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}
