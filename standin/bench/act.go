package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumford/gypsumford/standin/platform"
	"github.com/gypsumford/gypsumford/standin/scenario"
	"github.com/gypsumford/gypsumford/standin/target"
)

// continueSignal resumes a stopped process.
const continueSignal = syscall.SIGCONT

// replacePause is the time between the kill of a process and the start of its
// replacement.
const replacePause = 500 * time.Millisecond

// runActions starts the scenario's actions, each at its time whether or not
// earlier ones have ended, and waits for all of them. Actions that are not due
// when the context ends are dropped.
func (f *fleet) runActions(ctx context.Context, start time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	repetitions := map[int]int{} // by line of the scenario file
	for _, action := range f.scenario.Actions {
		if pause(ctx, time.Until(start.Add(action.At))) != nil {
			return
		}
		repetition := repetitions[action.Line]
		repetitions[action.Line]++
		group.Go(func() { f.applyAction(ctx, action, repetition) })
	}
}

// applyAction applies one action to the platform, or to all targets that its
// object selects.
func (f *fleet) applyAction(ctx context.Context, a scenario.Action, repetition int) {
	if a.Verb == scenario.VerbPlatform {
		f.setPlatformFault(ctx, a)
		return
	}
	object := a.Object
	if a.Verb == scenario.VerbStragglers {
		object, _, _ = strings.Cut(a.Object, "/")
	}
	for _, name := range f.scenario.MatchingTargets(object, repetition) {
		in := f.findInstance(name)
		f.addNote("%s %s %s", a.Verb, name, strings.Join(a.Args, " "))
		if control, ok := targetControl(a); ok {
			f.sendControl(ctx, in, control)
			continue
		}
		f.signalInstance(ctx, in, a)
	}
}

// findInstance returns the named instance, or nil.
func (f *fleet) findInstance(name string) *instance {
	for _, in := range f.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}

// targetControl returns the change of the targets' behaviour that an action
// requests, and false if the action is of another kind.
func targetControl(a scenario.Action) (target.Control, bool) {
	var c target.Control
	switch a.Verb {
	case scenario.VerbSlow:
		c.Slow = parseNumber(a.Args[0])
	case scenario.VerbFreeze, scenario.VerbThaw:
		freeze := a.Verb == scenario.VerbFreeze
		c.Freeze = &freeze
	case scenario.VerbShed:
		c.ShedPercent = parseNumber(a.Args[0])
	case scenario.VerbDrop:
		c.DropPercent = parseNumber(a.Args[0])
	case scenario.VerbReport:
		mode := target.ReportMode(a.Args[0])
		c.Report = &mode
		if len(a.Args) > 1 {
			c.LateMs = parseMilliseconds(a.Args[1])
		}
	case scenario.VerbStragglers:
		_, c.Operation, _ = strings.Cut(a.Object, "/")
		oneIn := 0
		if len(a.Args) > 1 {
			oneIn = int(*parseNumber(strings.TrimPrefix(a.Args[0], "1/")))
			c.Straggler = parseNumber(a.Args[1])
		}
		c.OneIn = &oneIn
	default:
		return c, false
	}
	return c, true
}

// parseNumber parses a number such as x5, 30% or 5. It returns nil for other
// texts.
func parseNumber(text string) *float64 {
	x, err := strconv.ParseFloat(strings.Trim(text, "x%"), 64)
	if err != nil {
		return nil
	}
	return &x
}

// parseMilliseconds parses a duration such as 2s. It returns nil for other
// texts.
func parseMilliseconds(text string) *int64 {
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil
	}
	ms := d.Milliseconds()
	return &ms
}

// sendControl sends a change of behaviour to the instance's target.
func (f *fleet) sendControl(ctx context.Context, in *instance, c target.Control) {
	body, err := json.Marshal(c)
	if err == nil {
		err = f.send(ctx, http.MethodPost, "http://"+in.targetAddress+"/control", body)
	}
	if err != nil {
		f.addNote("control failed: %v", err)
	}
}

// signalInstance signals, starts or replaces those processes of the instance that
// the action names. In plain mode an instance has no node, so only the target is
// affected.
func (f *fleet) signalInstance(ctx context.Context, in *instance, a scenario.Action) {
	for _, p := range in.processes(a.Args[0]) {
		switch a.Verb {
		case scenario.VerbKill:
			p.signal(syscall.SIGKILL)
		case scenario.VerbStop:
			p.signal(syscall.SIGSTOP)
		case scenario.VerbContinue:
			p.signal(continueSignal)
		case scenario.VerbTerminate:
			p.signal(syscall.SIGTERM)
		case scenario.VerbReplace:
			p.signal(syscall.SIGKILL)
		}
	}
	switch a.Verb {
	case scenario.VerbReplace:
		if pause(ctx, replacePause) == nil {
			f.startAll(in.processes(a.Args[0]))
		}
	case scenario.VerbStart:
		f.startAll(in.processes(a.Args[0]))
	}
}

// processes returns the instance's processes of a kind: node, target, or
// instance for both.
func (in *instance) processes(kind string) []*process {
	var processes []*process
	if kind != "target" && in.node != nil {
		processes = append(processes, in.node)
	}
	if kind != "node" {
		processes = append(processes, in.target)
	}
	return processes
}

// startAll starts the processes, each after its previous run has exited.
func (f *fleet) startAll(processes []*process) {
	for _, p := range processes {
		p.wait(killTimeout)
		if err := p.start(); err != nil {
			f.addNote("start failed: %v", err)
		}
	}
}

// setPlatformFault applies an action of the form platform KIND [P%] [DELAY].
func (f *fleet) setPlatformFault(ctx context.Context, a scenario.Action) {
	fault := platform.Fault{Kind: platform.FaultKind(a.Args[0])}
	for _, word := range a.Args[1:] {
		if strings.HasSuffix(word, "%") {
			fault.Probability = *parseNumber(word) / 100
			continue
		}
		if ms := parseMilliseconds(word); ms != nil {
			fault.DelayMs = *ms
		}
	}
	f.addNote("platform %s", strings.Join(a.Args, " "))
	body, err := json.Marshal(fault)
	if err == nil {
		err = f.send(ctx, http.MethodPost, "http://"+f.platformAddress+"/fault", body)
	}
	if err != nil {
		f.addNote("platform fault failed: %v", err)
	}
}
