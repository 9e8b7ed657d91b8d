package entry

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Reasons for refusing a call in a configuration with accounts.
const (
	reasonKeyMissing = "no key"
	reasonKeyUnknown = "unknown key"
)

// caller is on whose behalf a call is made.
type caller struct {
	// account is nil if the call has no account.
	account  *rsrc.Account
	customer string
}

// authenticate determines on whose behalf a call is made, from the configuration in
// force. If it returns a reason, the call must be refused with status 401. A call
// without a key is a nested call only if its parent is in progress at this node's gate.
func (entry *Entry) authenticate(config *rsrc.Config, route rsrc.Route, info proto.RequestInfo) (authenticated caller, reason string) {
	if len(config.Accounts()) == 0 {
		return caller{customer: info.Customer}, ""
	}
	if route.Public() {
		return caller{}, ""
	}
	if info.AccountKey == "" {
		customer, nested := entry.parentCalls.Customer(info.ID)
		if !nested {
			return caller{}, reasonKeyMissing
		}
		return caller{customer: customer}, ""
	}
	account, ok := config.AccountWithKey(rsrc.DigestKey(info.AccountKey))
	if !ok {
		return caller{}, reasonKeyUnknown
	}
	return caller{account: &account, customer: account.Name()}, ""
}

// accountName returns the value of proxy.HeaderAccount for the call, which is empty if
// the configuration contains no accounts.
func (call *call) accountName() string {
	switch {
	case call.account != nil:
		return call.account.Name()
	case len(call.config.Accounts()) > 0:
		return proxy.NoAccount
	default:
		return ""
	}
}

// priority returns the priority of the call's account or, if it has none, of its route.
func (call *call) priority() int {
	if call.account != nil {
		if priority, ok := call.account.Priority(); ok {
			return priority
		}
	}
	return call.route.Priority()
}

// keyRefusalInterval is the interval of the log lines about calls without a valid key.
// Anybody can cause such calls, and they must not displace other lines.
const keyRefusalInterval = time.Second

// keyRefusals counts the calls without a valid key between two log lines.
type keyRefusals struct {
	lock sync.Mutex
	// logged is the time of the latest line.
	logged time.Time
	count  int
}

// add counts a refusal. If a line is due, it returns the number of refusals since the
// latest line, otherwise zero.
func (keyRefusals *keyRefusals) add(now time.Time) int {
	keyRefusals.lock.Lock()
	defer keyRefusals.lock.Unlock()
	keyRefusals.count++
	if now.Sub(keyRefusals.logged) < keyRefusalInterval {
		return 0
	}
	count := keyRefusals.count
	keyRefusals.logged, keyRefusals.count = now, 0
	return count
}

// refuseKey refuses a call without a valid key. Neither the response nor the log line
// contains the key.
func (entry *Entry) refuseKey(request *fasthttp.RequestCtx, info proto.RequestInfo, config *rsrc.Config, route rsrc.Route, reason string) {
	label := "missing"
	if reason == reasonKeyUnknown {
		label = "unknown"
	}
	entry.stats.Count(`vp_key_refusals_total{reason="`+label+`"}`, 1)
	if count := entry.keyRefusals.add(entry.now()); count > 0 {
		entry.callLog.Info("calls without a valid key", "count", count, "id", info.ID, "route", route.Name(), "reason", reason, "config", config.Version())
	}
	entry.refuseEarly(request, info, fasthttp.StatusUnauthorized, reason)
	// RFC 9110 requires a challenge with status 401. Its scheme is the name of the header.
	request.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, entry.dialect.KeyHeader())
}
