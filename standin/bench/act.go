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

const continueSignal = syscall.SIGCONT

// replacePause is the time between the kill and the start of a replacement.
const replacePause = 500 * time.Millisecond

// act carries out the scenario's actions, each at its time and none waiting
// for another.
func (f *fleet) act(ctx context.Context, start time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	repetitions := map[int]int{} // by line
	for _, action := range f.scenario.Actions {
		if pause(ctx, time.Until(start.Add(action.At))) != nil {
			return
		}
		repetition := repetitions[action.Line]
		repetitions[action.Line]++
		group.Go(func() { f.carryOut(ctx, action, repetition) })
	}
}

func (f *fleet) carryOut(ctx context.Context, a scenario.Action, repetition int) {
	if a.Verb == scenario.VerbPlatform {
		f.setFault(ctx, a)
		return
	}
	object := a.Object
	if a.Verb == scenario.VerbStragglers {
		object, _, _ = strings.Cut(a.Object, "/")
	}
	for _, name := range f.scenario.MatchingTargets(object, repetition) {
		in := f.instance(name)
		f.note("%s %s %s", a.Verb, name, strings.Join(a.Args, " "))
		if control, ok := controlOf(a); ok {
			f.control(ctx, in, control)
			continue
		}
		f.signal(ctx, in, a)
	}
}

func (f *fleet) instance(name string) *instance {
	for _, in := range f.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}

// controlOf returns the change of behaviour that an action asks of targets.
func controlOf(a scenario.Action) (target.Control, bool) {
	var c target.Control
	switch a.Verb {
	case scenario.VerbSlow:
		c.Slow = number(a.Args[0])
	case scenario.VerbFreeze, scenario.VerbThaw:
		freeze := a.Verb == scenario.VerbFreeze
		c.Freeze = &freeze
	case scenario.VerbShed:
		c.ShedPercent = number(a.Args[0])
	case scenario.VerbDrop:
		c.DropPercent = number(a.Args[0])
	case scenario.VerbReport:
		mode := target.ReportMode(a.Args[0])
		c.Report = &mode
		if len(a.Args) > 1 {
			c.LateMs = milliseconds(a.Args[1])
		}
	case scenario.VerbStragglers:
		_, c.Operation, _ = strings.Cut(a.Object, "/")
		oneIn := 0
		if len(a.Args) > 1 {
			oneIn = int(*number(strings.TrimPrefix(a.Args[0], "1/")))
			c.Straggler = number(a.Args[1])
		}
		c.OneIn = &oneIn
	default:
		return c, false
	}
	return c, true
}

// number reads a number such as x5, 30% or 5, which the parser has checked.
func number(text string) *float64 {
	x, err := strconv.ParseFloat(strings.Trim(text, "x%"), 64)
	if err != nil {
		return nil
	}
	return &x
}

func milliseconds(text string) *int64 {
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil
	}
	ms := d.Milliseconds()
	return &ms
}

func (f *fleet) control(ctx context.Context, in *instance, c target.Control) {
	body, err := json.Marshal(c)
	if err == nil {
		err = f.send(ctx, http.MethodPost, "http://"+in.targetAddress+"/control", body)
	}
	if err != nil {
		f.note("failed: %v", err)
	}
}

// signal acts on the processes of an instance. In plain mode there are no
// nodes, so only what concerns the target is done.
func (f *fleet) signal(ctx context.Context, in *instance, a scenario.Action) {
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

func (f *fleet) startAll(processes []*process) {
	for _, p := range processes {
		p.wait(killTimeout)
		if err := p.start(); err != nil {
			f.note("failed: %v", err)
		}
	}
}

// setFault reads: platform KIND [P%] [DELAY].
func (f *fleet) setFault(ctx context.Context, a scenario.Action) {
	fault := platform.Fault{Kind: platform.FaultKind(a.Args[0])}
	for _, word := range a.Args[1:] {
		if strings.HasSuffix(word, "%") {
			fault.Probability = *number(word) / 100
			continue
		}
		if ms := milliseconds(word); ms != nil {
			fault.DelayMs = *ms
		}
	}
	f.note("platform %s", strings.Join(a.Args, " "))
	body, err := json.Marshal(fault)
	if err == nil {
		err = f.send(ctx, http.MethodPost, "http://"+f.address+"/fault", body)
	}
	if err != nil {
		f.note("failed: %v", err)
	}
}
