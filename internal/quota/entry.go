package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// hedgeDelay is how long a request is unanswered before its calls ask another
	// home. It is several round trips between zones.
	hedgeDelay = 30 * time.Millisecond
	// takeTimeout is how long a request stays in flight. A home that leaves one
	// unanswered is passed over for downTime.
	takeTimeout = 250 * time.Millisecond
	downTime    = time.Second
	// failedTime is how long a home is passed over after a request failed, for
	// instance because the process is being restarted.
	failedTime = 100 * time.Millisecond
	// unleasedTime is how long a home without a lease is passed over. Homes get their
	// leases within a few round trips of an election.
	unleasedTime = 50 * time.Millisecond
	// aheadTime is the time for whose calls an entry asks for tokens ahead. Tokens
	// expire after 0.5 s by default, and come from buckets that are half full at least.
	aheadTime = 400 * time.Millisecond
	// useTime is the time constant with which an entry averages an account's calls.
	useTime = 2 * time.Second
	// overloaded is the demand at a home, in shares, from which calls do not wait for
	// its next token, because others will get it.
	overloaded = 1.2
	// maxReturns limits the tokens that wait to be returned to a home. They go with the
	// next request to it.
	maxReturns = 256
	// unknownRetry is the time after which a caller may try again if no home is
	// reached: about the time in which the homes are back after a restart.
	unknownRetry = time.Second
)

// Verdict is the decision on a call.
type Verdict int

// The verdicts. Unknown means that no home with a current lease has answered.
const (
	Admitted Verdict = iota
	Refused
	Unknown
)

// String returns the name of the verdict.
func (verdict Verdict) String() string { return [...]string{"admitted", "refused", "unknown"}[verdict] }

// Outcome is the decision on a call and what it rests on.
type Outcome struct {
	Verdict Verdict
	// Token is the token of an admitted call.
	Token Token
	// RetryAfter is the time until the account's next token, of a refused call.
	RetryAfter time.Duration
	// Home is the home that refused last, Age the time since it was asked, and Share
	// and Demand are what it stated.
	Home          string
	Age           time.Duration
	Share, Demand float64
}

// Token is the right to one call.
type Token struct {
	Home string
	// Asked is the time of the request by which the token came, and Given the time at
	// which it was given out, on the home's clock.
	Asked time.Duration
	Given time.Duration
}

// TakeRequest is a request of an entry to a home. Answers are in the order of Asks.
type TakeRequest struct {
	Home    string
	ID      uint64
	Asks    []Ask
	Returns []ReturnedToken
}

// ReturnedToken is a token of a call that was not run.
type ReturnedToken struct {
	Account string
	// Given is the time at which the token was given out, on the home's clock.
	Given time.Duration
}

// Entry decides on the calls that one node receives. It is not safe for concurrent
// use.
type Entry struct {
	hold     time.Duration
	homes    []*source
	accounts map[string]*account
	// active contains the accounts that may have calls waiting, in the order in which
	// they got the first one.
	active []*account
	lastID uint64
}

// source is a home as seen by an entry.
type source struct {
	name string
	// request is the request in flight; nil if there is none. asked is its time.
	request *TakeRequest
	asked   time.Duration
	// down is the time until which the home is passed over.
	down    time.Duration
	queued  []*ticket
	returns []Token
	// returned contains the accounts of returns.
	returned []string
}

// account is a limited account as seen by an entry.
type account struct {
	// active is true if the account is in Entry.active.
	active  bool
	tokens  []Token
	waiting []*ticket
	// refusals contains the latest refusal of each home.
	refusals map[*source]refusal
	// use is the averaged rate of calls, as of used.
	use  float64
	used time.Duration
}

// refusal is a home's answer that it had fewer tokens than were needed. until is
// when it expects the next one.
type refusal struct {
	home  string
	asked time.Duration
	until time.Duration
	Answer
}

// ticket is a call that waits for a token.
type ticket struct {
	account string
	until   time.Duration
	// at is the home whose answer the call waits for, and tried contains the homes
	// that were asked. spill is true if a home had no tokens for it.
	at    *source
	tried []*source
	spill bool
	// again is when the call asks all homes once more; zero if it does not wait for
	// that. retried is true if it has waited for a token once.
	again   time.Duration
	retried bool
	done    bool
	finish  func(Outcome)
}

// NewEntry returns an entry that knows no homes.
func NewEntry(settings Settings) *Entry {
	return &Entry{hold: settings.Hold(), accounts: map[string]*account{}}
}

// SetHomes replaces the homes, nearest first.
func (entry *Entry) SetHomes(now time.Duration, names []string) {
	old := entry.homes
	entry.homes = nil
	for _, name := range names {
		index := slices.IndexFunc(old, func(home *source) bool { return home.name == name })
		if index < 0 {
			entry.homes = append(entry.homes, &source{name: name})
			continue
		}
		entry.homes = append(entry.homes, old[index])
	}
	for _, home := range old {
		if slices.Contains(entry.homes, home) {
			continue
		}
		home.queued, home.request = nil, nil
		for _, account := range entry.accounts {
			delete(account.refusals, home)
		}
		for _, account := range entry.active {
			entry.release(now, home, account.waiting)
		}
	}
}

