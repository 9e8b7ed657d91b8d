package node

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// Timing of the connections to other nodes and to the upstream.
const (
	// gateDial is many round trips between availability zones, and short enough
	// for another try within a call's time.
	gateDial = 250 * time.Millisecond
	// targetDial covers a target that is busy; it is on the same VM.
	targetDial = 500 * time.Millisecond
	// callSilence finds a connection that went silent within the time in which
	// a node still counts as connected.
	callSilence = time.Second
	// gateIdle is below the idle time of the gates' servers.
	gateIdle = 20 * time.Second
	// targetIdle holds for upstreams that state no idle time.
	targetIdle = 8 * time.Second
)

func gateSettings() proxy.Settings {
	settings := proxy.DefaultSettings()
	settings.MaxConns = callPoolSize
	settings.MaxIdleTime, settings.DialTimeout, settings.UserTimeout = gateIdle, gateDial, callSilence
	return settings
}

func targetSettings(dialect Dialect) proxy.Settings {
	settings := proxy.DefaultSettings()
	settings.MaxIdleTime, settings.DialTimeout, settings.UserTimeout = targetIdle, targetDial, callSilence
	settings.AllowCloseDelimited, settings.Belongs = true, dialect.Belongs
	return settings
}
