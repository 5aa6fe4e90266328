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

	"github.com/gypsumford/gypsumford/inventory"
	adapter "github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/standin/platform"
	"github.com/gypsumford/gypsumford/standin/scenario"
	"github.com/gypsumford/gypsumford/standin/target"
)

// Times of the start and the stop.
const (
	readyTimeout = 20 * time.Second
	readyPeriod  = 50 * time.Millisecond
	stopGrace    = 3 * time.Second
	settleTime   = 1500 * time.Millisecond // after readiness, for news between nodes
)

// region is the one region that all failure domains of a scenario stand in.
const region = "bench"

// nodeProcs is how many cores one node may use at a time.
const nodeProcs = "2"

// seedCount is how many nodes each node is told of at its start.
const seedCount = 3

// instance is a target with its node.
type instance struct {
	name          string
	service       *scenario.Service
	targetAddress string
	callAddress   string
	peerAddress   string
	journal       string
	target        *process
	node          *process // nil in plain mode
}

// fleet is all processes of one run.
type fleet struct {
	scenario  *scenario.Scenario
	options   Options
	address   string // of the platform
	platform  *process
	instances []*instance
	client    *http.Client

	mu    sync.Mutex
	notes []string // actions carried out since the last progress line
}

func newFleet(s *scenario.Scenario, options Options) (*fleet, error) {
	f := &fleet{scenario: s, options: options, client: &http.Client{Timeout: 5 * time.Second}}
	free := newPorts()
	var err error
	take := func() string {
		address, failed := free.take()
		err = errors.CombineErrors(err, failed)
		return address
	}
	f.address = take()
	for i := range s.Services {
		service := &s.Services[i]
		for _, name := range service.TargetNames() {
			f.instances = append(f.instances, &instance{
				name: name, service: service, journal: f.path(name + ".journal"),
				targetAddress: take(), callAddress: take(), peerAddress: take(),
			})
		}
	}
	if err != nil {
		return nil, err
	}
	f.platform = f.process("platform", options.Standin, "platform", "-listen", f.address)
	for i, in := range f.instances {
		if err := f.prepare(in, s.Domains[i%len(s.Domains)]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) path(name string) string { return filepath.Join(f.options.Directory, name) }

func (f *fleet) process(name, path string, args ...string) *process {
	return &process{name: name, path: path, args: args, log: f.path(name + ".log")}
}

// prepare writes the target's settings and lays out its processes.
func (f *fleet) prepare(in *instance, domain string) error {
	settings, err := json.MarshalIndent(f.targetSettings(in), "", "  ")
	if err != nil {
		return err
	}
	file := f.path(in.name + ".json")
	if err := os.WriteFile(file, settings, 0o644); err != nil {
		return err
	}
	in.target = f.process(in.name+".target", f.options.Standin, "target", "-settings", file,
		"-listen", in.targetAddress, "-node", in.callAddress, "-journal", in.journal)
	in.target.env = []string{"GOMAXPROCS=2"}
	if f.options.Plain {
		return nil
	}
	in.node = f.process(in.name+".node", f.options.Gypsumd,
		"-call-listen", in.callAddress, "-peer-listen", in.peerAddress,
		"-platform", "http://"+f.address, "-failure-domain", domain, "-region", region,
		"-seeds", strings.Join(f.seeds(), ","))
	in.node.env = []string{"GOMAXPROCS=" + nodeProcs}
	return nil
}

func (f *fleet) seeds() []string {
	var seeds []string
	for _, in := range f.instances {
		if len(seeds) < seedCount {
			seeds = append(seeds, in.peerAddress)
		}
	}
	return seeds
}

func (f *fleet) targetSettings(in *instance) target.Settings {
	s := in.service
	settings := target.Settings{
		Service: s.Name, Slots: s.Slots, Queue: s.QueueCapacity, Connections: s.Connections,
		ConnectionCost: s.ConnectionCost, ProbeCost: s.ProbeCost,
		ColdStart: s.ColdStart, ColdFactor: s.ColdFactor, Drain: s.Drain,
		HopDelay: 2 * f.scenario.DomainDelay, Plain: f.options.Plain, Honour: !f.options.Plain,
		PlainTries: plainTries, PlainTimeout: plainTimeout,
	}
	if f.options.Plain {
		settings.Peers = f.peers()
	}
	for _, op := range s.Operations {
		settings.Operations = append(settings.Operations, target.Operation{
			Name: op.Name, Time: op.ServiceTime, Spread: op.Spread, Calls: op.Calls, Parallel: op.Parallel,
			Paid: op.AtMostOnce, OneIn: op.StragglerOneIn, Straggler: op.StragglerFactor,
		})
	}
	return settings
}

// peers returns the targets' addresses by service.
func (f *fleet) peers() map[string][]string {
	peers := map[string][]string{}
	for _, in := range f.instances {
		peers[in.service.Name] = append(peers[in.service.Name], in.targetAddress)
	}
	return peers
}

// entries returns the call addresses of all nodes.
func (f *fleet) entries() []string {
	var entries []string
	for _, in := range f.instances {
		entries = append(entries, in.callAddress)
	}
	return entries
}

// start starts the processes and returns when they take calls.
func (f *fleet) start(ctx context.Context) error {
	if err := f.platform.start(); err != nil {
		return err
	}
	if err := f.await(ctx, "platform", "http://"+f.address+"/stats"); err != nil {
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
		if err := f.await(ctx, in.name, in.readyURL()); err != nil {
			return err
		}
	}
	return pause(ctx, settleTime)
}

func (in *instance) start() error {
	err := in.target.start()
	if in.node != nil {
		err = errors.CombineErrors(err, in.node.start())
	}
	return err
}

func (in *instance) readyURL() string {
	if in.node == nil {
		return "http://" + in.targetAddress + "/load"
	}
	return "http://" + in.peerAddress + "/readyz"
}

// applyInventory puts the scenario's inventory into the platform.
func (f *fleet) applyInventory(ctx context.Context) error {
	document := f.scenario.Inventory()
	if err := os.WriteFile(f.path("inventory.yaml"), []byte(document), 0o644); err != nil {
		return err
	}
	_, err := adapter.NewObjects("http://"+f.address).Put(ctx, inventory.ObjectKey, []byte(document), 0)
	return err
}

// platformStats returns the platform's counts of calls so far.
func (f *fleet) platformStats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+"/stats", nil)
	if err != nil {
		return stats, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return stats, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&stats)
	return stats, errors.Wrap(err, "platform's stats")
}

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

// await polls a URL until it answers 200.
func (f *fleet) await(ctx context.Context, name, url string) error {
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

// finish lets paused processes go on and asks all targets to end their calls.
func (f *fleet) finish() {
	var group sync.WaitGroup
	for _, in := range f.instances {
		in.target.signal(continueSignal)
		group.Go(func() { in.target.stop(stopGrace) })
	}
	group.Wait()
}

// stop ends all processes.
func (f *fleet) stop() {
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

func (f *fleet) diedProcesses() []string {
	var died []string
	for _, in := range f.instances {
		for _, p := range []*process{in.target, in.node} {
			if p != nil && p.died() {
				died = append(died, p.name)
			}
		}
	}
	return died
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

// noted returns the notes since the last call.
func (f *fleet) noted() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	notes := f.notes
	f.notes = nil
	return notes
}

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
