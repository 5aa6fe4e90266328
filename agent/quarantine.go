package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/bus"
	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/metrics"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/quarantine"
)

const (
	// quarantinePath is where nodes tell each other what they have seen of calls that crash
	// targets (POST), and list it (GET).
	quarantinePath = "/quarantine"
	// quarantineFanout is how many nodes a node passes news on to, as for other gossip.
	quarantineFanout = 4
	// quarantineInterval is the time between two comparisons with another node, chosen at random,
	// which repair gossip that was lost.
	quarantineInterval = 5 * time.Second
	// quarantinePeers is the number of nodes that a node asks when it starts.
	quarantinePeers = 2
	// endedCheckTimeout bounds the check whether the target's process has ended.
	endedCheckTimeout = 200 * time.Millisecond
	// unfinishedCheckInterval is the time between checks whether the target has crashed, while it
	// may work on calls whose callers have left.
	unfinishedCheckInterval = 200 * time.Millisecond
)

// quarantines holds what all nodes have seen of calls that crash targets, and what this
// node has seen itself.
type quarantines struct {
	now       func() time.Time
	self      fleet.InstanceID
	http      *http.Client
	metrics   *metrics.Set
	instances func(service string) []fleet.Instance
	peers     func() []fleet.Instance
	announce  func(bus.Announcement)

	// crashCheck is held while a lost call is checked for a crash of the target, so that a crash
	// is reported once, and before the replies to the calls that it broke.
	crashCheck sync.Mutex

	mu struct {
		sync.Mutex
		table       *quarantine.Table
		reports     map[string]quarantine.Report // by instance
		completions quarantine.Completions
		probation   quarantine.Probation
		running     map[*targetRun]struct{}
		unfinished  quarantine.Unfinished[*targetRun]
		// checking is set while checkUnfinished is due.
		checking bool
	}
}

// targetRun is a call that the local target runs.
type targetRun struct {
	fingerprint quarantine.Fingerprint
	deadline    time.Time
	crashed     bool
	// checkCrash looks whether the target has crashed by the call.
	checkCrash func()
}

func newQuarantines(a *Agent) *quarantines {
	q := &quarantines{
		now: a.now, self: a.self.ID, http: a.controlHTTP, metrics: a.metrics,
		instances: a.members.instances, peers: a.peers, announce: a.announce,
	}
	q.mu.table = quarantine.NewTable()
	q.mu.reports = map[string]quarantine.Report{}
	q.mu.running = map[*targetRun]struct{}{}
	return q
}

// fingerprintOf returns the fingerprint of a call. Calls of one caller's account are the same
// if the operation, its path and query, and the body are.
func fingerprintOf(r *exchange.Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&quarantine.Request{
		Account: r.Call.Caller, Method: r.Method, Host: r.Call.Service,
		URI: r.Call.Operation + r.PathSuffix + "?" + r.Query, Body: r.Body,
	})
}

// isEmpty reports whether there is no evidence against any call.
func (q *quarantines) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.mu.table.IsEmpty()
}

// place returns where a call may run, and the candidates.
func (q *quarantines) place(r *exchange.Request, f quarantine.Fingerprint) (quarantine.Placement, []quarantine.Candidate) {
	if q.isEmpty() {
		return quarantine.Placement{Only: -1}, nil
	}
	known, candidates := 0, []quarantine.Candidate(nil)
	for _, i := range q.instances(r.Call.Service) {
		if i.State == fleet.Ready {
			candidates = append(candidates, quarantine.Candidate{Instance: string(i.ID)})
		}
		if isLive(i.State) && i.State != fleet.Draining {
			known++
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.mu.table.Place(q.now(), f, r.Call.Service, known, candidates), candidates
}

// exclude returns the instances that may not run the call because of what is known of it. It
// returns a refusal if none may.
func (q *quarantines) exclude(r *exchange.Request, grant int) ([]fleet.InstanceID, *exchange.Reply) {
	if q.isEmpty() {
		return nil, nil
	}
	placement, candidates := q.place(r, fingerprintOf(r))
	switch {
	case placement.Status == quarantine.Free:
		return nil, nil
	case placement.Only < 0:
		return nil, q.refuse(placement, grant)
	}
	var excluded []fleet.InstanceID
	for i, c := range candidates {
		if i != placement.Only {
			excluded = append(excluded, fleet.InstanceID(c.Instance))
		}
	}
	return excluded, nil
}

func (q *quarantines) refuse(p quarantine.Placement, grant int) *exchange.Reply {
	retryAfter := noTargetRetryAfter
	if p.Status == quarantine.Quarantined {
		retryAfter = max(p.Until.Sub(q.now()), retryAfter)
	}
	return exchange.Refuse(call.ReasonQuarantined, retryAfter, grant)
}

// begin decides whether the local target may run a call now. end is called with the reply.
func (q *quarantines) begin(r *exchange.Request) (run *targetRun, end func(), refusal *exchange.Reply) {
	run = &targetRun{fingerprint: fingerprintOf(r), deadline: r.Call.Deadline}
	placement, candidates := q.place(r, run.fingerprint)
	if !placement.Allows(candidates, string(q.self)) {
		return nil, nil, q.refuse(placement, r.Call.Grant)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	onProbation := placement.Status != quarantine.Free
	if onProbation && !q.mu.probation.Begin(placement.IsApart()) {
		return nil, nil, q.refuse(placement, r.Call.Grant)
	}
	q.mu.running[run] = struct{}{}
	return run, sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.mu.running, run)
		if onProbation {
			q.mu.probation.End()
		}
	}), nil
}

