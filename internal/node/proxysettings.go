package node

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// Timeouts of the connections to other nodes and to the upstream.
const (
	// gateDialTimeout allows for many round trips between availability zones
	// and is short enough to leave time for another try.
	gateDialTimeout = 250 * time.Millisecond
	// targetDialTimeout allows for a busy target; the target is on the same VM.
	targetDialTimeout = 500 * time.Millisecond
	// tcpUserTimeout detects an unresponsive connection while the node at the
	// other end still counts as connected.
	tcpUserTimeout = time.Second
	// gateIdleTimeout is shorter than the idle timeout of the gates' servers.
	gateIdleTimeout = 20 * time.Second
	// targetIdleTimeout applies to upstreams that do not specify an idle
	// timeout.
	targetIdleTimeout = 8 * time.Second
)

func gateSettings() proxy.Settings {
	settings := proxy.DefaultSettings()
	settings.MaxConns = callPoolSize
	settings.MaxIdleTime, settings.DialTimeout, settings.UserTimeout = gateIdleTimeout, gateDialTimeout, tcpUserTimeout
	return settings
}

func targetSettings(dialect Dialect) proxy.Settings {
	settings := proxy.DefaultSettings()
	settings.MaxIdleTime, settings.DialTimeout, settings.UserTimeout = targetIdleTimeout, targetDialTimeout, tcpUserTimeout
	settings.AllowCloseDelimited, settings.Belongs = true, dialect.Belongs
	return settings
}
