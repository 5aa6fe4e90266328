//go:build review

// Command second runs the scripts of the second review: small deployments of the project's own
// processes on loopback addresses, with stand-ins of the store, the targets and the callers.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
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
	heartbeatInterval = 300 * time.Millisecond
	memoryMb          = 284
	slots             = 36
	siteHost          = "review.example"
)

// bed is a small deployment: a store, and machines with a node and a target each.
type bed struct {
	dir      string
	store    *platformtest.Store
	machines []*machine
	recordMu sync.Mutex
	record   *os.File
	started  time.Time
}

// target is the stand-in of a target.
type target interface {
	Start(address string) error
	Stop()
	SendHeartbeat(control, state string) error
}

// machine is a node's process and the target beside it.
type machine struct {
	bed                                    *bed
	name, service                          string
	outbound, control, ready, inbound, app string
	metrics, settings                      string
	target                                 target

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
	kills   int // for memory, by the platform
	peakKiB int
	stopped bool
	beats   bool
}

func newBed(record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "gypsum-review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &bed{dir: dir, store: platformtest.NewStore(), record: file, started: time.Now()}, nil
}

// note writes a line to the record, with the time since the start.
func (b *bed) note(format string, args ...any) {
	b.recordMu.Lock()
	defer b.recordMu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// routeSpec is one route of a configuration.
type routeSpec struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutS                          float64
}

// configure writes a configuration with the routes.
func (b *bed) configure(version int, routes ...routeSpec) error {
	content, err := message("configuration", map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Routes": routes, "Services": []string{"front", "back"},
	})
	if err == nil {
		b.store.Put("config", "main", json.RawMessage(content))
	}
	return err
}

func route(name, prefix, kind, service string, timeoutS float64) routeSpec {
	return routeSpec{name, siteHost, prefix, kind, service, timeoutS}
}

// add creates a machine. target may be changed before start is called.
func (b *bed) add(name, service string) (*machine, error) {
	addresses, err := platformtest.FreeAddresses(6)
	if err != nil {
		return nil, err
	}
	m := &machine{
		bed: b, name: name, service: service, outbound: addresses[0], control: addresses[1], ready: addresses[2],
		inbound: addresses[3], app: addresses[4], settings: filepath.Join(b.dir, name+".json"), beats: true,
	}
	m.metrics = addresses[5]
	m.target = &platformtest.Target{ID: "i-" + name, Service: service, Slots: slots, Born: time.Now().UnixMilli(), Outbound: m.outbound}
	b.machines = append(b.machines, m)
	return m, m.writeSettings(true)
}

func (m *machine) writeSettings(bootstrap bool) error {
	ip, _, _ := strings.Cut(m.inbound, ":")
	content, err := message("settings", map[string]any{
		"Name": m.name, "IP": ip, "Inbound": m.inbound, "Outbound": m.outbound, "Ready": m.ready, "Control": m.control, "App": m.app,
		"Service": m.service, "Store": m.bed.store.Address(), "Bootstrap": bootstrap, "MemoryMb": memoryMb, "HeartbeatS": heartbeatInterval.Seconds(),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, content, 0o600)
}

// start starts the target, its heartbeats and the node.
func (m *machine) start() error {
	if err := m.target.Start(m.app); err != nil {
		return err
	}
	go m.sendHeartbeats()
	return m.startNode()
}

func (m *machine) sendHeartbeats() {
	for ; ; time.Sleep(heartbeatInterval) {
		m.mu.Lock()
		stopped, beats := m.stopped, m.beats
		m.mu.Unlock()
		if stopped {
			return
		}
		if beats {
			_ = m.target.SendHeartbeat(m.control, "ready") // the next one follows soon
		}
	}
}

// startNode starts the node's process as the deploy file does.
func (m *machine) startNode() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.bed.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	_, port, _ := strings.Cut(m.metrics, ":")
	node := exec.Command("target/gypsumd", "sidecar")
	node.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", name("settings-variable") + "=" + m.settings, "GYPSUM_METRICS_PORT=" + port, "GOMAXPROCS=1"}
	node.Stdout, node.Stderr = log, log
	node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = node, ended
	m.starts++
	m.bed.note("%s: process %d started", m.name, node.Process.Pid)
	go func() {
		err := node.Wait()
		m.bed.note("%s: process %d ended: %v", m.name, node.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bed.note("%s: %v", m.name, s)
	_ = m.process.Process.Signal(s) // fails if the process has ended
}

func (m *machine) hasEnded() bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// residentKiB returns the resident size of the node's process.
func (m *machine) residentKiB() int {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			size, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			return size
		}
	}
	return 0
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/gypsumford/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready, and then a little for their records to spread.
func (b *bed) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range b.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// close ends all processes.
func (b *bed) close() {
	for _, m := range b.machines {
		m.mu.Lock()
		m.stopped = true
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.ended
		}
		m.mu.Unlock()
		m.target.Stop()
	}
	b.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println(b.dir)
	}
	_ = b.record.Close()
}
