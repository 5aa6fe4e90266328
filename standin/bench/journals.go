package bench

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/standin/load"
	"github.com/gypsumford/gypsumford/standin/target"
)

// TargetRun is one execution of an operation and where it was.
type TargetRun struct {
	target.Run
	Service string
	Target  string
}

// name returns service/operation.
func (r *TargetRun) name() string { return r.Service + "/" + r.Operation }

// isCall reports whether the run was that of an operation.
func (r *TargetRun) isCall() bool {
	return r.Operation != target.ProbeRun && r.Operation != target.ReportRun
}

func (f *fleet) readJournals() ([]TargetRun, error) {
	var all []TargetRun
	for _, in := range f.instances {
		runs, err := target.ReadJournal(in.journal)
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

// served returns the request ids whose runs served a request that ended whole.
// The answer to an at-most-once request may stem from any of its asks.
func served(records []*load.Record) map[string]bool {
	ids := map[string]bool{}
	for _, record := range records {
		whole := record.Result() == load.Whole
		for _, ask := range record.Calls {
			if ask.Result == load.Whole || whole && record.Key != "" {
				ids[ask.RequestID] = true
			}
		}
	}
	return ids
}
