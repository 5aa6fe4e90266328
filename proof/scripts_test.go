package proof

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
)

// TestProcesses runs the scripts of testdata/processes, each with its own processes. The
// scripts check whether promises hold, not how long anything takes.
func TestProcesses(t *testing.T) {
	bin, err := binaryDir()
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/processes",
		Setup: func(env *testscript.Env) error {
			p := newProcesses(env.WorkDir, bin)
			env.Values[scriptStateKey] = &script{processes: p, orders: map[string]chan orderResult{}}
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Defer(p.stop)
			if err := os.CopyFS(env.WorkDir, os.DirFS("testdata/orders")); err != nil {
				return err
			}
			err := p.startPlatform()
			env.Setenv("PLATFORM", "http://"+p.platformAddress)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform":      command((*script).cmdPlatform),
			"instance":      command((*script).cmdInstance),
			"half-instance": command((*script).cmdHalfInstance),
			"half-runs":     command((*script).cmdHalfRuns),
			"members":       command((*script).cmdMembers),
			"seen-by":       command((*script).cmdSeenBy),
			"control":       command((*script).cmdControl),
			"signal":        command((*script).cmdSignal),
			"link":          command((*script).cmdLink),
			"exits":         command((*script).cmdExits),
			"key":           command((*script).cmdKey),
			"order":         command((*script).cmdOrder),
			"answer":        command((*script).cmdAnswer),
			"started":       command((*script).cmdStarted),
			"runner":        command((*script).cmdRunner),
			"runs":          command((*script).cmdRuns),
			"at-most":       command((*script).cmdAtMost),
			"journal":       command((*script).cmdJournal),
			"load":          command((*script).cmdLoad),
			"load-rest":     command((*script).cmdLoadRest),
			"equal":         command((*script).cmdEqual),
			"sleep":         command((*script).cmdSleep),
			"versions":      command((*script).cmdVersions),
			"eventually":    command((*script).cmdEventually),
		},
	})
}

// scriptStateKey is the key of a script's state among the values of its environment.
const scriptStateKey = "script"

// script is the state of one script.
type script struct {
	*processes
	ts     *testscript.TestScript
	orders map[string]chan orderResult // responses of the orders in flight, by name of the order
}

// orderResult is the response to an order.
type orderResult struct {
	text string // outcome and status; for a refusal also reason and retry-after in ms
	body string
	err  error
}

// command turns a method that returns an error into a script command. A negated command
// must return an error.
func command(method func(*script, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		s := ts.Value(scriptStateKey).(*script)
		s.ts = ts
		err := method(s, args)
		switch {
		case negated && err == nil:
			ts.Fatalf("unexpected success")
		case !negated && err != nil:
			ts.Fatalf("%v", err)
		}
	}
}

func (s *script) instance(name string) (*instance, error) {
	in := s.instances[name]
	return in, errors.Wrapf(notFoundIf(in == nil), "instance %q", name)
}

func notFoundIf(missing bool) error {
	if missing {
		return errors.New("not found")
	}
	return nil
}

// platform FAULT-AS-JSON: sets a fault of the platform.
func (s *script) cmdPlatform(args []string) error {
	return s.post("http://"+s.platformAddress+"/fault", args[0])
}

// instance NAME SERVICE SETTINGS-FILE: starts a target and its node, and sets the variable
// NAME_PEER to the node's peer address.
func (s *script) cmdInstance(args []string) error {
	err := s.startInstance(args[0], args[1], s.ts.MkAbs(args[2]))
	if err != nil {
		return err
	}
	s.ts.Setenv(args[0]+"_PEER", s.instances[args[0]].peerAddress)
	return nil
}

// half-instance NAME SERVICE: starts a node with a target whose responses are truncated.
func (s *script) cmdHalfInstance(args []string) error {
	in, err := s.startNode(args[0], args[1])
	if err != nil {
		return err
	}
	if err := s.waitFor("the node to listen", func() error { return s.get("http://" + in.peerAddress + "/healthz") }); err != nil {
		return err
	}
	if in.truncating, err = s.startTruncatingTarget(in); err != nil {
		return err
	}
	return s.waitReady(in)
}

