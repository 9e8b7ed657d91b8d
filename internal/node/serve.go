package node

import (
	"cmp"
	"fmt"
	"net"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/accept"
	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/front"
)

// listeners are the node's open listeners.
type listeners struct {
	link    net.Listener
	callers net.Listener
	gate    net.Listener
	admin   net.Listener
	// Each of ready and metrics is nil if it is served at the admin address only.
	ready   net.Listener
	metrics net.Listener
}

func (node *Node) listen() (listeners, error) {
	var opened listeners
	var err error
	open := func(key, address string) net.Listener {
		if err != nil {
			return nil
		}
		listener, failure := net.Listen("tcp", address)
		if failure != nil {
			err = &config.Error{Key: key, Reason: failure.Error()}
		}
		return accept.Wrap(listener, node.log)
	}
	opened.link = open("link", cmp.Or(node.settings.ListenLink, node.settings.Link))
	opened.callers = open("callers", node.settings.Callers)
	opened.gate = open("gate", cmp.Or(node.settings.ListenGate, node.settings.Gate))
	opened.admin = open("admin", node.settings.Admin)
	if node.settings.Ready != "" {
		opened.ready = open("ready", node.settings.Ready)
	}
	if node.settings.Metrics != "" {
		opened.metrics = open("metrics", node.settings.Metrics)
	}
	return opened, err
}

// limits returns the limits on callers' requests according to the configuration
// in force. They are part of the edition, the resource that operators set when
// they replace the whole configuration.
func (node *Node) limits() front.Limits {
	limits := front.DefaultLimits()
	config := node.config.Load()
	if config == nil {
		return limits
	}
	edition, ok := config.Edition()
	if !ok {
		return limits
	}
	configured := edition.Limits()
	override(&limits.MaxHeader, configured.MaxHeader)
	override(&limits.MaxBody, configured.MaxBody)
	override(&limits.HeaderTimeout, configured.HeaderTimeout)
	override(&limits.Idle, configured.IdleTimeout)
	return limits
}

// gateHeaderReserve is the space for the headers that an entry node adds to a request.
const gateHeaderReserve = 4 << 10

// gateLimits returns the limits on the requests of entry nodes. They admit whatever an
// entry node has admitted.
func (node *Node) gateLimits() front.Limits {
	limits, callers := front.DefaultLimits(), node.limits()
	limits.MaxHeader = max(limits.MaxHeader, callers.MaxHeader) + gateHeaderReserve
	limits.MaxBody = max(limits.MaxBody, callers.MaxBody)
	return limits
}

// override replaces a default value by the configured value if there is one.
func override[T int | time.Duration](value *T, configured T) {
	if configured > 0 {
		*value = configured
	}
}

// The parts of the descriptors that the connections of each listener may take. The
// rest, 10 of 64, is for connections to other nodes and to the upstream.
const (
	callersShare accept.Share = 24
	gateShare    accept.Share = 16
	linkShare    accept.Share = 8
	adminShare   accept.Share = 4
	// extraShare is that of each of the additional addresses for readiness and metrics.
	extraShare accept.Share = 1
)

// newServer returns the server of a listener. The dependencies are those that differ
// between listeners.
func (node *Node) newServer(name string, share accept.Share, deps front.Deps) *front.Server {
	deps.Memory, deps.MaxConns, deps.Count = node.memory, share.MaxConns(), node.countClosed(name)
	return front.New(deps)
}

// countClosed returns a function that counts the connections closed and the requests
// refused at a listener because of a limit, by the reason.
func (node *Node) countClosed(listener string) func(reason string) {
	return func(reason string) {
		node.stats.Count(fmt.Sprintf(`vp_clients_refused_total{listener=%q,reason=%q}`, listener, reason), 1)
	}
}
