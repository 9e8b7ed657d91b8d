package quota

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxShare is the largest part of an account that one of three or more homes
	// gets. A new leader that misses one home can thus give out the rest at once.
	maxShare = 0.5
	// evenPart is the part of an account that is divided evenly among the homes, so
	// that a zone in which demand appears has something at once.
	evenPart = 0.15
	// idleDemand is the weight in calls per second of a home without demand.
	idleDemand = 0.1
	// smallChange is the relative change of a share that is not worth a message.
	smallChange = 0.02
	// maxRetired limits the earlier incarnations that are remembered for each holder.
	// A message of an incarnation that ended earlier cannot still arrive.
	maxRetired = 8
)

// ErrOutdated reports a renewal that was overtaken by a later one.
var ErrOutdated = errors.New("quota: the renewal is outdated")

// Allotment divides the limits of all accounts among the homes during one term of
// the leader. The sum of what the homes may use never exceeds a limit: a share that
// was lowered counts in full until its holder has confirmed the lower one or its
// lease has expired. It is not safe for concurrent use.
type Allotment struct {
	settings Settings
	started  time.Duration
	// members are the holders that may get a share.
	members []string
	// unheard contains the members that may hold a lease of an earlier leader. They
	// have not stated their shares, and their leases have not yet expired.
	unheard map[string]bool
	// retired contains the members that get no lease because they are being removed.
	retired map[string]bool
	limits  map[string]Limit
	holders map[string]*holder
	// stated is true once a home has stated a share of an earlier leader. start
	// contains the homes that are yet to get start tokens.
	stated bool
	start  map[string]bool
}

// holder is what the leader knows of one home.
type holder struct {
	incarnation uint64
	// retired contains earlier incarnations, whose messages may be late.
	retired  []uint64
	sequence uint64
	// answered is the sequence of the latest grant.
	answered uint64
	// renewed is the time of the latest grant, at or after the time from which the
	// holder counts its lease.
	renewed time.Duration
	// known is true if leases states what the holder has.
	known  bool
	leases map[string]*lease
}

// lease is one account at one home. The home has either of the two shares, because
// it may or may not have received the latest grant.
type lease struct {
	confirmed Limit
	granted   Limit
	demand    float64
}

func (lease *lease) upper() Limit { return lease.confirmed.atLeast(lease.granted) }

// NewAllotment returns the allotment of a leader whose term began now. Members are
// those of the Raft group that may hold a lease of an earlier leader.
func NewAllotment(now time.Duration, settings Settings, members []string) *Allotment {
	allotment := &Allotment{settings: settings, started: now, members: slices.Clone(members), unheard: map[string]bool{}, retired: map[string]bool{}, limits: map[string]Limit{}, holders: map[string]*holder{}, start: map[string]bool{}}
	for _, member := range members {
		allotment.unheard[member] = true
	}
	return allotment
}

// SetMembers replaces the homes. A home that has been removed keeps its lease until
// it expires.
func (allotment *Allotment) SetMembers(members []string) {
	allotment.members = slices.Clone(members)
	maps.DeleteFunc(allotment.retired, func(member string, _ bool) bool { return !slices.Contains(members, member) })
}

// SetLimits replaces the limits of all accounts that have one.
func (allotment *Allotment) SetLimits(limits map[string]Limit) { allotment.limits = limits }

// Settled reports whether all leases of earlier leaders are known or have expired.
func (allotment *Allotment) Settled(now time.Duration) bool {
	return len(allotment.unheard) == 0 || now-allotment.started >= LeaseTime+clockMargin
}

// Retire prepares the removal of a member. It returns false if the member may hold a
// lease, which a later leader would not know of after the removal. Otherwise the member
// gets no lease until it has been removed and added again.
func (allotment *Allotment) Retire(now time.Duration, member string) bool {
	allotment.expire(now)
	holder := allotment.holders[member]
	if allotment.unheard[member] || holder != nil && holder.known {
		return false
	}
	allotment.retired[member] = true
	return true
}

