package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/inventory"
	adapter "github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/standin/platform"
	"github.com/gypsumford/gypsumford/standin/scenario"
	"github.com/gypsumford/gypsumford/standin/target"
)

// Times of the start and the stop of a fleet.
const (
	readyTimeout = 20 * time.Second        // longest wait until an instance or the platform accepts calls
	readyPeriod  = 50 * time.Millisecond   // time between two polls
	stopGrace    = 3 * time.Second         // time between SIGTERM and SIGKILL
	settleTime   = 1500 * time.Millisecond // wait after readiness, in which membership updates reach all nodes
)

// region is the region of all failure domains of a scenario.
const region = "bench"

// nodeCores is the number of cores that one node may use at the same time.
const nodeCores = "2"

// seedCount is the number of seed nodes that each node is started with.
const seedCount = 3

// instance is a target with its node, their addresses and the target's journal.
type instance struct {
	name          string
	service       *scenario.Service
	targetAddress string
	callAddress   string // address of the node for calls from the target and from callers
	peerAddress   string // address of the node for other nodes and operators
	journalPath   string
	target        *process
	node          *process // nil in plain mode
}

// fleet holds the processes of one run.
type fleet struct {
	scenario        *scenario.Scenario
	options         Options
	platformAddress string
	platform        *process
	instances       []*instance
	client          *http.Client

	mu    sync.Mutex
	notes []string // applied actions and failures since the last progress line
}

// newFleet assigns the addresses of all processes and writes the targets'
// settings. It starts no process.
func newFleet(s *scenario.Scenario, options Options) (*fleet, error) {
	f := &fleet{scenario: s, options: options, client: &http.Client{Timeout: 5 * time.Second}}
	free := newPorts()
	var err error
	take := func() string {
		address, takeErr := free.take()
		err = errors.CombineErrors(err, takeErr)
		return address
	}
	f.platformAddress = take()
	for i := range s.Services {
		service := &s.Services[i]
		for _, name := range service.TargetNames() {
			f.instances = append(f.instances, &instance{
				name: name, service: service, journalPath: f.path(name + ".journal"),
				targetAddress: take(), callAddress: take(), peerAddress: take(),
			})
		}
	}
	if err != nil {
		return nil, err
	}
	f.platform = f.newProcess("platform", options.Standin, "platform", "-listen", f.platformAddress)
	for i, in := range f.instances {
		if err := f.prepare(in, s.Domains[i%len(s.Domains)]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// path returns the path of a file in the run's directory.
func (f *fleet) path(name string) string { return filepath.Join(f.options.Directory, name) }

// newProcess returns a process that isn't started yet.
func (f *fleet) newProcess(name, path string, args ...string) *process {
	return &process{name: name, path: path, args: args, logPath: f.path(name + ".log")}
}

// prepare writes the settings of the instance's target and sets the command
// lines of its processes.
func (f *fleet) prepare(in *instance, domain string) error {
	settings, err := json.MarshalIndent(f.targetSettings(in), "", "  ")
	if err != nil {
		return err
	}
	file := f.path(in.name + ".json")
	if err := os.WriteFile(file, settings, 0o644); err != nil {
		return err
	}
	in.target = f.newProcess(in.name+".target", f.options.Standin, "target", "-settings", file,
		"-listen", in.targetAddress, "-node", in.callAddress, "-journal", in.journalPath)
	in.target.env = []string{"GOMAXPROCS=2"}
	if f.options.Plain {
		return nil
	}
	in.node = f.newProcess(in.name+".node", f.options.Gypsumd,
		"-call-listen", in.callAddress, "-peer-listen", in.peerAddress,
		"-platform", "http://"+f.platformAddress, "-failure-domain", domain, "-region", region,
		"-seeds", strings.Join(f.seeds(), ","))
	in.node.env = []string{"GOMAXPROCS=" + nodeCores}
	return nil
}

// seeds returns the peer addresses that nodes join through.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, in := range f.instances {
		if len(seeds) < seedCount {
			seeds = append(seeds, in.peerAddress)
		}
	}
	return seeds
}

// targetSettings returns the settings of the instance's target.
func (f *fleet) targetSettings(in *instance) target.Settings {
	s := in.service
	settings := target.Settings{
		Service: s.Name, Slots: s.Slots, Queue: s.QueueCapacity, Connections: s.Connections,
		ConnectionCost: s.ConnectionCost, ProbeCost: s.ProbeCost,
		ColdStart: s.ColdStart, ColdFactor: s.ColdFactor, Drain: s.Drain,
		HopDelay: 2 * f.scenario.DomainDelay, Plain: f.options.Plain, Honour: !f.options.Plain,
		PlainTries: plainAttempts, PlainTimeout: plainTimeout,
	}
	if f.options.Plain {
		settings.Peers = f.targetAddresses()
	}
	for _, op := range s.Operations {
		settings.Operations = append(settings.Operations, target.Operation{
			Name: op.Name, Time: op.ServiceTime, Spread: op.Spread, Calls: op.Calls, Parallel: op.Parallel,
			Paid: op.AtMostOnce, OneIn: op.StragglerOneIn, Straggler: op.StragglerFactor,
		})
	}
	return settings
}

// targetAddresses returns the addresses of all targets by service.
func (f *fleet) targetAddresses() map[string][]string {
	peers := map[string][]string{}
	for _, in := range f.instances {
		peers[in.service.Name] = append(peers[in.service.Name], in.targetAddress)
	}
	return peers
}

// entryAddresses returns the call addresses of all nodes.
func (f *fleet) entryAddresses() []string {
	var entries []string
	for _, in := range f.instances {
		entries = append(entries, in.callAddress)
	}
	return entries
}

// start starts the processes and returns when they accept calls.
func (f *fleet) start(ctx context.Context) error {
	if err := f.platform.start(); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, "platform", "http://"+f.platformAddress+"/stats"); err != nil {
		return err
	}
	if err := f.applyInventory(ctx); err != nil {
		return err
	}
	for _, in := range f.instances {
		if err := in.start(); err != nil {
			return err
		}
	}
	for _, in := range f.instances {
		if err := f.awaitReady(ctx, in.name, in.readyURL()); err != nil {
			return err
		}
	}
	return pause(ctx, settleTime)
}

