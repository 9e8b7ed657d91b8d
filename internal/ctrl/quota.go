package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/quota"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/uptime"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Methods of requests about limits of accounts. methodLease goes from a home to the
// leader, methodTake from a node to a home.
const (
	methodLease = "quota.lease"
	methodTake  = "quota.take"
)

const (
	// leaseTimeout is the timeout of a renewal: two round trips between zones and a
	// confirmation by the quorum take a few milliseconds.
	leaseTimeout = 300 * time.Millisecond
	// leaseRetry is the pause after a failed renewal.
	leaseRetry = 50 * time.Millisecond
	// idleInterval is how often a home without limited accounts looks for some. It is
	// short compared with the time in which a configuration reaches the nodes.
	idleInterval = 100 * time.Millisecond
)

// quotas runs the limits of accounts on this control VM: it is a home, and divides the
// limits among the homes while the replica is the leader.
type quotas struct {
	control  *Control
	settings quota.Settings
	now      func() time.Duration
	log      logr.Logger

	// lock guards the fields below. No other lock is taken while it is held.
	lock sync.Mutex
	home *quota.Home
	// allotment is that of the term, or nil.
	allotment *quota.Allotment
	term      uint64
	// leased and settled are the states that were last logged.
	leased  bool
	settled bool
}

func newQuotas(control *Control) *quotas {
	quotas := &quotas{control: control, settings: control.settings.AccountLimit.Quota(), now: uptime.Now, log: control.logs.Layer("quota")}
	quotas.home = quota.NewHome(quotas.now(), control.replica.id, control.deps.Random().Uint64())
	control.stats.Gauge("vp_quota_leased", func() float64 {
		quotas.lock.Lock()
		defer quotas.lock.Unlock()
		if leased, _ := quotas.home.Leased(quotas.now()); leased {
			return 1
		}
		return 0
	})
	return quotas
}

// accountLimits returns the limits of the accounts that have one.
func accountLimits(config *rsrc.Config) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, account := range config.Accounts() {
		if limit := account.Limit(); limit.RatePerSecond > 0 {
			limits[account.Name()] = quota.Limit{Rate: limit.RatePerSecond, Burst: limit.Burst}
		}
	}
	return limits
}

// run renews the shares of this home until the context ends, and then gives them up.
func (quotas *quotas) run(ctx context.Context) error {
	// The connections outlive the context, for the last message.
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	caller := link.NewClient(background, quotas.control.linkOptions())
	for {
		select {
		case <-ctx.Done():
			quotas.release(background, caller)
			return nil
		case <-time.After(quotas.renew(ctx, caller)):
		}
	}
}

// renew renews the shares once and returns the pause before the next renewal. A new
// limit is in force at all homes one pause later.
func (quotas *quotas) renew(ctx context.Context, caller *link.Client) time.Duration {
	quotas.lock.Lock()
	leased, _ := quotas.home.Leased(quotas.now())
	quotas.lock.Unlock()
	if len(accountLimits(quotas.control.replica.config())) == 0 && !leased {
		return idleInterval
	}
	quotas.lock.Lock()
	renewal := quotas.home.Renewal(quotas.now())
	quotas.lock.Unlock()
	grant, err := quotas.send(ctx, caller, renewal)
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	again := grant.Again
	if err != nil {
		quotas.control.stats.Count("vp_quota_renewal_failures_total", 1)
		quotas.home.Lost()
		again = leaseRetry
	} else if quotas.home.Apply(quotas.now(), grant) {
		again = 0
	}
	leased, age := quotas.home.Leased(quotas.now())
	if leased != quotas.leased {
		quotas.leased = leased
		quotas.log.Info("lease changed", "leased", leased, "age", age, "shares", len(grant.Shares), "leader", quotas.control.replica.leader().ID, "failed", err != nil)
	}
	return again
}

// release gives up all shares, so that the leader can give them to other homes at
// once.
func (quotas *quotas) release(ctx context.Context, caller *link.Client) {
	quotas.lock.Lock()
	leased, _ := quotas.home.Leased(quotas.now())
	renewal := quotas.home.Release(quotas.now())
	quotas.lock.Unlock()
	if !leased || quotas.control.replica.isLeader() {
		return
	}
	_, err := quotas.send(ctx, caller, renewal)
	quotas.log.Info("lease given up", "acknowledged", err == nil)
}

