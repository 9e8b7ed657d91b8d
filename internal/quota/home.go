package quota

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant with which the demand at a home is averaged. It
	// is long enough that the demand of a small account does not change by chance.
	demandTime = 5 * time.Second
	// demandChange and demandStep are the relative and the absolute change of demand
	// (calls per second) that is reported. Smaller changes would cost a statement for
	// each account and second.
	demandChange = 0.3
	demandStep   = 1
	// binTime and bins are the resolution and the length of a bucket's history. The
	// history covers calls that end as not run after several seconds.
	binTime = 500 * time.Millisecond
	bins    = 16
	// minRate keeps waiting times finite, in calls per second.
	minRate = 0.01
)

// Home keeps the token buckets of one home. It is not safe for concurrent use.
type Home struct {
	name        string
	incarnation uint64
	// sequence is that of the latest renewal, asked its time, and applied the
	// sequence of the latest grant that was applied.
	sequence uint64
	asked    time.Duration
	applied  uint64
	// expires is the end of the lease; zero before the first grant.
	expires time.Duration
	// full is true if the next renewal must state everything.
	full     bool
	counted  time.Duration
	accounts map[string]*bucket
}

// bucket is the token bucket of one account.
type bucket struct {
	share   Limit
	level   float64
	updated time.Duration
	born    time.Duration
	// highs contains the highest level in each of the latest bins; bin is the number
	// of the current one.
	highs [bins]float64
	bin   int64
	// asked counts calls since the last renewal. demand is their averaged rate, and
	// reported the rate that the leader knows.
	asked    float64
	demand   float64
	reported float64
}

// Ask is an entry's request for tokens of one account.
type Ask struct {
	Account string
	// Need is the number of calls that wait and have asked no other home. Spill is
	// the number of those that another home had no tokens for, and Ahead the number
	// of tokens wanted for calls to come.
	Need, Spill, Ahead int
}

// Answer is a home's answer to an Ask.
type Answer struct {
	Tokens int
	// At is the time of the answer on the home's clock, for the return of the tokens.
	At time.Duration
	// Known is false if the home has no current lease of the account.
	Known bool
	// Wait is the time until the next token, if fewer were given than needed. Share
	// and Demand are then the rates of the bucket and of the demand, for the log.
	Wait          time.Duration
	Share, Demand float64
}

// NewHome returns a home without shares.
func NewHome(now time.Duration, name string, incarnation uint64) *Home {
	return &Home{name: name, incarnation: incarnation, full: true, counted: now, accounts: map[string]*bucket{}}
}

// Renewal begins a renewal. The answer to an earlier one is no longer applied.
func (home *Home) Renewal(now time.Duration) Renewal {
	home.expire(now)
	home.sequence++
	home.asked = now
	renewal := Renewal{Holder: home.name, Incarnation: home.incarnation, Sequence: home.sequence, Applied: home.applied, Full: home.full}
	elapsed := now - home.counted
	home.counted = now
	for account, bucket := range home.accounts {
		bucket.measure(elapsed)
		change := math.Abs(bucket.demand - bucket.reported)
		if home.full || change > demandChange*bucket.reported+demandStep {
			bucket.reported = bucket.demand
			renewal.Statements = append(renewal.Statements, Statement{Account: account, Share: bucket.share, Demand: bucket.demand})
		}
	}
	return renewal
}

// Release returns a renewal that gives up all shares. The home gives out no tokens
// after it.
func (home *Home) Release(now time.Duration) Renewal {
	home.drop(now)
	home.sequence++
	return Renewal{Holder: home.name, Incarnation: home.incarnation, Sequence: home.sequence, Release: true}
}

// Lost records that a renewal was not answered, possibly because there is a new
// leader, which knows nothing of this home.
func (home *Home) Lost() { home.full = true }

