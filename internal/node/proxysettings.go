package node

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// Timing of the connections to other nodes and to the upstream.
const (
	// gateDial is many round trips between availability zones, and short enough
	// for another try within a call's time.
	gateDialTimeout = 250 * time.Millisecond
	// targetDial covers a target that is busy; it is on the same VM.
	targetDialTimeout = 500 * time.Millisecond
	// callSilence finds a connection that went silent within the time in which
	// a node still counts as connected.
	tcpUserTimeout = time.Second
	// gateIdle is below the idle time of the gates' servers.
	gateIdleTimeout = 20 * time.Second
	// targetIdle holds for upstreams that state no idle time.
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
