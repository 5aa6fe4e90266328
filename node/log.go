package node

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/gypsumford/gypsumford/confirmation"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/limiter"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
	"github.com/gypsumford/gypsumford/spillover"
)

// decisionLog writes one line for each decision on a request and each change of state.
type decisionLog struct{ logr.Logger }

// requestEnded logs the end of a request.
func (l decisionLog) requestEnded(r *request, response *ingress.Response, why string, took time.Duration) {
	status := 0
	if response != nil {
		status = response.Status
	}
	routeName, version := "", route.Version(0)
	if r.route != nil {
		routeName, version = r.route.Name, r.configuration.Version
	}
	l.Info("request ended", "request", r.RequestID, "route", routeName, "version", version, "service", r.service,
		"account", r.accountName(), "status", status, "own", response == nil || response.FromNode, "why", why, "last", r.lastReason.String(),
		"sends", r.sends, "arrivals", r.arrivals, "tried", r.excluded, "origin", r.origin.String(),
		"tookMs", took.Milliseconds(), "score", r.choice.Score, "candidates", r.choice.Candidates,
		"loadAgeMs", r.choice.LoadAge.Milliseconds(), "left", r.choice.Spillover.Reason.String())
}

// callEnded logs the end of a call at the node beside its target, unless the target
// responded without a failure.
func (l decisionLog) callEnded(c *link.Call, reply *link.Reply, currentTarget func() roster.Target) {
	if reply.Outcome == link.OutcomeResponded && reply.Status < http.StatusInternalServerError {
		return
	}
	target := currentTarget()
	l.Info("call ended", "request", c.RequestID, "route", c.Route, "outcome", reply.Outcome.String(),
		"reason", reply.Reason.String(), "status", reply.Status, "meant", c.TargetID, "target", target.ID,
		"state", target.State.String(), "running", reply.Load.Running, "waiting", reply.Load.Waiting,
		"slots", reply.Load.Slots, "priority", c.Priority, "leftMs", c.RemainingTime.Milliseconds(), "tookMs", reply.Duration.Milliseconds())
}

// brokenResponse logs why the response to a call can't be used.
func (l decisionLog) brokenResponse(c *link.Call, err error) {
	l.Info("answer broken", "request", c.RequestID, "target", c.TargetID, "error", err.Error())
}

// refusalUnproven logs that a target refused a request without stating that it has not run.
func (l decisionLog) refusalUnproven(r *request, status int) {
	l.Info("refusal unproven", "request", r.RequestID, "target", r.choice.Record.Target.ID, "status", status)
}

// targetEnded logs that the target's process has ended, and the calls that were in flight
// there. They are in one line, because the many lines about calls that end with the target may
// exceed the limit of lines.
func (l decisionLog) targetEnded(target *roster.Target, sign string, planned bool, suspects []*run, now time.Time) {
	calls := make([]suspectCall, len(suspects))
	for i, s := range suspects {
		calls[i] = suspectCall{
			Fingerprint: s.fingerprint, Request: s.requestID, Route: s.route,
			RanMs: now.Sub(s.writtenAt).Milliseconds(), Unfinished: s.unfinished,
		}
	}
	l.Info("target ended", "target", target.ID, "born", target.Born, "sign", sign, "planned", planned, "inFlight", calls)
}

// suspectCall is a call that was in flight when its target ended, as it is logged.
type suspectCall struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	Request     string                 `json:"request"`
	Route       string                 `json:"route"`
	RanMs       int64                  `json:"ranMs"`
	Unfinished  bool                   `json:"unfinished,omitempty"`
}

// quarantineChanged logs that the status of a request has changed. from is the instance whose
// report changed it, or how else it changed.
func (l decisionLog) quarantineChanged(c *quarantine.Change, from string) {
	since, until := "", ""
	if c.Crashes > 0 {
		since = c.Since.UTC().Format(time.RFC3339Nano)
	}
	if c.To == quarantine.Quarantined {
		until = c.Until.UTC().Format(time.RFC3339Nano)
	}
	l.Info("request "+c.To.String(), "fingerprint", c.Fingerprint.String(), "before", c.From.String(),
		"crashes", c.Crashes, "since", since, "until", until, "from", from)
}

// quarantineReleased logs that an operator has released a request.
func (l decisionLog) quarantineReleased(f quarantine.Fingerprint, crashes int, by string) {
	l.Info("request released by an operator", "fingerprint", f.String(), "crashes", crashes, "by", by)
}

// requestRefused logs a request that was refused at the entry, and why.
func (l decisionLog) requestRefused(r *request, decision *loadshed.Decision, cost loadshed.CostStatus, retryAfter time.Duration) {
	l.Info("request refused", "request", r.RequestID, "route", r.route.Name, "priority", r.priority, "cost", cost.String(),
		"service", decision.Service, "pressure", decision.Pressure, "ageMs", decision.Age.Milliseconds(), "share", decision.Share, "retryAfterMs", retryAfter.Milliseconds())
}

