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

// errChild: a child call did not complete.
var errChild = errors.New("child call did not complete")

// maxAnswerBytes caps a child's answer.
const maxAnswerBytes = 1 << 20

// callChildren makes the operation's child calls and returns their sums.
func (t *Target) callChildren(ctx context.Context, op *Operation, parent *incoming) ([]string, error) {
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

// callChild makes one child call and returns the sum of its answer.
func (t *Target) callChild(ctx context.Context, operation string, parent *incoming) (string, error) {
	pause(ctx, t.settings.HopDelay)
	if t.settings.Plain {
		return t.callPlain(ctx, operation, parent)
	}
	return t.send(ctx, "http://"+t.node+"/call/"+operation, operation, parent)
}

// callPlain sends the call to random targets until one completes it.
func (t *Target) callPlain(ctx context.Context, operation string, parent *incoming) (string, error) {
	service, name, _ := strings.Cut(operation, "/")
	peers := t.settings.Peers[service]
	if len(peers) == 0 {
		return "", errors.Wrapf(errChild, "no target of %s", service)
	}
	var err error
	for range max(t.settings.PlainTries, 1) {
		peer := peers[rand.IntN(len(peers))]
		var sum string
		if sum, err = t.tryPlain(ctx, "http://"+peer+"/"+name, operation, parent); err == nil {
			return sum, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", err
}

func (t *Target) tryPlain(ctx context.Context, url, operation string, parent *incoming) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.PlainTimeout)
	defer cancel()
	return t.send(ctx, url, operation, parent)
}

func (t *Target) send(ctx context.Context, url, operation string, parent *incoming) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(parent.body))
	if err != nil {
		return "", err
	}
	setIfAny(request.Header, callhttp.HeaderRequestID, parent.request)
	setIfAny(request.Header, callhttp.HeaderParent, parent.token)
	setIfAny(request.Header, callhttp.HeaderCaller, parent.caller)
	if left := time.Until(parent.deadline); !parent.deadline.IsZero() {
		request.Header.Set(callhttp.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
	response, err := t.client.Do(request)
	if err != nil {
		return "", errors.CombineErrors(errChild, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return "", errors.CombineErrors(errChild, err)
	}
	if response.StatusCode != http.StatusOK {
		return "", errors.Wrapf(errChild, "%s: status %d, %s", operation, response.StatusCode, response.Header.Get(callhttp.HeaderOutcome))
	}
	child, err := answer.Parse(body)
	if err != nil {
		return "", err
	}
	if child.RequestID != parent.request || child.Operation != operation {
		t.foreign.Add(1)
		return "", errors.Newf("answer of %s to %s in place of %s to %s", child.Operation, child.RequestID, operation, parent.request)
	}
	return child.Sum, nil
}

func setIfAny(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}