// half-runs INSTANCE NUMBER: checks the number of calls that reached the target of a
// half-instance.
func (s *script) cmdHalfRuns(args []string) error {
	in, err := s.instance(args[0])
	if err != nil {
		return err
	}
	return s.cmdEqual([]string{strconv.FormatInt(in.truncating.calls.Load(), 10), args[1]})
}

// members SERVICE NUMBER: runs seen-by for each running node.
func (s *script) cmdMembers(args []string) error {
	for name, in := range s.instances {
		if in.node.ended() {
			continue
		}
		if err := s.cmdSeenBy([]string{name, args[0], args[1]}); err != nil {
			return err
		}
	}
	return nil
}

// seen-by INSTANCE SERVICE NUMBER: waits until the instance's membership table has NUMBER
// ready members of the service and none that is suspect.
func (s *script) cmdSeenBy(args []string) error {
	in, err := s.instance(args[0])
	if err != nil {
		return err
	}
	return s.waitFor("the membership", func() error {
		members, err := s.members(in, args[1])
		if err != nil {
			return err
		}
		ready, suspect := 0, 0
		for _, m := range members {
			switch m.State {
			case fleet.Ready:
				ready++
			case fleet.Suspect:
				suspect++
			}
		}
		if strconv.Itoa(ready) != args[2] || suspect > 0 {
			return errors.Newf("%s has %d ready and %d suspect members", in.name, ready, suspect)
		}
		return nil
	})
}

func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// control INSTANCE|all JSON: sets the behaviour of one target or of all.
func (s *script) cmdControl(args []string) error {
	for name, in := range s.instances {
		if args[0] != name && args[0] != "all" {
			continue
		}
		if in.target.ended() {
			continue
		}
		if err := s.post("http://"+in.targetAddress+"/control", args[1]); err != nil {
			return err
		}
	}
	return nil
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// signal INSTANCE node|target NAME: sends a signal to a process; after KILL it waits until
// the process has exited.
func (s *script) cmdSignal(args []string) error {
	process, err := s.process(args[0], args[1])
	if err != nil {
		return err
	}
	if err := process.cmd.Process.Signal(signals[args[2]]); err != nil {
		return err
	}
	if args[2] == "KILL" {
		<-process.exited
	}
	return nil
}

// link INSTANCE cut|whole: sets whether peers reach the instance's node.
func (s *script) cmdLink(args []string) error {
	in, err := s.instance(args[0])
	if err != nil {
		return err
	}
	return in.relay.setCut(args[1] == "cut")
}

func (s *script) process(name, kind string) (*process, error) {
	in, err := s.instance(name)
	if err != nil {
		return nil, err
	}
	if kind == "target" {
		return in.target, nil
	}
	return in.node, nil
}

// exits INSTANCE node|target: waits until the process exits by itself and checks that its
// exit code is 0.
func (s *script) cmdExits(args []string) error {
	process, err := s.process(args[0], args[1])
	if err != nil {
		return err
	}
	select {
	case <-process.exited:
	case <-time.After(readyTimeout):
		return errors.Newf("%s has not exited", process.name)
	}
	if code := process.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Newf("%s exited with code %d", process.name, code)
	}
	return nil
}

// key VARIABLE: sets the variable to a new idempotency key, by which the runs of an order
// are counted.
func (s *script) cmdKey(args []string) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	s.ts.Setenv(args[0], id.String())
	return nil
}

// order NAME INSTANCE SERVICE/OPERATION KEY TIMEOUT: sends an order and doesn't wait; the
// command answer waits for its response.
func (s *script) cmdOrder(args []string) error {
	in, err := s.instance(args[1])
	if err != nil {
		return err
	}
	timeout, err := time.ParseDuration(args[4])
	if err != nil {
		return err
	}
	done := make(chan orderResult, 1)
	s.orders[args[0]] = done
	go func() { done <- s.sendOrder(in, args[2], args[3], timeout) }()
	return nil
}