// domainLeft logs that requests for a service began to leave the node's failure domain, or that
// they stay there again.
func (l decisionLog) domainLeft(s *spillover.Status, domain string) {
	message := "requests stay in the failure domain"
	if s.Leaving {
		message = "requests leave the failure domain"
	}
	l.Info(message, "service", s.Service, "domain", domain, "share", s.Share)
}

// unexpectedError logs an error that the other end of the connection didn't cause.
func (l decisionLog) unexpectedError(where string, err error) {
	l.Info("unexpected error", "at", where, "error", err.Error())
}

func (l decisionLog) targetChanged(r *roster.Record) {
	l.Info("target changed", "target", r.Target.ID, "service", r.Target.Service, "state", r.Target.State.String(),
		"born", r.Target.Born, "slots", r.Target.Slots, "sequence", r.Sequence,
		"rateLimit", r.Target.RateLimit, "leaving", r.Target.Leaving)
}

// targetHeld logs that a target isn't used yet, as nothing shows that it hasn't left before this
// process was started.
func (l decisionLog) targetHeld(t *roster.Target) {
	l.Info("target held", "target", t.ID, "born", t.Born, "sequence", t.Sequence)
}

// targetConfirmed logs that a target doesn't leave, and by what it was shown.
func (l decisionLog) targetConfirmed(t *roster.Target, by string) {
	l.Info("target confirmed", "target", t.ID, "born", t.Born, "by", by)
}

// targetUnconfirmed logs an answer to a health check that doesn't show that the held target stays.
func (l decisionLog) targetUnconfirmed(a *confirmation.Answer, status int) {
	l.Info("target not confirmed", "answeredBy", a.TargetID, "status", status, "keepsConnection", a.KeepsConnection, "leaving", a.StatesLeaving)
}

// statementChanged logs that the local target changed what it states for all nodes. why is
// the ID of the request whose response stated it, or how else it became known.
func (l decisionLog) statementChanged(before, after *roster.Target, why string) {
	l.Info("target statement changed", "target", after.ID, "why", why,
		"rateLimit", after.RateLimit, "rateLimitBefore", before.RateLimit,
		"leaving", after.Leaving, "leavingBefore", before.Leaving)
}

// targetLimited logs how many calls a target got that limits its rate.
func (l decisionLog) targetLimited(target *roster.Target, calls callCounts, state *limiter.Limiter) {
	l.Info("target limits its rate", "target", target.ID, "rateLimit", target.RateLimit, "sent", calls.sent,
		"refused", calls.refused, "running", state.Running(), "waiting", state.Waiting())
}

func (l decisionLog) peerChanged(r *roster.Record, from string) {
	l.Info("peer changed", "instance", r.Instance, "incarnation", r.Incarnation, "sequence", r.Sequence,
		"target", r.Target.ID, "state", r.Target.State.String(), "leaving", r.Leaving, "rateLimit", r.Target.RateLimit,
		"targetLeaving", r.Target.Leaving, "from", from)
}

func (l decisionLog) dependencyFailed(name string, err error) {
	l.Info("dependency failed", "dependency", name, "error", err.Error())
}

func (l decisionLog) dependencyRegained(name string) {
	l.Info("dependency regained", "dependency", name)
}

// storeEpoch logs what a response of the store showed about its epoch.
func (l decisionLog) storeEpoch(c epoch.Change) {
	text := ""
	if c.Err != nil {
		text = c.Err.Error()
	}
	l.Info("store epoch", "finding", c.Finding.String(), "from", c.From.String(), "stated", c.To.String(), "error", text)
}

// recordsMissing logs how many records the store lacks, or holds in an older version than the
// node knows, and what it holds of the node's own.
func (l decisionLog) recordsMissing(missing, known int, own string, current epoch.ID) {
	l.Info("records missing in the store", "missing", missing, "known", known, "own", own, "epoch", current.String())
}

// recordWrittenAgain logs that a record is written to the store that it has forgotten.
func (l decisionLog) recordWrittenAgain(instance, why string) {
	l.Info("record written again", "instance", instance, "why", why)
}

// configurationOlder logs that the store holds an older configuration than the one in force,
// as after a restore.
func (l decisionLog) configurationOlder(held, inForce route.Version) {
	l.Info("configuration in the store is older", "version", held, "inForce", inForce)
}

// proofChanged logs that the node has a proof that its configuration is recent, or has no
// longer one.
func (l decisionLog) proofChanged(proven bool, age time.Duration, version route.Version) {
	l.Info("configuration proof", "proven", proven, "ageMs", age.Milliseconds(), "version", version)
}

func (l decisionLog) inputIgnored(what, why string, more ...any) {
	l.Info("input ignored", append([]any{"input", what, "why", why}, more...)...)
}

// serviceRestricted logs how far requests are refused because of a service's pressure.
func (l decisionLog) serviceRestricted(s *loadshed.Restriction) {
	l.Info("requests held back", "service", s.Service, "pressure", s.Pressure, "known", s.Fresh,
		"ageMs", s.Age.Milliseconds(), "priority", s.Priority, "share", s.Share)
}
