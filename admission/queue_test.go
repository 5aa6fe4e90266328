package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/call"
)

// oracle tracks the state of a queue from its verdicts alone, and checks the
// queue's invariants.
type oracle struct {
	t          *rapid.T
	queue      *admission.Queue
	now        time.Time
	slots      int
	lastID     admission.TicketID
	waiting    map[admission.TicketID]admission.Arrival
	running    map[admission.TicketID]bool
	startOrder []admission.TicketID // running calls in order of their start
	decided    map[admission.TicketID]bool
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, now: time.Unix(1_000_000, 0), slots: rapid.IntRange(1, 8).Draw(t, "slots"),
		waiting: map[admission.TicketID]admission.Arrival{},
		running: map[admission.TicketID]bool{},
		decided: map[admission.TicketID]bool{},
	}
	o.queue = admission.NewQueue(admission.DefaultConfig(o.slots), o.now)
	return o
}

// checkVerdicts checks and records verdicts. displacing means that an overload
// refusal can only come from a full queue, so no less important call may still wait.
func (o *oracle) checkVerdicts(verdicts []admission.Verdict, displacing bool) {
	for _, v := range verdicts {
		if o.decided[v.Ticket] {
			o.t.Fatalf("ticket %d got a second verdict %+v", v.Ticket, v)
		}
		o.decided[v.Ticket] = true
		arrival, ok := o.waiting[v.Ticket]
		if !ok {
			o.t.Fatalf("verdict on ticket %d, which is not waiting", v.Ticket)
		}
		delete(o.waiting, v.Ticket)
		if v.Kind == admission.Start {
			o.start(v.Ticket, arrival)
			continue
		}
		if v.Reason == call.NoReason || v.RetryAfter <= 0 {
			o.t.Fatalf("refusal without reason or retry-after delay: %+v", v)
		}
		if displacing && v.Reason == call.ReasonOverload {
			o.checkDisplaced(arrival)
		}
	}
}

func (o *oracle) start(id admission.TicketID, a admission.Arrival) {
	if !a.Deadline.IsZero() && o.now.After(a.Deadline) {
		o.t.Fatalf("ticket %d started after its deadline", id)
	}
	o.running[id] = true
	o.startOrder = append(o.startOrder, id)
	if len(o.running) > o.slots {
		o.t.Fatalf("%d calls are running on %d slots", len(o.running), o.slots)
	}
}

func (o *oracle) checkDisplaced(refused admission.Arrival) {
	for id, a := range o.waiting {
		if a.Priority.Class() > refused.Priority.Class() {
			o.t.Fatalf("class %d displaced while ticket %d of class %d waits",
				refused.Priority.Class(), id, a.Priority.Class())
		}
	}
}

func (o *oracle) arrive(t *rapid.T) {
	o.lastID++
	a := admission.Arrival{
		Priority:  call.PriorityOf(call.Class(rapid.IntRange(0, 3).Draw(t, "class")), call.Rank(rapid.Uint32Range(0, 1<<24-1).Draw(t, "rank"))),
		Caller:    fmt.Sprint("caller", rapid.IntRange(0, 80).Draw(t, "caller")),
		Operation: fmt.Sprint("operation", rapid.IntRange(0, 150).Draw(t, "operation")),
	}
	if wait := rapid.IntRange(0, 400).Draw(t, "deadline"); wait > 0 {
		a.Deadline = o.now.Add(time.Duration(wait) * time.Millisecond)
	}
	o.waiting[o.lastID] = a
	o.checkVerdicts(o.queue.Arrive(o.now, o.lastID, a, nil), true)
}

func (o *oracle) burst(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "calls") {
		o.arrive(t)
	}
}

func (o *oracle) finish(t *rapid.T) {
	if len(o.startOrder) == 0 {
		t.Skip("no running calls")
	}
	at := rapid.IntRange(0, len(o.startOrder)-1).Draw(t, "running")
	o.end(at, admission.Result(rapid.IntRange(0, 3).Draw(t, "result")))
}

func (o *oracle) end(at int, r admission.Result) {
	id := o.startOrder[at]
	o.startOrder = append(o.startOrder[:at], o.startOrder[at+1:]...)
	delete(o.running, id)
	o.checkVerdicts(o.queue.Finish(o.now, id, r, nil), false)
}

func (o *oracle) cancel(t *rapid.T) {
	id := admission.TicketID(rapid.Uint64Range(0, uint64(o.lastID)+1).Draw(t, "ticket"))
	_, waited := o.waiting[id]
	delete(o.waiting, id)
	o.checkVerdicts(o.queue.Cancel(o.now, id, nil), false)
	if waited {
		o.decided[id] = true
	}
}

func (o *oracle) advance(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
	o.checkVerdicts(o.queue.Tick(o.now, nil), false)
}