// SetAccounts forgets what is known of accounts that are no longer limited. Calls
// that wait for a token of such an account are admitted.
func (entry *Entry) SetAccounts(limited func(name string) bool) {
	for name, account := range entry.accounts {
		if limited(name) {
			continue
		}
		for _, ticket := range account.waiting {
			ticket.end(Outcome{Verdict: Admitted})
		}
		account.waiting = nil
		delete(entry.accounts, name)
	}
}

// Ask decides on a call. It calls finish once, at once or from a later method. The
// call waits for at most the given time.
func (entry *Entry) Ask(now time.Duration, name string, wait time.Duration, finish func(Outcome)) {
	current := entry.accounts[name]
	if current == nil {
		current = &account{refusals: map[*source]refusal{}, used: now}
		entry.accounts[name] = current
	}
	current.measure(now)
	if token, ok := current.take(now, entry.hold); ok {
		finish(Outcome{Verdict: Admitted, Token: token})
		return
	}
	ticket := &ticket{account: name, until: now + wait, finish: finish}
	current.waiting = append(current.waiting, ticket)
	if !current.active {
		current.active = true
		entry.active = append(entry.active, current)
	}
	entry.assign(now, ticket)
}

// Return takes back the token of a call that was not run.
func (entry *Entry) Return(now time.Duration, name string, token Token) {
	current := entry.accounts[name]
	if current == nil || token.Home == "" {
		return
	}
	if now-token.Asked < entry.hold {
		current.tokens = append(current.tokens, token)
		entry.serve(now, current)
		return
	}
	for _, home := range entry.homes {
		if home.name == token.Home && len(home.returns) < maxReturns {
			home.returns = append(home.returns, token)
			home.returned = append(home.returned, name)
		}
	}
}

// Requests returns the requests to send now. There is at most one in flight for each
// home.
func (entry *Entry) Requests(now time.Duration) []TakeRequest {
	var requests []TakeRequest
	for _, home := range entry.homes {
		home.queued = slices.DeleteFunc(home.queued, func(ticket *ticket) bool { return ticket.done })
		if home.request != nil || len(home.queued) == 0 {
			continue
		}
		entry.lastID++
		request := &TakeRequest{Home: home.name, ID: entry.lastID}
		for i, token := range home.returns {
			request.Returns = append(request.Returns, ReturnedToken{Account: home.returned[i], Given: token.Given})
		}
		home.returns, home.returned = nil, nil
		for _, ticket := range home.queued {
			index := slices.IndexFunc(request.Asks, func(ask Ask) bool { return ask.Account == ticket.account })
			if index < 0 {
				index = len(request.Asks)
				ahead := int(entry.accounts[ticket.account].use * aheadTime.Seconds())
				request.Asks = append(request.Asks, Ask{Account: ticket.account, Ahead: ahead})
			}
			if ticket.spill {
				request.Asks[index].Spill++
			} else {
				request.Asks[index].Need++
			}
		}
		home.request, home.asked = request, now
		requests = append(requests, *request)
		home.queued = nil
	}
	return requests
}

// Answered handles the answer to a request.
func (entry *Entry) Answered(now time.Duration, name string, id uint64, answers []Answer) {
	home := entry.home(name, id)
	if home == nil || len(answers) != len(home.request.Asks) {
		entry.Failed(now, name, id)
		return
	}
	request := home.request
	home.request = nil
	for i, answer := range answers {
		current := entry.accounts[request.Asks[i].Account]
		if current == nil {
			continue
		}
		for range answer.Tokens {
			current.tokens = append(current.tokens, Token{Home: name, Asked: home.asked, Given: answer.At})
		}
		delete(current.refusals, home)
		if answer.Known && answer.Tokens < request.Asks[i].Need+request.Asks[i].Spill {
			current.refusals[home] = refusal{home: name, asked: home.asked, until: now + answer.Wait, Answer: answer}
		}
		if !answer.Known {
			home.down = max(home.down, now+unleasedTime)
		}
		entry.serve(now, current)
		entry.release(now, home, current.waiting)
	}
}

// Failed handles a request that failed or got no answer.
func (entry *Entry) Failed(now time.Duration, name string, id uint64) {
	home := entry.home(name, id)
	if home == nil {
		return
	}
	home.request = nil
	home.down = now + failedTime
	for _, account := range entry.active {
		entry.release(now, home, account.waiting)
	}
}