// errNotLeader means that the control VM that was asked is not the leader.
var errNotLeader = errors.New("the control VM is not the leader")

// send sends a renewal to the leader.
func (quotas *quotas) send(ctx context.Context, caller *link.Client, renewal quota.Renewal) (quota.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	if quotas.control.replica.isLeader() {
		return quotas.grant(ctx, renewal)
	}
	address := quotas.control.replica.leader().Address
	for range 2 {
		if address == "" {
			break
		}
		var answer wire.LeaseAnswer
		if err := caller.Call(ctx, address, methodLease, wire.FromRenewal(renewal), &answer); err != nil {
			return quota.Grant{}, err
		}
		if !answer.Refused {
			return answer.Domain(), nil
		}
		address = answer.Leader
	}
	return quota.Grant{}, errNotLeader
}

// grant handles a renewal as the leader. Before it grants anything, a quorum confirms
// that this replica is still the leader: a process that was frozen may not know that
// there is another one.
func (quotas *quotas) grant(ctx context.Context, renewal quota.Renewal) (quota.Grant, error) {
	replica := quotas.control.replica
	before := replica.view.Load()
	index, err := replica.readIndexLocal(ctx)
	if err != nil {
		return quota.Grant{}, err
	}
	config, err := replica.waitApplied(ctx, index)
	if err != nil {
		return quota.Grant{}, err
	}
	// The view is published before reads are answered, so it is as new as the
	// confirmation.
	after := replica.view.Load()
	if before.role != raft.RoleLeader || after.role != raft.RoleLeader || before.term != after.term {
		return quota.Grant{}, errNotLeader
	}
	return quotas.allot(after, accountLimits(config), renewal)
}

// allot handles a renewal with the allotment of the view's term, which it creates if there
// is none. A quorum has confirmed that this replica leads in that term.
func (quotas *quotas) allot(view *view, limits map[string]quota.Limit, renewal quota.Renewal) (quota.Grant, error) {
	var members []string
	for _, member := range view.members {
		members = append(members, member.ID)
	}
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	now := quotas.now()
	if quotas.allotment == nil || quotas.term != view.term {
		if view.term < quotas.term {
			return quota.Grant{}, errNotLeader
		}
		quotas.allotment, quotas.term, quotas.settled = quota.NewAllotment(now, quotas.settings, members), view.term, false
		quotas.log.Info("allotment of a new term", "term", view.term, "members", len(members), "accounts", len(limits))
	}
	quotas.allotment.SetMembers(members)
	quotas.allotment.SetLimits(limits)
	granted, err := quotas.allotment.Renew(now, renewal)
	if settled := quotas.allotment.Settled(now); settled != quotas.settled {
		quotas.settled = settled
		quotas.log.Info("leases of earlier leaders are known or have expired", "term", view.term)
	}
	return granted, err
}

// retire reports whether a member may be removed from the Raft group: it holds no lease
// that a later leader would not know of, and gets none until it has been removed.
func (quotas *quotas) retire(member string) bool {
	limited := len(accountLimits(quotas.control.replica.config())) > 0
	term := quotas.control.replica.core.Term()
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	if quotas.allotment == nil || quotas.term != term {
		return !limited
	}
	return quotas.allotment.Retire(quotas.now(), member)
}

// take gives tokens to a node.
func (quotas *quotas) take(request quota.TakeRequest) []quota.Answer {
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	now := quotas.now()
	for _, returned := range request.Returns {
		quotas.home.Return(now, returned.Account, returned.Given)
	}
	answers := make([]quota.Answer, 0, len(request.Asks))
	for _, ask := range request.Asks {
		answers = append(answers, quotas.home.Take(now, ask))
	}
	return answers
}

// handleCall serves the requests about limits.
func (quotas *quotas) handleCall(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == methodTake {
		var request wire.TakeRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, trace.Wrap(err)
		}
		quotas.control.stats.Count("vp_quota_takes_total", 1)
		return wire.FromTakeAnswers(quotas.take(request.Domain())), nil
	}
	var request wire.LeaseRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	if !quotas.control.replica.isLeader() {
		return wire.LeaseAnswer{Refused: true, Leader: quotas.control.replica.leader().Address}, nil
	}
	grant, err := quotas.grant(ctx, request.Domain())
	return wire.FromGrant(grant), err
}
