package node

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// Timeouts of the connections to other nodes and to the upstream.
const (
	// gateDialTimeout allows for many round trips between availability zones
	// and is short enough to leave time for another try.
	gateDialTimeout = 250 * time.Millisecond
	// upstreamDialTimeout allows for a busy upstream; the upstream is on the
	// same VM.
	upstreamDialTimeout = 500 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. It is shorter than the time after which a silent
	// node counts as disconnected.
	tcpUserTimeout = time.Second
	// gateIdleTimeout is shorter than the idle timeout of the gates' servers.
	gateIdleTimeout = 20 * time.Second
	// upstreamIdleTimeout applies to upstreams that do not specify an idle
	// timeout.
	upstreamIdleTimeout = 8 * time.Second
)

// gateHeaderBytes is what a gate may add to the header section of an upstream's response.
const gateHeaderBytes = 4 << 10

func gateSettings() proxy.Settings {
	settings := proxy.DefaultSettings()
	settings.MaxConns = callPoolSize
	settings.MaxHeader += gateHeaderBytes
	settings.MaxIdleTime, settings.DialTimeout, settings.UserTimeout = gateIdleTimeout, gateDialTimeout, tcpUserTimeout
	return settings
}

func upstreamSettings(dialect proto.Dialect) proxy.Settings {
	settings := proxy.DefaultSettings()
	settings.MaxIdleTime, settings.DialTimeout, settings.UserTimeout = upstreamIdleTimeout, upstreamDialTimeout, tcpUserTimeout
	settings.AllowCloseDelimited, settings.Belongs = true, dialect.Belongs
	settings.RequestID = func(request *fasthttp.Request) string {
		// A request whose other metadata cannot be read was refused before.
		info, _ := dialect.RequestInfo(request)
		return info.ID
	}
	return settings
}