func (holder *holder) expired(now time.Duration) bool {
	return now-holder.renewed >= LeaseTime+clockMargin
}

// Renew handles a renewal. The caller must have confirmed with a quorum that it was
// still the leader after the renewal arrived.
func (allotment *Allotment) Renew(now time.Duration, renewal Renewal) (Grant, error) {
	holder, err := allotment.admit(renewal)
	if err != nil {
		return Grant{}, err
	}
	allotment.expire(now)
	holder.sequence = renewal.Sequence
	if renewal.Release {
		holder.known, holder.leases = false, map[string]*lease{}
		delete(allotment.unheard, renewal.Holder)
		return Grant{Sequence: renewal.Sequence, Again: renewInterval}, nil
	}
	if !renewal.Full && !holder.known {
		return Grant{Sequence: renewal.Sequence, NeedFull: true}, nil
	}
	holder.apply(renewal)
	allotment.heard(renewal)
	holder.known, holder.renewed, holder.answered = true, now, renewal.Sequence
	return allotment.grant(now, renewal.Holder, holder), nil
}

// admit returns the holder of a renewal, or an error if the renewal is outdated.
func (allotment *Allotment) admit(renewal Renewal) (*holder, error) {
	current := allotment.holders[renewal.Holder]
	if !slices.Contains(allotment.members, renewal.Holder) {
		return nil, errors.New("quota: the home is not a member")
	}
	if allotment.retired[renewal.Holder] {
		return nil, errors.New("quota: the home is being removed")
	}
	switch {
	case current == nil:
		current = &holder{incarnation: renewal.Incarnation, leases: map[string]*lease{}}
		allotment.holders[renewal.Holder] = current
	case slices.Contains(current.retired, renewal.Incarnation):
		return nil, ErrOutdated
	case current.incarnation != renewal.Incarnation:
		// The process that held the leases has ended.
		retired := append(current.retired, current.incarnation)
		retired = retired[max(0, len(retired)-maxRetired):]
		*current = holder{incarnation: renewal.Incarnation, retired: retired, leases: map[string]*lease{}}
	case renewal.Sequence <= current.sequence:
		return nil, ErrOutdated
	}
	return current, nil
}

// expire forgets the leases that have expired.
func (allotment *Allotment) expire(now time.Duration) {
	for _, holder := range allotment.holders {
		if holder.known && holder.expired(now) {
			holder.known, holder.leases = false, map[string]*lease{}
		}
	}
	if allotment.Settled(now) {
		clear(allotment.unheard)
	}
}

// apply takes over what a renewal states.
func (holder *holder) apply(renewal Renewal) {
	if renewal.Full {
		holder.leases = map[string]*lease{}
	}
	for _, lease := range holder.leases {
		// The holder applies no answer but the one to this renewal, so it has what it
		// had before the last grant unless it states that it applied that grant.
		if renewal.Applied == holder.answered {
			lease.confirmed = lease.granted
		}
		lease.granted = lease.confirmed
	}
	for _, statement := range renewal.Statements {
		current := holder.lease(statement.Account)
		current.demand = statement.Demand
		if renewal.Full {
			current.confirmed, current.granted = statement.Share, statement.Share
		}
	}
}

func (holder *holder) lease(account string) *lease {
	current := holder.leases[account]
	if current == nil {
		current = &lease{}
		holder.leases[account] = current
	}
	return current
}

// heard records that the shares of a home are known. Once all homes of a new term
// are heard and none has stated a share, the whole fleet has restarted.
func (allotment *Allotment) heard(renewal Renewal) {
	if !allotment.unheard[renewal.Holder] {
		return
	}
	delete(allotment.unheard, renewal.Holder)
	for _, statement := range renewal.Statements {
		allotment.stated = allotment.stated || statement.Share != Limit{}
	}
	if len(allotment.unheard) > 0 || allotment.stated {
		return
	}
	for _, member := range allotment.members {
		allotment.start[member] = true
	}
}

