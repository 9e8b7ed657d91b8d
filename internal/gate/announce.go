package gate

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// Limits on the lease that an upstream's announcement asks for.
const (
	minTTL = 100 * time.Millisecond
	maxTTL = time.Hour
)

// HandleAnnouncement handles an announcement of the upstream in the project's own
// format.
func (gate *Gate) HandleAnnouncement(request *fasthttp.RequestCtx) {
	var announcement wire.Announcement
	err := wire.DecodeStrict(request.PostBody(), &announcement)
	notice, ttl, reason := checkAnnouncement(announcement)
	if err != nil {
		reason = err.Error()
	}
	if reason != "" {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		request.SetBody(append(wire.MustEncode(wire.APIError{Code: wire.CodeInvalid, Reason: reason}), '\n'))
		return
	}
	gate.accept(notice, ttl)
	request.SetBodyString("{}\n")
}

// HandleLeave withdraws the upstream at its own request. A later notice makes it
// available again.
func (gate *Gate) HandleLeave(request *fasthttp.RequestCtx) {
	gate.withdraw("it is leaving")
	request.SetBodyString("{}\n")
}

func checkAnnouncement(announcement wire.Announcement) (lease.Notice, time.Duration, string) {
	ttl, err := time.ParseDuration(announcement.TTL)
	_, _, addressErr := net.SplitHostPort(announcement.Address)
	notice := lease.Notice{
		Service: announcement.Service,
		Version: announcement.Version,
		Address: announcement.Address,
		Slots:   announcement.Slots,
	}
	var coldErr error
	if announcement.Cold != "" {
		notice.Cold, coldErr = time.ParseDuration(announcement.Cold)
	}
	switch {
	case announcement.Service == "" || announcement.Version == "":
		return notice, ttl, "service and version must be named"
	case addressErr != nil:
		return notice, ttl, fmt.Sprintf("address: %q is not of the form IP:port", announcement.Address)
	case announcement.Slots < 1 || announcement.Slots > maxSlots:
		return notice, ttl, fmt.Sprintf("slots: must be from 1 to %d", maxSlots)
	case err != nil || ttl < minTTL || ttl > maxTTL:
		return notice, ttl, fmt.Sprintf("ttl: must be a duration from %s to %s", minTTL, maxTTL)
	case coldErr != nil || notice.Cold < 0 || notice.Cold > maxWarmUp:
		return notice, ttl, fmt.Sprintf("cold: must be a duration from 0 to %s", maxWarmUp)
	}
	return notice, ttl, ""
}

// AcceptNotice applies a notice of the upstream. Until this node has received
// what other nodes know of its upstream, it cannot tell whether a notice is
// stale. During that time a notice of a draining upstream is applied
// immediately, and any other notice is stored and applied later. An error means that
// the notice must not be acknowledged. If trace.IsBadParameter reports true for it, the
// notice was not applied.
func (gate *Gate) AcceptNotice(notice lease.Notice) error {
	if err := gate.checkNotice(notice); err != nil {
		gate.daemonLog.Info("notice of another writer ignored", "upstream", notice.ID, "reason", err.Error())
		return err
	}
	if !notice.Draining && !gate.formerStateKnown() {
		gate.earlyNotice.Store(&notice)
		// If the state has arrived in the meantime, the notice is applied now.
		if !gate.formerStateKnown() {
			return nil
		}
	}
	if !gate.accept(notice, gate.noticeTTL) {
		gate.daemonLog.Info("stale notice ignored", "upstream", notice.ID, "born", notice.Born, "sequence", notice.Sequence)
		if !notice.Draining && !gate.isRepeated(notice) {
			return trace.BadParameter("another upstream is beside this node, or this one has left")
		}
	}
	if !notice.Draining {
		return nil
	}
	ctx, cancel := context.WithTimeout(gate.ctx, departureTimeout)
	defer cancel()
	return gate.replicateDeparture(ctx, notice.ID)
}

// AcceptEarlyNotice applies the notice that arrived before formerStateKnown
// returned true, if there is one.
func (gate *Gate) AcceptEarlyNotice() {
	if !gate.formerStateKnown() {
		return
	}
	if notice := gate.earlyNotice.Swap(nil); notice != nil {
		gate.accept(*notice, gate.noticeTTL)
	}
}

// Deregister marks an instance of an upstream as permanently gone. The time born
// is the start time of the instance in milliseconds since 1970; zero stands for
// the latest known instance. An error means that no further call reaches the instance
// at present, but that the request must not be acknowledged.
func (gate *Gate) Deregister(id string, born int64) error {
	if notice := gate.earlyNotice.Load(); notice != nil && notice.ID == id && born == 0 {
		// The gate does not know this instance yet.
		born = notice.Born
	}
	gate.deregister(id, born)
	ctx, cancel := context.WithTimeout(gate.ctx, departureTimeout)
	defer cancel()
	if !gate.formerStateKnown() {
		if err := gate.awaitFormerState(ctx); err != nil {
			return trace.Wrap(err, "the state before the restart is not known yet")
		}
		gate.deregister(id, born)
	}
	return gate.replicateDeparture(ctx, id)
}

// formerStateKnown reports whether this node has already received the record
// that other nodes keep of its upstream, if there is one. The first
// configuration is applied only after that: the record and the floor come in the
// same message, and no configuration is applied before the floor is known.
func (gate *Gate) formerStateKnown() bool {
	config := gate.config()
	return config != nil && config.Version() > 0
}
