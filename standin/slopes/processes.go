package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/objects"
	adapter "github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/standin/platform"
)

const (
	configKey           = "config/inventory"
	firstPort           = 21_000 // each daemon uses two ports, for peers and for calls
	convergenceTimeout  = 90 * time.Second
	measuredWindow      = 10 * time.Second
	churnInterval       = 500 * time.Millisecond
	pollInterval        = 50 * time.Millisecond
	clockTicksPerSecond = 100 // unit of the processor times in /proc/PID/stat
)

// daemon is one gypsumd process that listens on loopback.
type daemon struct {
	command     *exec.Cmd
	peerAddress string
	callPort    int
}

// processFleet is an emulated platform in this process, with daemons that use it.
type processFleet struct {
	gypsumd     string // path of the daemon
	store       objects.Store
	server      *platform.Server
	platformURL string
	daemons     []*daemon
	client      *http.Client
}

func measureProcesses(o options, r *report) error {
	inventory, err := os.ReadFile(o.inventory)
	if err != nil {
		return err
	}
	for _, n := range o.processes {
		if n > 200 {
			return errors.New("want at most 200 processes")
		}
		if err := measureProcessFleet(n, o.gypsumd, inventory, r); err != nil {
			return err
		}
	}
	return nil
}

func measureProcessFleet(n int, gypsumd string, inventory []byte, r *report) error {
	f := &processFleet{
		gypsumd: gypsumd,
		client:  &http.Client{Timeout: 5 * time.Second},
	}
	f.server = platform.NewServer(platform.NewFaults(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.platformURL = "http://" + listener.Addr().String()
	server := &http.Server{Handler: f.server.Handler()}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	f.store = adapter.NewObjects(f.platformURL)
	if _, err := f.store.Put(context.Background(), configKey, inventory, epoch.Revision{}); err != nil {
		return err
	}
	defer f.stop()
	start := time.Now()
	for i := range n {
		if err := f.start(i); err != nil {
			return err
		}
	}
	if err := f.waitMembers(n, convergenceTimeout); err != nil {
		return err
	}
	r.add("processes fleet formed", n, time.Since(start).Seconds(), "s")
	time.Sleep(5 * time.Second)
	if err := f.measureWindow(r, "processes at rest", n, func() error { time.Sleep(measuredWindow); return nil }); err != nil {
		return err
	}
	if err := f.measureWindow(r, "processes churn 2 a second", n, f.churn); err != nil {
		return err
	}
	if err := f.waitMembers(n, convergenceTimeout); err != nil {
		return err
	}
	return f.measureConfigurationChange(r, n, inventory)
}

func (f *processFleet) start(i int) error {
	d := &daemon{peerAddress: fmt.Sprintf("127.0.0.1:%d", firstPort+2*i), callPort: firstPort + 2*i + 1}
	domain := i % fleetDomains
	d.command = exec.Command(f.gypsumd,
		"-call-listen", fmt.Sprintf("127.0.0.1:%d", d.callPort),
		"-peer-listen", d.peerAddress,
		"-platform", f.platformURL,
		"-failure-domain", fmt.Sprintf("domain-%02d", domain),
		"-region", fmt.Sprintf("region-%02d", domain%fleetRegions),
	)
	if err := d.command.Start(); err != nil {
		return err
	}
	if i < len(f.daemons) {
		f.daemons[i] = d
	} else {
		f.daemons = append(f.daemons, d)
	}
	return nil
}

func (f *processFleet) stop() {
	for _, d := range f.daemons {
		_ = d.command.Process.Kill()
		_ = d.command.Wait()
	}
}

// churn kills one process after the other, each followed by the start of its
// replacement, at intervals of churnInterval.
func (f *processFleet) churn() error {
	end := time.Now().Add(measuredWindow)
	for i := 1; time.Now().Before(end); i++ {
		d := f.daemons[i%len(f.daemons)]
		if err := d.command.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		_ = d.command.Wait()
		if err := f.start(i % len(f.daemons)); err != nil {
			return err
		}
		time.Sleep(churnInterval)
	}
	return nil
}

// usage is the resource usage of the processes since their start.
type usage struct {
	seconds  map[int]float64 // processor time by process id, in seconds
	resident float64         // mean resident memory of a process, in bytes
	sent     map[int]float64 // membership traffic by process id, in bytes, with IP and UDP headers
}

// measureWindow measures the resource usage per process and the load on the platform
// while window runs. Processor time and traffic count only the processes that exist
// from its start to its end.
func (f *processFleet) measureWindow(r *report, name string, n int, window func() error) error {
	before, err := f.usage()
	if err != nil {
		return err
	}
	calls := f.platformCalls()
	start := time.Now()
	if err := window(); err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	calls = f.platformCalls() - calls
	after, err := f.usage()
	if err != nil {
		return err
	}
	var processor, sent, count float64
	for pid, seconds := range after.seconds {
		if earlier, ok := before.seconds[pid]; ok {
			processor += seconds - earlier
			sent += after.sent[pid] - before.sent[pid]
			count++
		}
	}
	count = max(count, 1)
	r.add(name+" processor", n, processor/elapsed/count*100, "% of a core a node")
	r.add(name+" resident memory", n, after.resident/1e6, "MB")
	r.add(name+" membership bytes", n, sent/elapsed/count, "B/s sent")
	r.add(name+" platform calls", n, float64(calls)/elapsed, "calls/s")
	return nil
}

func (f *processFleet) platformCalls() int64 {
	s := f.server.Stats()
	return s.Reads + s.Writes + s.Watches
}

func (f *processFleet) usage() (usage, error) {
	u := usage{seconds: map[int]float64{}, sent: map[int]float64{}}
	for _, d := range f.daemons {
		pid := d.command.Process.Pid
		seconds, resident, err := readProcess(pid)
		if err != nil {
			return u, err
		}
		u.seconds[pid] = seconds
		u.resident += resident / float64(len(f.daemons))
		vars, err := f.daemonVars(d)
		if err != nil {
			continue // the process has just started and doesn't listen yet
		}
		u.sent[pid] = vars.Packets["sent-bytes"] + 28*vars.Packets["sent"] // 20 bytes of IPv4 header and 8 of UDP
	}
	return u, nil
}

// readProcess returns the processor time of a process in seconds and its resident
// memory in bytes.
func readProcess(pid int) (seconds, resident float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("process %d: too few fields in /proc/PID/stat", pid)
	}
	var user, system, pages float64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return 0, 0, err
	}
	return (user + system) / clockTicksPerSecond, pages * float64(os.Getpagesize()), nil
}