// completed records that a call has run to a whole response.
func (q *quarantines) completed(run *targetRun) {
	q.mu.Lock()
	q.mu.completions.Record(q.now(), run.fingerprint)
	clearances := q.mu.table.Clear(run.fingerprint, quarantine.Software{})
	q.mu.Unlock()
	if len(clearances) > 0 {
		q.addOwn(nil, clearances...)
	}
}

// lost checks whether the target has crashed while the call was in flight there, and reports
// the crash to the other nodes. isLeaving tells that the target was about to end.
func (q *quarantines) lost(run *targetRun, service, address string, isLeaving bool) {
	q.crashCheck.Lock()
	defer q.crashCheck.Unlock()
	if run.crashed || isLeaving || !hasEnded(address) {
		return
	}
	now := q.now().UnixMilli()
	crash := quarantine.Crash{Born: now, At: now, Service: service}
	q.mu.Lock()
	inFlight := append(slices.Collect(maps.Keys(q.mu.running)), q.mu.unfinished.InFlight(q.now())...)
	for _, r := range inFlight {
		if !r.crashed && !q.mu.completions.Refutes(r.fingerprint, now) {
			crash.Suspects = append(crash.Suspects, r.fingerprint)
		}
		r.crashed = true
	}
	crash.Suspects = q.mu.table.MostSuspicious(crash.Suspects)
	q.mu.Unlock()
	q.metrics.TargetCrashes.Add(1)
	if len(crash.Suspects) > 0 {
		q.addOwn(&crash)
	}
}

// callerLeft records that a call has no caller any more. The target may still work on it.
func (q *quarantines) callerLeft(run *targetRun) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mu.unfinished.Add(run, run.deadline)
	if !q.mu.checking {
		q.mu.checking = true
		time.AfterFunc(unfinishedCheckInterval, q.checkUnfinished)
	}
}

// checkUnfinished looks whether the target has crashed by a call whose caller has left, until no such
// call is left. A call in flight shows the crash itself.
func (q *quarantines) checkUnfinished() {
	q.mu.Lock()
	var last *targetRun
	for _, r := range q.mu.unfinished.InFlight(q.now()) {
		if !r.crashed {
			last = r
		}
	}
	inFlight := len(q.mu.running) > 0
	q.mu.checking = last != nil
	q.mu.Unlock()
	if last == nil {
		return
	}
	if !inFlight {
		last.checkCrash()
	}
	time.AfterFunc(unfinishedCheckInterval, q.checkUnfinished)
}

