package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/tree"
	"github.com/vanillapulley/vanillapulley/internal/uptime"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

const (
	// pauseThreshold is the shortest pause of this process after which its
	// configuration is checked. Other processes close their connections to it after
	// that time; after a shorter pause, what they have sent meanwhile is at hand.
	pauseThreshold = tree.Idle
	// askTimeout limits the wait for the first answer of a control VM. A node that
	// gets none is not in contact and goes on with the configuration that it has.
	askTimeout = time.Second
	// furtherAnswers is the wait for further answers after the first one, because a
	// single control VM may be behind. It is several round trips between zones.
	furtherAnswers = 50 * time.Millisecond
	// askInterval is the pause between two questions to the same control VM. The first
	// one fails if it uses a connection that was closed during the pause.
	askInterval = 50 * time.Millisecond
	// catchUpTimeout limits the wait for a configuration that a control VM has. It is
	// the time in which every node in contact gets a configuration.
	catchUpTimeout = 3 * time.Second
)

// resume holds back the calls to this node's upstream after the process was paused, as
// by SIGSTOP or a suspend of the VM, until the configuration is known to be current. An
// evacuation that was ordered during the pause would otherwise not bind the calls that
// arrive before the first message of the distribution tree.
type resume struct {
	node   *Node
	client *link.Client
	// elapsed returns the time since the machine started, including suspends.
	elapsed func() time.Duration
	// paused wakes run.
	paused chan time.Duration

	// lock guards the fields below.
	lock sync.Mutex
	// seenAt is when the process last ran.
	seenAt time.Duration
	// current is closed once the configuration is known to be current. It is nil while
	// there is nothing to wait for.
	current chan struct{}
}

func newResume(node *Node) *resume {
	return &resume{node: node, elapsed: uptime.Now, paused: make(chan time.Duration, 1), seenAt: uptime.Now()}
}

// check notices a pause of the process. It returns a channel that is closed once calls
// may go on, or nil if they may at once.
func (resume *resume) check() <-chan struct{} {
	resume.lock.Lock()
	defer resume.lock.Unlock()
	now := resume.elapsed()
	pause := now - resume.seenAt
	resume.seenAt = now
	// Without a configuration, the node waits for the version that a quorum confirms.
	if pause >= pauseThreshold && resume.current == nil && resume.node.version() > 0 {
		resume.current = make(chan struct{})
		resume.paused <- pause
	}
	return resume.current
}

// Serve handles a call to the upstream beside this node.
func (resume *resume) Serve(ctx context.Context, request *fasthttp.RequestCtx) {
	if current := resume.check(); current != nil {
		select {
		case <-current:
		case <-ctx.Done():
		}
	}
	resume.node.gate.Serve(ctx, request)
}

// Load implements entry.Gate.
func (resume *resume) Load() picker.Load { return resume.node.gate.Load() }

// run checks the configuration after each pause, until the context ends.
func (resume *resume) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case pause := <-resume.paused:
			resume.catchUp(ctx, pause)
		}
	}
}

// catchUp waits until the configuration in force is as new as the newest one that a
// control VM states, and then lets calls go on.
func (resume *resume) catchUp(ctx context.Context, pause time.Duration) {
	started, before := resume.node.now(), resume.node.version()
	newest, inContact := resume.newestVersion(ctx)
	timeout, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for resume.node.version() < newest && timeout.Err() == nil {
		select {
		case <-timeout.Done():
		case <-time.After(bookkeepingInterval / 10):
		}
	}
	resume.lock.Lock()
	close(resume.current)
	resume.current = nil
	resume.lock.Unlock()
	resume.node.log.Info("went on after a pause", "pause", pause.String(), "inContact", inContact, "newest", newest,
		"before", before, "version", resume.node.version(), "took", resume.node.now().Sub(started).String())
}

// newestVersion returns the newest configuration version that control VMs state. It
// returns false if none answers.
func (resume *resume) newestVersion(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	addresses := resume.node.controlAddresses(resume.node.tree.Records())
	answers := make(chan uint64, len(addresses))
	asked := 0
	for _, address := range addresses {
		if resume.node.rpcPool.Submit(func() { resume.ask(ctx, address, answers) }) == nil {
			asked++
		}
	}
	newest, answered := uint64(0), 0
	var enough <-chan time.Time
	for answered < asked {
		select {
		case version := <-answers:
			newest = max(newest, version)
			answered++
			if enough == nil {
				enough = time.After(furtherAnswers)
			}
		case <-enough:
			return newest, true
		case <-ctx.Done():
			return newest, answered > 0
		}
	}
	return newest, answered > 0
}

// ask asks a control VM for its version until it answers or the context ends.
func (resume *resume) ask(ctx context.Context, address string, answers chan<- uint64) {
	for {
		var answer wire.ReadAnswer
		if resume.client.Call(ctx, address, wire.MethodVersion, nil, &answer) == nil {
			answers <- answer.Index
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(askInterval):
		}
	}
}

// Call implements tree.Host.
func (node *Node) Call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == wire.MethodVersion {
		return wire.ReadAnswer{Index: node.version()}, nil
	}
	return node.gate.Claims().HandleCall(ctx, method, params)
}