// debugVars holds the metrics that are read from a daemon's /debug/vars.
type debugVars struct {
	Members       int                `json:"members"`
	ConfigVersion epoch.Version      `json:"config_version"`
	Packets       map[string]float64 `json:"membership_packets"`
}

func (f *processFleet) daemonVars(d *daemon) (debugVars, error) {
	var vars debugVars
	response, err := f.client.Get("http://" + d.peerAddress + "/debug/vars")
	if err != nil {
		return vars, err
	}
	defer response.Body.Close()
	return vars, json.NewDecoder(response.Body).Decode(&vars)
}

// waitMembers waits until each process knows n members and has a configuration.
func (f *processFleet) waitMembers(n int, timeout time.Duration) error {
	return f.waitAll(timeout, func(v debugVars) bool { return v.Members == n && v.ConfigVersion > 0 })
}

func (f *processFleet) waitAll(timeout time.Duration, done func(debugVars) bool) error {
	end := time.Now().Add(timeout)
	waiting := f.daemons
	for len(waiting) > 0 {
		var pending []*daemon
		for _, d := range waiting {
			if vars, err := f.daemonVars(d); err != nil || !done(vars) {
				pending = append(pending, d)
			}
		}
		waiting = pending
		if time.Now().After(end) && len(waiting) > 0 {
			return fmt.Errorf("%d of %d processes did not reach the expected state within %s", len(waiting), len(f.daemons), timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// measureConfigurationChange stores a changed configuration and measures the time
// until all processes have it in force.
func (f *processFleet) measureConfigurationChange(r *report, n int, inventory []byte) error {
	changed := append(bytes.Clone(inventory), '\n')
	start := time.Now()
	ctx := context.Background()
	before, err := f.store.Get(ctx, configKey)
	if err != nil {
		return err
	}
	written, err := f.store.Put(ctx, configKey, changed, before.Revision)
	if err != nil {
		return err
	}
	err = f.waitAll(convergenceTimeout, func(v debugVars) bool { return v.ConfigVersion >= written.Version })
	if err != nil {
		return err
	}
	r.add("processes configuration last", n, time.Since(start).Seconds(), "s")
	return nil
}
