// Package quota limits the calls of client accounts over all nodes. The load that
// it answers is a fleet of 84 to 480 entries among which the calls of an account are
// spread so thinly that most pairs of an entry and an account see less than one call
// a second, under accounts that send several times their limit, limits that fall and
// processes that are killed, frozen or cut off at any moment.
//
// Each limited account has a rate and a burst. Three cores keep the sum of all calls
// below them:
//   - The Allotment, at the Raft leader, divides rate and burst among the homes by
//     leases.
//   - A Home, at each control VM, keeps a token bucket for each account, which is
//     filled at the home's share.
//   - An Entry, at each node, takes tokens from the homes, nearest first, and spends
//     one for each call within Settings.Hold.
//
// The homes are the members of the Raft group because the group is durable: a new
// leader knows from its log who may hold a lease, and need not wait for leases to
// expire once it has heard all of them.
//
// In a window, the buckets give out at most rate x (window + hold) + burst, because a
// token that was given out before the window is spent at most Hold later. The hold is
// the overshoot of the rate. The overshoot of the burst and the slack cover the
// buckets, which are larger than the burst, and the tokens with which the homes start
// after a restart of the whole fleet.
//
// The package uses no clock, socket or goroutine. Times are durations since an
// arbitrary point on a clock that continues while the machine is suspended. Times of
// different processes are never compared.
package quota

import "time"

const (
	// LeaseTime is how long a home may use its shares after it asked for them. It is
	// longer than an election, so that homes outlive the loss of the leader.
	LeaseTime = 4 * time.Second
	// clockMargin is how much longer the leader counts a lease than its holder, for
	// clocks that run at different speeds.
	clockMargin = 50 * time.Millisecond
	// renewInterval leaves three tries within the lease time.
	renewInterval = time.Second
	// renewSoon is the interval between renewals while the leader gives out less than
	// it aims for. It is short compared with the restart of a fleet.
	renewSoon = 100 * time.Millisecond
)

// Limit is a limit of an account, or a home's share of it.
type Limit struct {
	// Rate is in calls per second, Burst in calls.
	Rate, Burst float64
}

// times returns the limit multiplied by a factor.
func (limit Limit) times(factor float64) Limit {
	return Limit{Rate: limit.Rate * factor, Burst: limit.Burst * factor}
}

func (limit Limit) plus(other Limit) Limit {
	return Limit{Rate: limit.Rate + other.Rate, Burst: limit.Burst + other.Burst}
}

// atMost returns the component-wise minimum, but no negative values.
func (limit Limit) atMost(other Limit) Limit {
	return Limit{Rate: max(0, min(limit.Rate, other.Rate)), Burst: max(0, min(limit.Burst, other.Burst))}
}

// atLeast returns the component-wise maximum.
func (limit Limit) atLeast(other Limit) Limit {
	return Limit{Rate: max(limit.Rate, other.Rate), Burst: max(limit.Burst, other.Burst)}
}

// Settings state by how much the calls of an account may exceed its limit: in each
// Window, by Overshoot times the limit, plus Slack calls.
type Settings struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// DefaultSettings returns the settings of a fleet that sets none.
func DefaultSettings() Settings {
	return Settings{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
}

// Bound returns the largest number of calls in one window.
func (settings Settings) Bound(limit Limit) float64 {
	return (limit.Rate*settings.Window.Seconds()+limit.Burst)*(1+settings.Overshoot) + settings.Slack
}

// Hold is how long an entry may keep a token. Tokens that are spent this late add
// the overshoot of the rate to a window.
func (settings Settings) Hold() time.Duration {
	return time.Duration(settings.Overshoot * float64(settings.Window))
}

// extraBurst returns by how many calls the buckets of an account are larger than its
// burst together. The calls of a small account come in random clusters, of which fewer
// are refused. Half of what the bound leaves is used; the other half is for start
// tokens. One token for each home is left out, since a bucket holds at least one.
func (settings Settings) extraBurst(limit Limit, homes int) float64 {
	return max(0, settings.Overshoot*limit.Burst+settings.Slack-float64(homes)) / 2
}

// startTokens returns the number of tokens with which the homes of an account start
// after a restart of the whole fleet. It is half of what is left, because the fleet may
// restart twice in a window.
func (settings Settings) startTokens(limit Limit, homes int) float64 {
	return settings.extraBurst(limit, homes) / 2
}

// Renewal is a home's request to renew its shares.
type Renewal struct {
	Holder string
	// Incarnation identifies the run of the holder's process. Sequence orders the
	// renewals of one incarnation.
	Incarnation uint64
	Sequence    uint64
	// Applied is the sequence of the latest answer that the holder has applied. The
	// holder applies only the answer to its latest renewal, so the leader knows what
	// the holder has without a complete statement.
	Applied uint64
	// Full is true if Statements lists all shares that the holder has. Otherwise it
	// lists only changes of demand.
	Full bool
	// Release is true if the holder gives up all its shares.
	Release    bool
	Statements []Statement
}

// Statement is what a home states of one account.
type Statement struct {
	Account string
	// Share has a meaning only in a full renewal.
	Share Limit
	// Demand is the rate in calls per second at which entries ask for tokens.
	Demand float64
}

// Grant is the answer to a renewal.
type Grant struct {
	Sequence uint64
	// NeedFull is true if the leader does not know what the holder has. The grant
	// then gives nothing, and the holder states everything at once.
	NeedFull bool
	// Shares lists the shares that change. A share of zero takes the account away.
	Shares []Share
	// Again is when the holder should renew next.
	Again time.Duration
}

// Share is a home's new share of one account. Tokens is added to the home's bucket.
type Share struct {
	Account string
	Limit   Limit
	Tokens  float64
}
