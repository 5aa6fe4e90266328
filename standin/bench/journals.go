package bench

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/standin/load"
	"github.com/gypsumford/gypsumford/standin/target"
)

// TargetRun is one run from a target's journal, with the target and its service.
type TargetRun struct {
	target.Run
	Service string
	Target  string
}

// operationName returns service/operation.
func (r *TargetRun) operationName() string { return r.Service + "/" + r.Operation }

// isCall reports whether the run was a call of an operation, rather than a
// health probe or a load report.
func (r *TargetRun) isCall() bool {
	return r.Operation != target.ProbeRun && r.Operation != target.ReportRun
}

// readJournals returns the runs of all targets. A target that never ran has no
// journal.
func (f *fleet) readJournals() ([]TargetRun, error) {
	var all []TargetRun
	for _, in := range f.instances {
		runs, err := target.ReadJournal(in.journalPath)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, run := range runs {
			all = append(all, TargetRun{Run: run, Service: in.service.Name, Target: in.name})
		}
	}
	return all, nil
}

// completedIDs returns the request ids of the callers' calls whose runs served a
// completed request. The response to an at-most-once request may result from a run
// for any of its calls, so all of them are included.
func completedIDs(records []*load.Record) map[string]bool {
	ids := map[string]bool{}
	for _, record := range records {
		completed := record.Result() == load.Completed
		for _, call := range record.Calls {
			if call.Result == load.Completed || completed && record.Key != "" {
				ids[call.RequestID] = true
			}
		}
	}
	return ids
}