// hasEnded reports whether nothing listens at the target's address.
func hasEnded(address string) bool {
	connection, err := net.DialTimeout("tcp", address, endedCheckTimeout)
	if err == nil {
		_ = connection.Close() // nothing was sent
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// addOwn adds what this node has seen to its report and tells the other nodes.
func (q *quarantines) addOwn(c *quarantine.Crash, clearances ...quarantine.Clearance) {
	q.mu.Lock()
	own := q.mu.reports[string(q.self)]
	own.Add(c, clearances...)
	q.mu.Unlock()
	q.merge(quarantineMessage{string(q.self): own})
}

// quarantineMessage holds reports by instance.
type quarantineMessage map[string]quarantine.Report

// merge adds reports and passes those on that hold news.
func (q *quarantines) merge(message quarantineMessage) {
	news := quarantineMessage{}
	var changes []quarantine.Change
	q.mu.Lock()
	for instance, report := range message {
		known := q.mu.reports[instance]
		joined := quarantine.Join(known, report)
		if joined.Size() == known.Size() {
			continue
		}
		q.mu.reports[instance], news[instance] = joined, joined
		changes = append(changes, q.mu.table.Merge(q.now(), instance, joined)...)
	}
	q.mu.Unlock()
	for i := range changes {
		c := &changes[i]
		q.announce(bus.Announcement{
			Topic: bus.TopicQuarantine, What: "request-" + c.To.String(), Detail: c.Fingerprint.String(), Value: float64(c.Crashes),
		})
	}
	if len(news) > 0 {
		q.spread(news)
	}
}

// spread sends reports to some other nodes, chosen at random.
func (q *quarantines) spread(message quarantineMessage) {
	peers := q.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), quarantineFanout)] {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
			defer cancel()
			_, _ = q.exchange(ctx, http.MethodPost, peer.PeerAddress, message) // the comparisons repair a loss
		}()
	}
}

// all returns all reports.
func (q *quarantines) all() quarantineMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	message := quarantineMessage{}
	for instance, report := range q.mu.reports {
		message[instance] = report
	}
	return message
}

// count returns the number of calls that are suspects, and of those in quarantine.
func (q *quarantines) count() (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.mu.table.Len(q.now())
}

// learn asks some other nodes for their reports, when this node starts.
func (q *quarantines) learn(ctx context.Context) {
	peers := q.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	asked := 0
	for _, peer := range peers {
		if received, err := q.exchange(ctx, http.MethodGet, peer.PeerAddress, nil); err == nil {
			q.merge(received)
			if asked++; asked == quarantinePeers {
				return
			}
		}
	}
}

// tick forgets what has expired and compares the reports with another node's.
func (q *quarantines) tick(ctx context.Context) {
	q.mu.Lock()
	q.mu.table.Prune(q.now())
	for instance, report := range q.mu.reports {
		if report = q.mu.table.PruneReport(q.now(), report); report.IsEmpty() {
			delete(q.mu.reports, instance)
		} else {
			q.mu.reports[instance] = report
		}
	}
	isEmpty := len(q.mu.reports) == 0
	q.mu.Unlock()
	if peers := q.peers(); !isEmpty && len(peers) > 0 {
		if received, err := q.exchange(ctx, http.MethodPost, peers[rand.IntN(len(peers))].PeerAddress, q.all()); err == nil {
			q.merge(received)
		}
	}
}

// exchange sends reports to a node, if there are any, and returns its own.
func (q *quarantines) exchange(ctx context.Context, method, address string, message quarantineMessage) (quarantineMessage, error) {
	content, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode reports")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+quarantinePath, bytes.NewReader(content))
	if err != nil {
		return nil, errors.Wrapf(err, "reports of node %s", address)
	}
	response, err := q.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "reports of node %s", address)
	}
	defer func() { _ = response.Body.Close() }() // the body is read to its end below
	content, err = io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, errors.Newf("reports of node %s: status %d, %v", address, response.StatusCode, err)
	}
	var received quarantineMessage
	return received, errors.Wrapf(json.Unmarshal(content, &received), "reports of node %s", address)
}

// ServeHTTP serves other nodes and operators.
func (q *quarantines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var received quarantineMessage
	if r.Method == http.MethodPost {
		content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
		if err == nil {
			err = json.Unmarshal(content, &received)
		}
		if err != nil {
			q.metrics.BadInput.Add("quarantine", 1)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(q.all()) // the other node may have gone
	q.merge(received)
}

// watchBody makes the end of a response's body tell whether the call has completed.
func (q *quarantines) watchBody(reply *exchange.Reply, run *targetRun, onBroken func()) {
	reply.Body = &watchedBody{ReadCloser: reply.Body, onEnd: func() { q.completed(run) }, onBroken: onBroken}
}

// watchedBody calls onEnd when a body was read to its end, and onBroken when it broke off.
type watchedBody struct {
	io.ReadCloser
	once            sync.Once
	onEnd, onBroken func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.once.Do(b.onEnd)
	case err != nil:
		b.once.Do(b.onBroken)
	}
	return n, err
}
