package claim_test

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/claim"
)

// The callers' history of each key must be that of one register which is set at
// most once: a completed call sets it or finds it set to the same answer, a
// refused call does nothing, and an unknown call may have set it at any time
// since, or may yet.

// register is the model's state of one key.
type register struct {
	ran    bool
	answer *claim.Answer // nil if no caller saw it
}

var onceModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, _, output any) []any { return stepOnce(state.(register), output.(*ask)) },
}).ToModel()

func stepOnce(state register, a *ask) []any {
	switch a.outcome {
	case call.NotRun:
		return []any{state}
	case call.Completed:
		if state.ran && state.answer != nil && state.answer != a.answer {
			return nil
		}
		return []any{register{true, a.answer}}
	}
	if state.ran {
		return []any{state}
	}
	return []any{state, register{ran: true}}
}

func checkLinearizable(t *rapid.T, w *world) {
	for fingerprint, history := range w.keys {
		var operations []porcupine.Operation
		for _, a := range history.asks {
			operations = append(operations, operationOf(w, a))
		}
		if !porcupine.CheckOperations(onceModel, operations) {
			t.Fatalf("the history of key %v is not that of one run", fingerprint)
		}
	}
}

func operationOf(w *world, a *ask) porcupine.Operation {
	returned := a.ended.Sub(epoch).Nanoseconds()
	if a.outcome == call.Unknown {
		returned = math.MaxInt64
	}
	return porcupine.Operation{
		ClientId: int(a.id),
		Input:    a.key,
		Call:     a.asked.Sub(epoch).Nanoseconds(),
		Output:   a,
		Return:   max(returned, a.asked.Add(time.Nanosecond).Sub(epoch).Nanoseconds()),
	}
}