// grant sets the shares of one home and returns those that change.
func (allotment *Allotment) grant(now time.Duration, name string, holder *holder) Grant {
	grant := Grant{Sequence: holder.answered, Again: renewInterval}
	settled := allotment.Settled(now)
	if !settled {
		grant.Again = renewSoon
	}
	for _, account := range slices.Sorted(maps.Keys(allotment.limits)) {
		limit := allotment.limits[account]
		tokens := 0.0
		if allotment.start[name] && limit.Rate > 0 {
			tokens = allotment.settings.startTokens(limit, len(allotment.members))
		}
		limit.Burst += allotment.settings.extraBurst(limit, len(allotment.members))
		lease := holder.lease(account)
		aim := limit.times(allotment.part(name, account))
		free := allotment.free(name, account, limit)
		share := aim.atMost(free)
		if !settled && lease.confirmed.Rate > share.Rate {
			// Nothing is known yet of the demand at the homes that are unheard.
			share = lease.confirmed.atMost(limit.times(maxShare))
		}
		if keeps(lease.confirmed, share, free) {
			share = lease.confirmed
		}
		if share.Rate < 0.9*aim.Rate || share.Burst < 0.9*aim.Burst {
			grant.Again = renewSoon
		}
		lease.granted = share
		tokens *= share.Rate / limit.Rate
		if share != lease.confirmed || tokens > 0 {
			grant.Shares = append(grant.Shares, Share{Account: account, Limit: share, Tokens: tokens})
		}
	}
	for account, lease := range holder.leases {
		if _, ok := allotment.limits[account]; ok {
			continue
		}
		if lease.confirmed == (Limit{}) {
			delete(holder.leases, account)
			continue
		}
		lease.granted = Limit{}
		grant.Shares = append(grant.Shares, Share{Account: account})
	}
	if settled {
		delete(allotment.start, name)
	}
	return grant
}

// keeps reports whether a share is so close to the new one that it stays as it is.
func keeps(current, share, free Limit) bool {
	near := func(a, b float64) bool { return math.Abs(a-b) <= smallChange*max(a, b) }
	return near(current.Rate, share.Rate) && near(current.Burst, share.Burst) && current == current.atMost(free)
}

// free returns what no other home may use of an account.
func (allotment *Allotment) free(name, account string, limit Limit) Limit {
	var used Limit
	for _, other := range slices.Sorted(maps.Keys(allotment.holders)) {
		holder := allotment.holders[other]
		if lease := holder.leases[account]; lease != nil && other != name {
			used = used.plus(lease.upper())
		}
	}
	used = used.plus(limit.times(allotment.largestPart() * float64(len(allotment.unheard))))
	return Limit{Rate: max(0, limit.Rate-used.Rate), Burst: max(0, limit.Burst-used.Burst)}
}

// largestPart is the largest part of an account that one home may have.
func (allotment *Allotment) largestPart() float64 {
	if len(allotment.members) < 3 {
		return 1
	}
	return maxShare
}

// part returns the part of an account that a home should get, by the demand at all
// homes that can be reached. The parts of all homes add up to at most one.
func (allotment *Allotment) part(name, account string) float64 {
	weights, total := map[string]float64{}, 0.0
	for _, member := range allotment.members {
		holder := allotment.holders[member]
		if holder == nil || !holder.known {
			continue
		}
		weight := idleDemand
		if lease := holder.leases[account]; lease != nil {
			weight += lease.demand
		}
		weights[member] = weight
		total += weight
	}
	if total == 0 {
		return 0
	}
	even := 1 / float64(len(weights))
	largest := allotment.largestPart()
	parts := func(member string) float64 { return evenPart*even + (1-evenPart)*weights[member]/total }
	part := parts(name)
	for member := range weights {
		// At most one part can be above a half. The others get the rest in proportion.
		if above := parts(member); above > largest && member != name {
			return part / (1 - above) * (1 - largest)
		}
	}
	return min(part, largest)
}
