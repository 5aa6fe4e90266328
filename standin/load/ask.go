package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/standin/answer"
)

// maxResponseBytes is the most that is read of a response body.
const maxResponseBytes = 1 << 20

// callResult is a call with the details that determine whether and when it is retried.
type callResult struct {
	Call
	retryAfter time.Duration // stated in the response, 0 if none
	dialFailed bool          // no connection could be made
}

// call makes one call, with the client's network delay before it is sent and after
// its response. Both delays count towards the call's deadline.
func (s *Source) call(ctx context.Context, record *Record, id string) callResult {
	ctx, cancel := context.WithTimeout(ctx, record.Stream.Deadline)
	defer cancel()
	if !sleep(ctx, s.settings.ClientDelay) {
		return callResult{Call: Call{RequestID: id, Result: TimedOut}}
	}
	result := s.sendWithRetries(ctx, record, id)
	if !sleep(ctx, s.settings.ClientDelay) && result.Result == Completed {
		result.Result = TimedOut
	}
	return result
}

// maxDialAttempts bounds the attempts to connect to a node for one call. Plain mode
// uses PlainAttempts instead.
const maxDialAttempts = 3

// sendWithRetries sends the call until it succeeds or its attempts are used up. In plain
// mode it retries after any failure. With the layer it retries only when no
// connection could be made: retries of a call that may have reached a node are the
// layer's task.
func (s *Source) sendWithRetries(ctx context.Context, record *Record, id string) callResult {
	plain := len(s.settings.PlainTargets) > 0
	maxAttempts := maxDialAttempts
	if plain {
		maxAttempts = max(s.settings.PlainAttempts, 1)
	}
	var result callResult
	for range maxAttempts {
		result = s.send(ctx, record, id)
		if result.Result == Completed || ctx.Err() != nil || !plain && !result.dialFailed {
			break
		}
	}
	return result
}

// send sends the call once, to a random address.
func (s *Source) send(ctx context.Context, record *Record, id string) callResult {
	result := callResult{Call: Call{RequestID: id}}
	body := []byte("request " + strings.TrimRight(id, "0123456789")) // the same for all calls of the request
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(record.Stream.Operation), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		result.Result = Failed
		return result
	}
	// net/http by itself retries a request with an idempotency key when a reused
	// connection breaks, unless it can't read the body again. Hence a body without
	// GetBody: each attempt must reach the node at most once.
	request.ContentLength = int64(len(body))
	request.Header.Set(callhttp.HeaderRequestID, id)
	request.Header.Set(callhttp.HeaderTimeout, strconv.FormatInt(remainingTime(ctx).Milliseconds(), 10))
	if record.Stream.Caller != "" {
		request.Header.Set(callhttp.HeaderCaller, record.Stream.Caller)
	}
	if record.Key != "" {
		request.Header.Set(answer.HeaderIdempotencyKey, record.Key)
	}
	response, err := s.client.Do(request)
	if err != nil {
		result.Result = failureResult(ctx)
		result.dialFailed = isDialError(err)
		return result
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		result.Result = failureResult(ctx)
		return result
	}
	result.Result = classify(record, id, body, response, text)
	result.Reason = response.Header.Get(callhttp.HeaderReason)
	if ms, err := strconv.ParseInt(response.Header.Get(callhttp.HeaderRetryAfterMS), 10, 32); err == nil {
		result.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return result
}

// url returns a random entry node's URL for the operation, or a random target's
// in plain mode.
func (s *Source) url(operation string) string {
	if len(s.settings.PlainTargets) == 0 {
		return "http://" + s.randomAddress(s.settings.Entries) + "/call/" + operation
	}
	service, name, _ := strings.Cut(operation, "/")
	return "http://" + s.randomAddress(s.settings.PlainTargets[service]) + "/" + name
}

// classify returns the result of a call from its response.
func classify(record *Record, id string, body []byte, response *http.Response, text []byte) Result {
	switch response.Header.Get(callhttp.HeaderOutcome) {
	case "not-run":
		return Refused
	case "unknown":
		return Unknown
	}
	if response.StatusCode != http.StatusOK {
		return Failed
	}
	got, err := answer.Parse(text)
	if err != nil {
		return Wrong
	}
	if got.RequestID != id || got.Operation != record.Stream.Operation {
		return Wrong
	}
	if got.Sum != record.Stream.Tree.ExpectedSum(body) {
		return Wrong
	}
	return Completed
}

// isDialError reports whether the error is a failure to connect.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// failureResult returns TimedOut if the context has ended, else Failed.
func failureResult(ctx context.Context) Result {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Failed
}

// remainingTime returns the time until the context's deadline, at least 1 ms, or 0
// if it has none.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}
