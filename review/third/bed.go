//go:build review3

// Command third runs the scripts of the third review: each starts the nodes of a small deployment as
// separate processes, with stand-ins of the store, the targets and the callers, and judges what these
// have seen.
package main

import (
	"context"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/platform/platformtest"
)

//go:embed *.txt
var texts embed.FS

const (
	host         = "bed.example"
	storeLatency = 4 * time.Millisecond // of each answer, as the sheets state
	contact      = 3 * time.Second      // contactS
	drain        = 2 * time.Second      // drainS
	beatInterval = 1500 * time.Millisecond
)

// bed is a small deployment.
type bed struct {
	dir, binary string
	begun       time.Time
	record      *os.File
	mu          sync.Mutex // of record and sent
	sent        map[string]time.Time
	ids         atomic.Int64
	store       *platformtest.Store
	storeServer *http.Server
	storeAddr   string
	storeDown   atomic.Bool
	nodes       []*node
}

// node is a node's process, the target beside it, and what they are told.
type node struct {
	bed                                             *bed
	name, service                                   string
	outbound, control, inbound, ready, app, setting string
	target                                          *platformtest.Target
	beating                                         atomic.Bool
	cmd                                             *exec.Cmd
	ended                                           chan struct{}
	startedAt                                       time.Time
}

func newBed(record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, binary: "target/gypsumd", begun: time.Now(), sent: map[string]time.Time{}}
	if b.record, err = os.Create(record); err != nil {
		return nil, err
	}
	store, handler := platformtest.NewHandler()
	b.store = store
	addresses, err := platformtest.FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	b.storeAddr = addresses[0]
	listener, err := net.Listen("tcp", b.storeAddr)
	if err != nil {
		return nil, err
	}
	b.storeServer = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.storeDown.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(storeLatency / 2)
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = b.storeServer.Serve(listener) }()
	return b, nil
}

func (b *bed) logf(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%9.4f  %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, values...))
}

func text(name string, values map[string]string) string {
	content, err := texts.ReadFile(name)
	if err != nil {
		panic(err)
	}
	filled := string(content)
	for key, value := range values {
		filled = strings.ReplaceAll(filled, "@"+key+"@", value)
	}
	return filled
}

// configure writes a version of the configuration as the operator does.
func (b *bed) configure(version int, file string) {
	b.store.Put("config", "main", json.RawMessage(text(file, map[string]string{"version": fmt.Sprintf("%08x", version)})))
	b.logf("operator writes configuration %d", version)
}

// addNode adds a node and its target, which has begun to serve but sends no heartbeats yet.
func (b *bed) addNode(name, zone, service string, slots int, bounds string) (*node, error) {
	a, err := platformtest.FreeAddresses(5)
	if err != nil {
		return nil, err
	}
	n := &node{
		bed: b, name: name, service: service, outbound: a[0], control: a[1], inbound: a[2], ready: a[3], app: a[4],
		setting: filepath.Join(b.dir, name+".json"),
	}
	n.target = &platformtest.Target{ID: "i-" + name, Service: service, Slots: slots, Born: time.Now().UnixMilli(), Outbound: a[0], ProcessingTime: 20 * time.Millisecond}
	if err := n.target.Start(n.app); err != nil {
		return nil, err
	}
	n.writeSettings(zone, "true", bounds)
	b.nodes = append(b.nodes, n)
	return n, nil
}

func (n *node) writeSettings(zone, bootstrap, bounds string) {
	content := text("settings.txt", map[string]string{
		"name": n.name, "zone": zone, "service": n.service, "inbound": n.inbound, "outbound": n.outbound, "ready": n.ready,
		"control": n.control, "app": n.app, "store": n.bed.storeAddr, "bootstrap": bootstrap, "bounds": bounds,
	})
	if err := os.WriteFile(n.setting, []byte(content), 0o600); err != nil {
		panic(err)
	}
}

// start starts the node's process.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.bed.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command(n.bed.binary, "sidecar")
	n.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + n.setting,
		"GYPSUM_METRICS_PORT=9102", "GOMAXPROCS=1",
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.startedAt = time.Now()
	n.bed.logf("process of %s started, pid %d", n.name, n.cmd.Process.Pid)
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		n.bed.logf("process of %s ended: %v", n.name, err)
		close(ended)
	}(n.cmd, n.ended)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.bed.logf("%v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// beat sends heartbeats while the target sends any.
func (n *node) beat() {
	n.beating.Store(true)
	go func() {
		for n.beating.Load() {
			_ = n.target.SendHeartbeat(n.control, "ready")
			time.Sleep(beatInterval)
		}
	}()
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/gypsumford/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (b *bed) awaitReady(atMost time.Duration) error {
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range b.nodes {
			ready = ready && n.isReady()
		}
		if ready {
			return nil
		}
	}
	return errors.New("nodes didn't become ready")
}

// send sends one request to the node as a caller does.
func (b *bed) send(ctx context.Context, client *http.Client, n *node, method, path, body string) (id string, status int) {
	id = fmt.Sprintf("q%06d", b.ids.Add(1))
	b.mu.Lock()
	b.sent[id] = time.Now()
	b.mu.Unlock()
	b.logf("%s sent to %s: %s %s", id, n.name, method, path)
	status, _ = platformtest.Send(ctx, client, n.outbound, method, host, path, id, 4*time.Second, body)
	b.logf("%s answered: %d", id, status)
	return id, status
}

func (b *bed) sentAt(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[id]
}

// close ends all processes that were started.
func (b *bed) close() {
	for _, n := range b.nodes {
		n.beating.Store(false)
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
		n.target.Stop()
	}
	_ = b.storeServer.Close()
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs:", b.dir)
	}
}

// lateLink forwards what it receives, each connection a given time after it was made.
type lateLink struct {
	address string
	delay   time.Duration
}

func newLateLink(to string, delay time.Duration) (*lateLink, error) {
	a, err := platformtest.FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", a[0])
	if err != nil {
		return nil, err
	}
	l := &lateLink{address: a[0], delay: delay}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c, to)
		}
	}()
	return l, nil
}

// forward holds the bytes that arrive until the delay has passed, then sends them on.
func (l *lateLink) forward(c net.Conn, to string) {
	defer func() { _ = c.Close() }()
	held := make([]byte, 64<<10)
	n, _ := c.Read(held)
	time.Sleep(l.delay)
	node, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = node.Close() }()
	_, _ = node.Write(held[:n])
	_ = node.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(c, node)
}

// cases are the scripts by the numbers of their folders. A case reports whether the rule was broken; it
// leaves the disruption out if trouble is not set.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD")
		os.Exit(2)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	b.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