// keyHeader is the name of the header with the key that targets write to their journals.
const keyHeader = "Idempotency-Key"

func (s *script) sendOrder(in *instance, operation, key string, timeout time.Duration) orderResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+in.callAddress+"/call/"+operation, io.NopCloser(strings.NewReader("order "+key)))
	if err != nil {
		return orderResult{err: err}
	}
	request.Header.Set(keyHeader, key)
	request.Header.Set(callhttp.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := s.client.Do(request)
	if err != nil {
		return orderResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return orderResult{err: err}
	}
	text := fmt.Sprintf("%s %d", response.Header.Get(callhttp.HeaderOutcome), response.StatusCode)
	if reason := response.Header.Get(callhttp.HeaderReason); reason != "" {
		text += " " + reason + " after " + response.Header.Get(callhttp.HeaderRetryAfterMS)
	}
	return orderResult{text: text, body: string(body)}
}

// answer NAME PATTERN [FILE]: waits for the response to an order and checks that it
// matches, as in "completed 200" or "not-run 503 platform after 500" (a retry-after of
// 500 ms). It is "broken" if the connection broke. The body is written to FILE.
func (s *script) cmdAnswer(args []string) error {
	r := <-s.orders[args[0]]
	if r.err != nil {
		r.text = "broken"
	}
	s.ts.Logf("%s: %s", args[0], r.text)
	matched, err := regexp.MatchString("^("+args[1]+")( |$)", r.text)
	if err != nil {
		return err
	}
	if !matched {
		return errors.Newf("order %s: %s %v", args[0], r.text, r.err)
	}
	if len(args) > 2 {
		return os.WriteFile(s.ts.MkAbs(args[2]), []byte(r.body), 0o600)
	}
	return nil
}

// started KEY: waits until a target has started to run the order with the key.
func (s *script) cmdStarted(args []string) error {
	return s.waitFor("a run of the order", func() error {
		n, err := s.countRuns(args[0])
		if err == nil && n == 0 {
			err = errors.New("no run")
		}
		return err
	})
}

// runs KEY NUMBER: checks how many runs of the key have started, at all targets together.
func (s *script) cmdRuns(args []string) error {
	n, err := s.countRuns(args[0])
	if err != nil {
		return err
	}
	if strconv.Itoa(n) != args[1] {
		return errors.Newf("key %s: %d runs, want %s", args[0], n, args[1])
	}
	return nil
}

// at-most KEY NUMBER: checks that at most NUMBER runs of the key have started.
func (s *script) cmdAtMost(args []string) error {
	n, err := s.countRuns(args[0])
	if err != nil {
		return err
	}
	limit, err := strconv.Atoi(args[1])
	if err == nil && n > limit {
		err = errors.Newf("key %s: %d runs, more than allowed", args[0], n)
	}
	return err
}

// journal INSTANCE VARIABLE: sets the variable to the number of runs that the target has
// started.
func (s *script) cmdJournal(args []string) error {
	text, err := os.ReadFile(filepath.Join(s.workDir, args[0]+".journal"))
	s.ts.Setenv(args[1], strconv.Itoa(strings.Count("\n"+string(text), "\nS ")))
	return err
}

// load INSTANCE SERVICE/OPERATION DURATION: sends orders one after the other for the
// duration; each must complete.
func (s *script) cmdLoad(args []string) error {
	in, err := s.instance(args[0])
	if err != nil {
		return err
	}
	return s.load(in, args[1], args[2], []string{"completed 200"})
}

