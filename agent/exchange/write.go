package exchange

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
)

// copyBufferBytes is the size of the chunks in which a response of unknown length is
// copied.
const copyBufferBytes = 32 << 10

// Write sends the reply to a caller and closes its body. If the body breaks off, Write
// aborts the connection, so that the receiver can't take the response for complete.
func Write(w http.ResponseWriter, requestID call.RequestID, reply *Reply) {
	defer reply.Body.Close()
	header := w.Header()
	if reply.Outcome == call.Completed {
		callhttp.CopyHeader(header, reply.Header)
	}
	if requestID != "" {
		header.Set(callhttp.HeaderRequestID, string(requestID))
	}
	header.Set(callhttp.HeaderOutcome, reply.Outcome.String())
	if reply.Node != "" {
		header.Set(callhttp.HeaderNode, string(reply.Node))
	}
	switch reply.Outcome {
	case call.Completed:
		writeResponse(w, reply)
	case call.NotRun:
		header.Set(callhttp.HeaderReason, reply.Reason.String())
		callhttp.WriteRetryAfter(header, reply.RetryAfter)
		w.WriteHeader(refusalStatus(reply.Reason))
	default:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// WriteToPeer sends the reply to another node, with the fields that only nodes
// exchange. lamport is the sender's Lamport clock value.
func WriteToPeer(w http.ResponseWriter, requestID call.RequestID, reply *Reply, lamport uint64) {
	header := w.Header()
	header.Set(callhttp.HeaderLamport, strconv.FormatUint(lamport, 10))
	header.Set(callhttp.HeaderUnspent, strconv.Itoa(reply.Unspent))
	header.Set(callhttp.HeaderLevel, strconv.FormatUint(uint64(reply.Level), 10))
	if reply.HasLoad {
		header.Set(callhttp.HeaderLoad, reply.Load.String())
	}
	Write(w, requestID, reply)
}

// refusalStatus returns 400 for calls of unknown operations, which would fail again,
// and 503 otherwise.
func refusalStatus(reason call.Reason) int {
	if reason == call.ReasonUnknownOperation {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func writeResponse(w http.ResponseWriter, reply *Reply) {
	if reply.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	w.WriteHeader(reply.Status)
	if err := stream(w, reply.Body, reply.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream copies the body. If flush is true it flushes every chunk, because the
// receiver may be waiting for each.
func stream(w http.ResponseWriter, body io.Reader, flush bool) error {
	if !flush {
		_, err := io.Copy(w, body)
		return err
	}
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