// start starts the instance's processes.
func (in *instance) start() error {
	err := in.target.start()
	if in.node != nil {
		err = errors.CombineErrors(err, in.node.start())
	}
	return err
}

// readyURL returns the URL that responds with 200 once the instance accepts
// calls.
func (in *instance) readyURL() string {
	if in.node == nil {
		return "http://" + in.targetAddress + "/load"
	}
	return "http://" + in.peerAddress + "/readyz"
}

// applyInventory writes the scenario's inventory to the platform, and to a file
// of the run's directory.
func (f *fleet) applyInventory(ctx context.Context) error {
	document := f.scenario.Inventory()
	if err := os.WriteFile(f.path("inventory.yaml"), []byte(document), 0o644); err != nil {
		return err
	}
	_, err := adapter.NewObjects("http://"+f.platformAddress).Put(ctx, inventory.ObjectKey, []byte(document), epoch.Revision{})
	return err
}

// platformStats returns the platform's counts of calls since its start.
func (f *fleet) platformStats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.platformAddress+"/stats", nil)
	if err != nil {
		return stats, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return stats, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&stats)
	return stats, errors.Wrap(err, "decode platform stats")
}

// send sends a request and returns an error unless the response has status 200.
func (f *fleet) send(ctx context.Context, method, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return errors.Newf("%s: status %d: %s", url, response.StatusCode, text)
	}
	return nil
}

// awaitReady polls a URL until it responds with status 200.
func (f *fleet) awaitReady(ctx context.Context, name, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := f.send(ctx, http.MethodGet, url, nil)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "%s is not ready after %s; see %s", name, readyTimeout, f.options.Directory)
		}
		if err := pause(ctx, readyPeriod); err != nil {
			return err
		}
	}
}

// stopTargets resumes stopped targets and ends all targets by SIGTERM, so that
// calls in flight can end and are written to the journals.
func (f *fleet) stopTargets() {
	var group sync.WaitGroup
	for _, in := range f.instances {
		in.target.signal(continueSignal)
		group.Go(func() { in.target.stop(stopGrace) })
	}
	group.Wait()
}

// killAll ends all processes by SIGKILL.
func (f *fleet) killAll() {
	var group sync.WaitGroup
	for _, in := range f.instances {
		group.Go(func() { in.target.stop(0) })
		if in.node != nil {
			group.Go(func() { in.node.stop(0) })
		}
	}
	group.Wait()
	f.platform.stop(0)
}

// unexpectedExits returns the names of the processes of instances that exited
// without being ended by the bench.
func (f *fleet) unexpectedExits() []string {
	var exited []string
	for _, in := range f.instances {
		for _, p := range []*process{in.target, in.node} {
			if p != nil && p.exitedUnexpectedly() {
				exited = append(exited, p.name)
			}
		}
	}
	return exited
}

// addNote adds a text to the next progress line.
func (f *fleet) addNote(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

// takeNotes returns the notes since its last call and clears them.
func (f *fleet) takeNotes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	notes := f.notes
	f.notes = nil
	return notes
}

// pause waits for the duration, or returns the error of a context that ends
// earlier.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