func (o *oracle) check(t *rapid.T) {
	s := o.queue.Stats()
	if s.Running != len(o.running) || s.Queued != len(o.waiting) {
		t.Fatalf("queue has %d running and %d waiting calls, its verdicts give %d and %d",
			s.Running, s.Queued, len(o.running), len(o.waiting))
	}
	if s.Queued > admission.MaxQueued {
		t.Fatalf("%d calls wait, more than MaxQueued", s.Queued)
	}
	if s.Limit > o.slots || s.Limit < 1 {
		t.Fatalf("limit is %d on %d slots", s.Limit, o.slots)
	}
}

// checkRecovery ends all calls and advances by 200 ticks without load. After that
// the queue must be empty and admit the least important call.
func (o *oracle) checkRecovery() {
	for len(o.startOrder) > 0 {
		o.end(0, admission.Completed)
	}
	for range 200 {
		o.now = o.now.Add(admission.TickInterval)
		o.checkVerdicts(o.queue.Tick(o.now, nil), false)
		for len(o.startOrder) > 0 {
			o.end(0, admission.Completed)
		}
	}
	if len(o.waiting) > 0 {
		o.t.Fatalf("%d calls still wait for an idle target", len(o.waiting))
	}
	o.lastID++
	a := admission.Arrival{Priority: call.PriorityOf(3, 1<<24-1), Operation: "last"}
	o.waiting[o.lastID] = a
	o.checkVerdicts(o.queue.Arrive(o.now, o.lastID, a, nil), true)
	if !o.running[o.lastID] {
		o.t.Fatal("a call was not started on an idle target")
	}
}

// TestQueueInvariants checks the queue against the oracle on random sequences of
// arrivals, ends, cancellations and ticks.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive, "burst": o.burst, "finish": o.finish,
			"cancel": o.cancel, "pass": o.advance, "": o.check,
		})
		o.checkRecovery()
	})
}

// TestQueueDecisions runs the scripts in testdata/queue.
func TestQueueDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata/queue", func(t *testing.T, path string) {
		start := time.Unix(1_000_000, 0)
		now := start
		var q *admission.Queue
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var verdicts []admission.Verdict
			id := 0
			if d.HasArg("id") {
				d.ScanArgs(t, "id", &id)
			}
			switch d.Cmd {
			case "queue":
				slots := 0
				d.ScanArgs(t, "slots", &slots)
				q = admission.NewQueue(admission.DefaultConfig(slots), now)
			case "arrive":
				verdicts = q.Arrive(now, admission.TicketID(id), arrival(t, d, now), nil)
			case "finish":
				verdicts = q.Finish(now, admission.TicketID(id), result(t, d), nil)
			case "cancel":
				verdicts = q.Cancel(now, admission.TicketID(id), nil)
			case "drain":
				verdicts = q.SetDraining(true, nil)
			case "after":
				ms := 0
				d.ScanArgs(t, "ms", &ms)
				for end := now.Add(time.Duration(ms) * time.Millisecond); now.Before(end); {
					now = now.Add(admission.TickInterval)
					verdicts = q.Tick(now, verdicts)
				}
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return describe(verdicts, q.Stats())
		})
	})
}

func arrival(t *testing.T, d *datadriven.TestData, now time.Time) admission.Arrival {
	var class, rank, deadline int
	a := admission.Arrival{Operation: "read"}
	if d.HasArg("class") {
		d.ScanArgs(t, "class", &class)
	}
	if d.HasArg("rank") {
		d.ScanArgs(t, "rank", &rank)
	}
	if d.HasArg("operation") {
		d.ScanArgs(t, "operation", &a.Operation)
	}
	if d.HasArg("deadline-ms") {
		d.ScanArgs(t, "deadline-ms", &deadline)
		a.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
	}
	a.Priority = call.PriorityOf(call.Class(class), call.Rank(rank))
	return a
}

func result(t *testing.T, d *datadriven.TestData) admission.Result {
	name := "completed"
	if d.HasArg("result") {
		d.ScanArgs(t, "result", &name)
	}
	results := map[string]admission.Result{
		"completed": admission.Completed, "failed": admission.Failed,
		"shed": admission.Shed, "abandoned": admission.Abandoned,
	}
	r, ok := results[name]
	if !ok {
		d.Fatalf(t, "unknown result %s", name)
	}
	return r
}

func describe(verdicts []admission.Verdict, s admission.Stats) string {
	var b strings.Builder
	for _, v := range verdicts {
		if v.Kind == admission.Start {
			fmt.Fprintf(&b, "start %d\n", v.Ticket)
			continue
		}
		fmt.Fprintf(&b, "refuse %d: %s\n", v.Ticket, v.Reason)
	}
	fmt.Fprintf(&b, "running %d of %d, waiting %d\n", s.Running, s.Limit, s.Queued)
	return b.String()
}