// load sends orders one after the other for the duration. The result of each must be one
// of accepted, and each must run at most once.
func (s *script) load(in *instance, operation, duration string, accepted []string) error {
	runTime, err := time.ParseDuration(duration)
	if err != nil {
		return err
	}
	for end := time.Now().Add(runTime); time.Now().Before(end); {
		id, err := uuid.NewV7()
		if err != nil {
			return err
		}
		r := s.sendOrder(in, operation, id.String(), 5*time.Second)
		if r.err != nil || !slices.Contains(accepted, r.text) {
			return errors.Newf("order %s: %s %v", id, r.text, r.err)
		}
		if n, err := s.countRuns(id.String()); err != nil || n > 1 {
			return errors.Newf("order %s ran %d times, want at most 1: %v", id, n, err)
		}
	}
	return nil
}

// load-rest INSTANCE|none SERVICE/OPERATION DURATION [unknown]: runs load at each running
// node but the named one. With unknown, the outcome of an order may also be unknown.
func (s *script) cmdLoadRest(args []string) error {
	accepted := []string{"completed 200"}
	if len(args) > 3 {
		accepted = append(accepted, "unknown 504")
	}
	for name, in := range s.instances {
		if name == args[0] || in.node.ended() {
			continue
		}
		if err := s.load(in, args[1], args[2], accepted); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// equal TEXT TEXT: checks that both texts are equal.
func (s *script) cmdEqual(args []string) error {
	if args[0] != args[1] {
		return errors.Newf("%s is not %s", args[0], args[1])
	}
	return nil
}

// sleep DURATION: waits for the duration, for promises that state a time.
func (s *script) cmdSleep(args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// runner VARIABLE KEY: sets the variable to the instance whose target has started to run
// the order with the key.
func (s *script) cmdRunner(args []string) error {
	for name := range s.instances {
		n, err := s.runsAt(name, args[1])
		if err != nil {
			return err
		}
		if n > 0 {
			s.ts.Setenv(args[0], name)
			return nil
		}
	}
	return errors.Newf("key %s: no run", args[1])
}

// countRuns returns the number of started runs of a key at all targets.
func (s *script) countRuns(key string) (int, error) {
	count := 0
	for name := range s.instances {
		n, err := s.runsAt(name, key)
		if err != nil {
			return 0, err
		}
		count += n
	}
	return count, nil
}

// runsAt returns the number of started runs of a key in a target's journal. Lines of
// started runs begin with S and have the key in their fourth field.
func (s *script) runsAt(name, key string) (int, error) {
	text, err := os.ReadFile(filepath.Join(s.workDir, name+".journal"))
	if err != nil {
		return 0, err
	}
	count := 0
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[0] == "S" && fields[3] == key {
			count++
		}
	}
	return count, nil
}

// versions VARIABLE: waits until all running nodes have the same configuration in force,
// and sets the variable to its version.
func (s *script) cmdVersions(args []string) error {
	var version uint64
	err := s.waitFor("one configuration in force", func() error {
		version = 0
		for _, in := range s.instances {
			if in.node.ended() {
				continue
			}
			status, err := s.status(in)
			if err != nil {
				return err
			}
			if version != 0 && status.ConfigVersion != version {
				return errors.Newf("configuration versions %s and %s are in force", epoch.Version(version), epoch.Version(status.ConfigVersion))
			}
			version = status.ConfigVersion
		}
		return nil
	})
	s.ts.Setenv(args[0], epoch.Version(version).String())
	return err
}

// eventually INSTANCE SERVICE/OPERATION KEY PATTERN: sends an order and retries it
// with the same key until the response matches.
func (s *script) cmdEventually(args []string) error {
	in, err := s.instance(args[0])
	if err != nil {
		return err
	}
	pattern, err := regexp.Compile("^(" + args[3] + ")( |$)")
	if err != nil {
		return err
	}
	return s.waitFor("response "+args[3], func() error {
		r := s.sendOrder(in, args[1], args[2], 2*time.Second)
		if r.err != nil || !pattern.MatchString(r.text) {
			return errors.Newf("%s %v", r.text, r.err)
		}
		return nil
	})
}
