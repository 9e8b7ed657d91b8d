package gate

import (
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/lease"
)

// Limits on what an upstream announces about itself.
const (
	// maxSlots limits the calls that an upstream runs at once. Other nodes sum up the
	// slots of many upstreams.
	maxSlots = 100_000
	// maxNameLength limits the id, the service and the version, which all nodes keep.
	maxNameLength = 256
	// maxWarmUp limits the warm-up time after the start.
	maxWarmUp = time.Hour
	// maxBornAhead is how far the start time of an upstream may lie in the future. The
	// clock may be set back after the start.
	maxBornAhead = time.Hour
)

// checkNotice returns an error if a notice cannot be from the upstream beside this
// node or has values that no upstream has. Such a notice comes from another writer
// and changes nothing.
func (gate *Gate) checkNotice(notice lease.Notice) error {
	service := gate.service()
	switch {
	case service != "" && notice.Service != service:
		return trace.BadParameter("service %.64q is not the one beside this node", notice.Service)
	case gate.settings.Upstream != "" && notice.Address != gate.settings.Upstream:
		return trace.BadParameter("address %.64q is not the one beside this node", notice.Address)
	case max(len(notice.ID), len(notice.Service), len(notice.Version)) > maxNameLength:
		return trace.BadParameter("id, service and version must have at most %d bytes", maxNameLength)
	case notice.Slots < 1 || notice.Slots > maxSlots:
		return trace.BadParameter("slots must be from 1 to %d", maxSlots)
	case notice.Cold < 0 || notice.Cold > maxWarmUp:
		return trace.BadParameter("the warm-up time must be from 0 to %s", maxWarmUp)
	case time.UnixMilli(notice.Born).After(gate.now().Add(maxBornAhead)):
		return trace.BadParameter("the start time %d is in the future", notice.Born)
	}
	return checkAddress(notice.Address)
}

// checkAddress returns an error if an address is not of the form IP:port.
func checkAddress(address string) error {
	host, portText, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return trace.BadParameter("address %.64q is not of the form IP:port", address)
	}
	if port, err := strconv.ParseUint(portText, 10, 16); err != nil || port == 0 {
		return trace.BadParameter("port %.16q is not from 1 to 65535", portText)
	}
	return nil
}
