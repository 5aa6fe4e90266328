//go:build review

// Command stand runs one case of the review: it starts nodes of the project as processes
// and plays the store, the backends and the clients itself.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumford/gypsumford/platform/platformtest"
)

const (
	host      = "review.example"
	heartbeat = 1500 * time.Millisecond
	drainS    = 2
	memoryMB  = 284 // as in the settings of the users' pages
	bodyLimit = 64 << 20
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// fleet is a small deployment.
type fleet struct {
	dir, binary string
	maxFds      int // limit on the descriptors of each process, 0 for none
	store       *platformtest.Store
	nodes       []*node
	rec         *record
}

// node is one machine: the process of the project and the settings that it gets.
type node struct {
	fleet                            *fleet
	name, service                    string
	version                          string // of the software of its backend
	outbound, control, ready         string
	inbound, app, metrics, storeAddr string
	settings                         string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	ends    int // ends that nobody asked for, those beyond the memory limit included
	peakMB  int
	asked   bool
	stopped bool
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/gypsumd")
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, binary: binary, store: platformtest.NewStore(), rec: rec}, nil
}

// add adds a machine whose process isn't started yet. store is the address at which it
// finds the store, app the one at which it finds its backend; both may be proxies.
func (f *fleet) add(name, service, store string) (*node, error) {
	a, err := platformtest.FreeAddresses(6)
	if err != nil {
		return nil, err
	}
	n := &node{
		fleet: f, name: name, service: service, version: "v1", outbound: a[0], control: a[1], ready: a[2], inbound: a[3], app: a[4], metrics: a[5],
		storeAddr: store, settings: filepath.Join(f.dir, name+".json"),
	}
	if store == "" {
		n.storeAddr = f.store.Address()
	}
	f.nodes = append(f.nodes, n)
	return n, n.writeSettings(true)
}

func (n *node) writeSettings(first bool) error {
	content, err := render("settings.json.tmpl", map[string]any{
		"Name": n.name, "Inbound": n.inbound, "Outbound": n.outbound, "Ready": n.ready, "Control": n.control, "First": first,
		"MemoryMB": memoryMB, "HeartbeatS": heartbeat.Seconds(), "DrainS": drainS, "App": n.app, "Service": n.service, "Store": n.storeAddr,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, content, 0o600)
}

// start starts the node's process as the deploy file does.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	_, port, _ := strings.Cut(n.metrics, ":")
	cmd := exec.Command(n.fleet.binary, "sidecar")
	if n.fleet.maxFds > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s sidecar", n.fleet.maxFds, n.fleet.binary))
	}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), names.SettingsFile + "=" + n.settings, "GYPSUM_METRICS_PORT=" + port, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended, n.asked = cmd, ended, false
	n.fleet.rec.add("%s: process started", n.name)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		asked, stopped := n.asked, n.stopped
		if !asked {
			n.ends++
		}
		n.mu.Unlock()
		n.fleet.rec.add("%s: process ended: %v (asked for: %v)", n.name, err, asked)
		close(ended)
		if !asked && !stopped {
			time.Sleep(500 * time.Millisecond) // the platform starts it again after a short delay
			_ = n.writeSettings(false)
			_ = n.start()
		}
	}()
	return nil
}

// signal sends a signal that ends the process, and returns when it has ended.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.asked = true
	n.mu.Unlock()
	n.fleet.rec.add("%s: %v", n.name, s)
	_ = cmd.Process.Signal(s)
	<-ended
}

// watchMemory ends the process as the platform does when it exceeds its memory.
func (n *node) watchMemory(limitMB int) {
	for {
		time.Sleep(2 * time.Millisecond)
		n.mu.Lock()
		cmd, stopped := n.cmd, n.stopped
		n.mu.Unlock()
		if stopped {
			return
		}
		if cmd == nil || cmd.ProcessState != nil {
			continue
		}
		mb := residentMB(cmd.Process.Pid)
		n.mu.Lock()
		over := mb > limitMB && cmd == n.cmd
		n.peakMB = max(n.peakMB, mb)
		ended := n.ended
		n.mu.Unlock()
		if over {
			n.fleet.rec.add("%s: %d MB resident, limit %d MB: the platform ends the process", n.name, mb, limitMB)
			_ = cmd.Process.Kill()
			<-ended
		}
	}
}

// residentMB returns the memory that a process uses, without that of files.
func residentMB(pid int) int {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.Atoi(fields[1])
	shared, _ := strconv.Atoi(fields[2]) // pages of files, among them the program itself
	return (resident - shared) * os.Getpagesize() >> 20
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.asked, n.stopped = true, true
		cmd, ended := n.cmd, n.ended
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-ended
		}
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// route is one route of the operator's configuration.
type route struct {
	Name, Prefix, Kind, Service string
	TimeoutS                    float64
	Attempts                    int
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, services []string, routes ...route) error {
	content, err := render("configuration.json.tmpl", map[string]any{
		"Version": version, "Host": host, "Routes": routes, "Services": services, "BodyBytes": bodyLimit,
	})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", json.RawMessage(content))
	f.rec.add("operator: configuration %08x acknowledged", version)
	return nil
}