// Apply applies a grant if it answers the latest renewal, and reports whether the
// home should renew at once.
func (home *Home) Apply(now time.Duration, grant Grant) bool {
	if grant.Sequence != home.sequence || now-home.asked >= LeaseTime {
		return false
	}
	if grant.NeedFull {
		home.full = true
		return true
	}
	home.expire(now)
	home.full = false
	home.applied = grant.Sequence
	home.expires = home.asked + LeaseTime
	for _, share := range grant.Shares {
		current := home.accounts[share.Account]
		if current == nil {
			current = &bucket{born: now, updated: now, bin: int64(now / binTime)}
			home.accounts[share.Account] = current
		}
		current.fill(now)
		current.share = share.Limit
		current.level = min(current.level+share.Tokens, current.size())
		if share.Limit == (Limit{}) {
			delete(home.accounts, share.Account)
		}
	}
	return false
}

// Leased reports whether the home has a current lease, and the age of the renewal
// by which it got it.
func (home *Home) Leased(now time.Duration) (bool, time.Duration) {
	return now < home.expires, now - (home.expires - LeaseTime)
}

// expire drops all shares once the lease has expired.
func (home *Home) expire(now time.Duration) {
	if home.expires > 0 && now >= home.expires {
		home.drop(now)
	}
}

func (home *Home) drop(time.Duration) {
	home.accounts = map[string]*bucket{}
	home.expires, home.full = 0, true
}

// Take gives out tokens.
func (home *Home) Take(now time.Duration, ask Ask) Answer {
	home.expire(now)
	bucket := home.accounts[ask.Account]
	if bucket == nil {
		return Answer{}
	}
	bucket.fill(now)
	bucket.asked += float64(ask.Need)
	need := ask.Need + ask.Spill
	given := min(need, int(bucket.level))
	bucket.level -= float64(given)
	if given < need {
		wait := (1 - bucket.level) / max(bucket.share.Rate, minRate)
		return Answer{Known: true, At: now, Tokens: given, Wait: time.Duration(wait * float64(time.Second)), Share: bucket.share.Rate, Demand: bucket.demand}
	}
	// Tokens ahead of calls come from the upper half of the bucket, so that they are
	// missing nowhere else.
	ahead := min(ask.Ahead, int(max(0, bucket.level-bucket.size()/2)))
	bucket.level -= float64(ahead)
	return Answer{Known: true, At: now, Tokens: given + ahead}
}

// Return takes back a token that was given out at the given time and not spent.
func (home *Home) Return(now time.Duration, account string, given time.Duration) {
	home.expire(now)
	bucket := home.accounts[account]
	if bucket == nil || given > now || now-given > binTime*(bins-1) || given < bucket.born {
		return
	}
	bucket.fill(now)
	first := int64(given / binTime)
	high := 0.0
	for bin := first; bin <= bucket.bin; bin++ {
		high = max(high, bucket.highs[bin%bins])
	}
	// If the token had not been given out, the bucket would have been fuller since,
	// but never above its size.
	credit := max(0, min(1, bucket.size()-high))
	bucket.level += credit
	for bin := first; bin <= bucket.bin; bin++ {
		bucket.highs[bin%bins] += credit
	}
}

// size is the largest level. Less than one token would admit no call at all.
func (bucket *bucket) size() float64 { return max(1, bucket.share.Burst) }

// fill adds the tokens of the time since the last call.
func (bucket *bucket) fill(now time.Duration) {
	if now > bucket.updated {
		bucket.level = min(bucket.size(), bucket.level+bucket.share.Rate*(now-bucket.updated).Seconds())
		bucket.updated = now
	}
	current := int64(now / binTime)
	if current-bucket.bin > bins {
		bucket.bin = current - bins
	}
	for bucket.bin < current {
		bucket.bin++
		bucket.highs[bucket.bin%bins] = bucket.level
	}
	bucket.highs[bucket.bin%bins] = max(bucket.highs[bucket.bin%bins], bucket.level)
}

// measure averages the demand over the time since the last renewal.
func (bucket *bucket) measure(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	bucket.demand += weight * (bucket.asked/elapsed.Seconds() - bucket.demand)
	bucket.asked = 0
}