// Tick handles the passing of time and returns whether calls are waiting.
func (entry *Entry) Tick(now time.Duration) bool {
	for _, home := range entry.homes {
		if home.request != nil && now-home.asked >= takeTimeout {
			entry.Failed(now, home.name, home.request.ID)
			home.down = now + downTime
		}
	}
	for _, current := range entry.active {
		entry.serve(now, current)
		for _, ticket := range slices.Clone(current.waiting) {
			switch {
			case ticket.done:
			case now >= ticket.until:
				current.refuse(now, ticket)
			case ticket.again > 0 && now >= ticket.again:
				ticket.again, ticket.tried = 0, nil
				entry.assign(now, ticket)
			case ticket.again == 0 && ticket.at != nil && ticket.at.request != nil && now-ticket.at.asked >= hedgeDelay:
				entry.assign(now, ticket)
			}
		}
		current.waiting = slices.DeleteFunc(current.waiting, func(ticket *ticket) bool { return ticket.done })
		current.active = len(current.waiting) > 0
	}
	entry.active = slices.DeleteFunc(entry.active, func(account *account) bool { return !account.active })
	return len(entry.active) > 0
}

// home returns the home for which the request with this id is in flight.
func (entry *Entry) home(name string, id uint64) *source {
	for _, home := range entry.homes {
		if home.name == name && home.request != nil && home.request.ID == id {
			return home
		}
	}
	return nil
}

// serve gives the tokens of an account to the calls that wait longest.
func (entry *Entry) serve(now time.Duration, current *account) {
	for len(current.waiting) > 0 {
		if !current.waiting[0].done {
			token, ok := current.take(now, entry.hold)
			if !ok {
				return
			}
			current.waiting[0].end(Outcome{Verdict: Admitted, Token: token})
		}
		current.waiting = current.waiting[1:]
	}
}

// release lets the calls that wait for a home ask another one.
func (entry *Entry) release(now time.Duration, home *source, tickets []*ticket) {
	for _, ticket := range slices.Clone(tickets) {
		if ticket.at == home && !ticket.done && !slices.Contains(home.queued, ticket) {
			entry.assign(now, ticket)
		}
	}
}

// assign chooses the home that a call asks next: the nearest one that it has not
// asked, that can be reached and that may have tokens.
func (entry *Entry) assign(now time.Duration, ticket *ticket) {
	current := entry.accounts[ticket.account]
	for _, home := range entry.homes {
		late := home.request != nil && now-home.asked >= hedgeDelay
		tried := slices.Contains(ticket.tried, home)
		refusal, refused := current.refusals[home]
		ticket.spill = ticket.spill || refused && (tried || now < refusal.until)
		if tried || now < home.down || late || refused && now < refusal.until {
			continue
		}
		ticket.at = home
		ticket.tried = append(ticket.tried, home)
		home.queued = append(home.queued, ticket)
		return
	}
	for _, home := range ticket.tried {
		if home.request != nil && now >= home.down && current.refusals[home].until <= now {
			// An answer is still due.
			ticket.at = home
			return
		}
	}
	next, latest, ok := current.nextToken(now)
	if !ok {
		// The homes may be about to get their leases.
		ticket.at, ticket.again = nil, now+unleasedTime
		return
	}
	if !ticket.retried && next < ticket.until && latest.Demand < overloaded*latest.Share {
		ticket.at, ticket.again, ticket.retried = nil, max(next, now+1), true
		return
	}
	current.refuse(now, ticket)
}

// refuse ends a call without a token.
func (account *account) refuse(now time.Duration, ticket *ticket) {
	next, latest, ok := account.nextToken(now)
	if !ok {
		ticket.end(Outcome{Verdict: Unknown, RetryAfter: unknownRetry})
		return
	}
	ticket.end(Outcome{Verdict: Refused, RetryAfter: max(next-now, 0), Home: latest.home, Age: now - latest.asked, Share: latest.Share, Demand: latest.Demand})
}

// nextToken returns when a home expects the account's next token, and the latest
// refusal. It returns false if no home has refused within a lease time.
func (account *account) nextToken(now time.Duration) (time.Duration, refusal, bool) {
	next, latest := time.Duration(math.MaxInt64), refusal{asked: -1}
	for _, refusal := range account.refusals {
		if now-refusal.asked >= LeaseTime {
			continue
		}
		next = min(next, refusal.until)
		if refusal.asked > latest.asked || refusal.asked == latest.asked && refusal.home < latest.home {
			latest = refusal
		}
	}
	return next, latest, latest.asked >= 0
}

// take removes the oldest token that has not expired.
func (account *account) take(now, hold time.Duration) (Token, bool) {
	for len(account.tokens) > 0 {
		token := account.tokens[0]
		account.tokens = account.tokens[1:]
		if now-token.Asked < hold {
			return token, true
		}
	}
	return Token{}, false
}

// measure counts a call in the averaged rate.
func (account *account) measure(now time.Duration) {
	account.use *= math.Exp(-(now - account.used).Seconds() / useTime.Seconds())
	account.use += 1 / useTime.Seconds()
	account.used = now
}

func (ticket *ticket) end(outcome Outcome) {
	if !ticket.done {
		ticket.done = true
		ticket.finish(outcome)
	}
}
