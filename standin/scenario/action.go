package scenario

import (
	"slices"
	"time"
)

// Verbs of actions, each with its syntax. scenarios/README.md describes what
// they do.
const (
	VerbSlow       = "slow"       // slow TARGETS xN
	VerbFreeze     = "freeze"     // freeze TARGETS
	VerbThaw       = "thaw"       // thaw TARGETS
	VerbShed       = "shed"       // shed TARGETS 30%
	VerbDrop       = "drop"       // drop TARGETS 30%
	VerbReport     = "report"     // report TARGETS true|stuck|lie|late [2s]
	VerbStragglers = "stragglers" // stragglers SERVICE/OPERATION 1/100 xN, or off
	VerbKill       = "kill"       // kill PROCESS
	VerbStop       = "stop"       // stop PROCESS (SIGSTOP)
	VerbContinue   = "continue"   // continue PROCESS
	VerbTerminate  = "terminate"  // terminate PROCESS (SIGTERM)
	VerbStart      = "start"      // start PROCESS
	VerbReplace    = "replace"    // replace PROCESS: kill, and start again after a pause
	VerbPlatform   = "platform"   // platform up|down|hang|slow|lose-answers|late-effect|copy|restore [P%] [DELAY]
)

// processKinds are the kinds of PROCESS, which is written as node NAME, target
// NAME, or instance NAME for both processes of an instance. NAME selects targets
// as in MatchingTargets.
var processKinds = []string{"node", "target", "instance"}

// reportModes are the modes of VerbReport.
var reportModes = []string{"true", "stuck", "lie", "late"}

// platformFaults are the kinds of faults of VerbPlatform; "up" ends them, and "copy" and
// "restore" happen once.
var platformFaults = []string{"up", "down", "hang", "slow", "lose-answers", "late-effect", "copy", "restore"}

// action parses the action of an at or every statement.
func (p *parser) action(at time.Duration) {
	a := Action{At: at, Line: p.line, Verb: p.word("action")}
	switch a.Verb {
	case VerbSlow:
		a.Object = p.word("targets")
		a.Args = []string{p.peek()}
		p.factor("factor")
	case VerbFreeze, VerbThaw:
		a.Object = p.word("targets")
	case VerbShed, VerbDrop:
		a.Object = p.word("targets")
		a.Args = []string{p.peek()}
		p.percent("share")
	case VerbReport:
		a.Object = p.word("targets")
		a.Args = p.rest()
		p.oneOf("report", a.Args, reportModes)
	case VerbStragglers:
		a.Object = p.word("operation")
		a.Args = p.stragglers()
	case VerbKill, VerbStop, VerbContinue, VerbTerminate, VerbStart, VerbReplace:
		a.Args = []string{p.peek()}
		p.oneOf("process", []string{p.word("kind of process")}, processKinds)
		a.Object = p.word("name")
	case VerbPlatform:
		a.Args = p.rest()
		p.oneOf("platform", a.Args, platformFaults)
	default:
		p.reportf("unknown action %q", a.Verb)
		p.rest()
	}
	p.scenario.Actions = append(p.scenario.Actions, a)
}

// stragglers parses: 1/N xFACTOR, or off. It returns these words.
func (p *parser) stragglers() []string {
	if p.peek() == "off" {
		return p.rest()
	}
	args := append([]string{}, *p.words...)
	p.oneIn()
	p.factor("factor")
	return args
}

// oneOf reports a finding unless the first argument is allowed.
func (p *parser) oneOf(what string, args, allowed []string) {
	if len(args) == 0 || !slices.Contains(allowed, args[0]) {
		p.reportf("%s: want one of %v, found %v", what, allowed, args)
	}
}
