package proof

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

const (
	// readyTimeout limits the wait for a condition. It is so long that only a stuck
	// system exceeds it; no test checks how long a condition takes.
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond

	// Each test process reserves a block of ports from firstPort up to lastPort.
	firstPort     = 12_000
	lastPort      = 20_000
	portsPerBlock = 250
)

// binaryDir builds the daemon, the client and the stand-ins once and returns their
// directory.
var binaryDir = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "gypsum-proof")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir, "./cmd/...", "./standin/cmd/standin")
	build.Dir = moduleRoot
	output, err := build.CombinedOutput()
	return dir, errors.Wrapf(err, "%s", output)
})

func TestMain(m *testing.M) {
	flag.Parse()
	setRapidDefaults()
	code := m.Run()
	if dir, err := binaryDir(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// processes holds the processes of one script.
type processes struct {
	workDir           string // directory for logs and journals
	binDir            string
	platformAddress   string
	reservedAddresses []string // until stop
	instances         map[string]*instance
	started           []*process
	client            *http.Client
}

// instance is a target with its node.
type instance struct {
	name, service                           string
	callAddress, peerAddress, targetAddress string
	relay                                   *relay // peers reach the peer listener through it
	node, target                            *process
	truncating                              *truncatingTarget // replaces target; nil otherwise
}

// process is one child process.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

func newProcesses(workDir, binDir string) *processes {
	return &processes{
		workDir: workDir, binDir: binDir, instances: map[string]*instance{},
		// Without kept connections, net/http retries no request: each call is sent once.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyTimeout},
	}
}

// start starts a binary. The kernel kills it when this test process dies.
func (p *processes) start(name, binary string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(p.workDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.binDir, binary), args...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	p.started = append(p.started, started)
	go func() {
		_ = cmd.Wait()
		close(started.exited)
	}()
	return started, nil
}

// stop kills all processes, stops relays and truncating targets, and releases the
// addresses.
func (p *processes) stop() {
	for _, process := range p.started {
		_ = process.cmd.Process.Kill()
		<-process.exited
	}
	for _, in := range p.instances {
		in.relay.stop()
		if in.truncating != nil {
			_ = in.truncating.server.Close()
		}
	}
	p.releaseAddresses()
}

func (p *processes) startPlatform() error {
	var err error
	if p.platformAddress, err = p.reserveAddress(); err != nil {
		return err
	}
	if _, err := p.start("platform", "standin", "platform", "-listen", p.platformAddress); err != nil {
		return err
	}
	return p.waitFor("a response of the platform", func() error { return p.get("http://" + p.platformAddress + "/stats") })
}

// startInstance starts a node and its target and waits until the node is ready. settings
// is the path of the target's settings file.
func (p *processes) startInstance(name, service, settings string) error {
	in, err := p.startNode(name, service)
	if err != nil {
		return err
	}
	if in.target, err = p.start(name+".target", "standin", "target", "-settings", settings,
		"-listen", in.targetAddress, "-node", in.callAddress, "-journal", filepath.Join(p.workDir, name+".journal")); err != nil {
		return err
	}
	return p.waitReady(in)
}

// startNode starts the node of an instance, with a relay in front of it.
func (p *processes) startNode(name, service string) (*instance, error) {
	addresses, err := p.reserveAddresses(4)
	if err != nil {
		return nil, err
	}
	in := &instance{name: name, service: service, callAddress: addresses[0], peerAddress: addresses[1], targetAddress: addresses[2]}
	if in.relay, err = startRelay(addresses[3], in.peerAddress); err != nil {
		return nil, err
	}
	in.node, err = p.start(name+".node", "gypsumd", "-call-listen", in.callAddress, "-peer-listen", in.peerAddress,
		"-peer-advertise", in.relay.address,
		"-platform", "http://"+p.platformAddress, "-failure-domain", "by-1", "-region", "bayern",
		"-drain-timeout", "10s", "-seeds", p.seeds())
	p.instances[name] = in
	return in, err
}

func (p *processes) waitReady(in *instance) error {
	return p.waitFor(in.name+" to become ready", func() error { return p.get("http://" + in.peerAddress + "/readyz") })
}

func (p *processes) seeds() string {
	var seeds []string
	for _, in := range p.instances {
		seeds = append(seeds, in.relay.address)
	}
	return strings.Join(seeds, ",")
}

func (p *processes) get(url string) error {
	response, err := p.client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", url, response.Status)
	}
	return nil
}

// waitFor polls until the condition returns no error.
func (p *processes) waitFor(what string, condition func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// status returns the status that a node reports, with its members.
func (p *processes) status(in *instance) (*operator.StatusReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := operator.NewOperatorProtobufClient("http://"+in.peerAddress, p.client)
	return client.Status(ctx, &operator.StatusRequest{WithMembers: true})
}

// members returns the members of a service in the membership table of the instance.
func (p *processes) members(in *instance, service string) ([]fleet.Instance, error) {
	status, err := p.status(in)
	if err != nil {
		return nil, err
	}
	var members []fleet.Instance
	for _, m := range status.Members {
		state, ok := parseState(m.State)
		if ok && m.Service == service {
			members = append(members, fleet.Instance{
				ID: fleet.InstanceID(m.Node), PeerAddress: m.PeerAddress, Service: m.Service, State: state,
			})
		}
	}
	return members, nil
}

func parseState(name string) (fleet.State, bool) {
	for state := fleet.Starting; state <= fleet.Left; state++ {
		if state.String() == name {
			return state, true
		}
	}
	return 0, false
}

// post sends a JSON body, such as a command for a stand-in.
func (p *processes) post(url, body string) error {
	response, err := p.client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Newf("%s: %s", url, response.Status)
	}
	return nil
}

// portBlock returns the first port of a block that no other test process uses. A test
// process reserves its block by listening at the first port.
var portBlock = sync.OnceValues(func() (int, error) {
	for block := firstPort; block < lastPort; block += portsPerBlock {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", block))
		if err == nil {
			portBlockListener = listener
			return block, nil
		}
	}
	return 0, errors.New("no free block of ports")
})

// portBlockListener reserves the block until this process ends.
var portBlockListener net.Listener

// ports holds the addresses that running scripts have reserved within the block.
var ports = struct {
	sync.Mutex
	reserved map[string]bool // by address
}{reserved: map[string]bool{}}

// reserveAddress returns a loopback address that is free for TCP and UDP. It is reserved
// for these processes until they stop.
func (p *processes) reserveAddress() (string, error) {
	block, err := portBlock()
	if err != nil {
		return "", err
	}
	ports.Lock()
	defer ports.Unlock()
	for port := block + 1; port < block+portsPerBlock; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !ports.reserved[address] && isFree(address) {
			ports.reserved[address] = true
			p.reservedAddresses = append(p.reservedAddresses, address)
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func (p *processes) reserveAddresses(count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		var err error
		if addresses[i], err = p.reserveAddress(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// releaseAddresses makes the addresses available to other scripts.
func (p *processes) releaseAddresses() {
	ports.Lock()
	defer ports.Unlock()
	for _, address := range p.reservedAddresses {
		delete(ports.reserved, address)
	}
}

// isFree reports whether an address is free for TCP and UDP. It blocks forks meanwhile:
// a child process would hold copies of the sockets until it executes its program, and the
// address would stay in use.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
