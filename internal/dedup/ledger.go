package dedup

import "time"

// Bounds of a ledger.
const (
	MaxEntries     = 100_000
	MaxAnswerBytes = 64 << 20
)

// Kind tells what is known of a call.
type Kind int

// The kinds of outcome.
const (
	// NotRun is certain: the upstream did not and will not see the call.
	NotRun Kind = iota
	// Ran means that the answer is at hand.
	Ran
	// Unknown means that the call may have run and its answer is lost.
	Unknown
)

// Reasons of refusals that sending again does not change.
const (
	ReasonReused = "the key was used with another request"
	ReasonFuture = "the key's time is in the future"
)

// Outcome is how a keyed call ended.
type Outcome struct {
	Kind Kind
	// Answer is the encoded answer of a call that ran.
	Answer []byte
	// Reason explains an outcome without an answer.
	Reason string
}

// BeginStatus says what the owner has to do about a call.
type BeginStatus int

// The ways a call may begin.
const (
	// Start means that the owner claims the key, runs the call and calls
	// Finish.
	Start BeginStatus = iota
	// Pending means that the wait function will be called with the outcome.
	Pending
	// Known means that the outcome is returned.
	Known
)

type entry struct {
	key     Key
	content uint64
	attempt Attempt
	// finished is false while the call is claimed or runs.
	finished bool
	// lost is true after the attempt was given up and before the next one.
	abandoned bool
	outcome   Outcome
	waiters   []func(Outcome)
}

// Ledger is one node's memory of the keyed calls that it has run. It is not
// safe for concurrent use.
type Ledger struct {
	node        string
	incarnation uint64
	entries     map[string]*entry
	// finished lists entries in the order in which they ended.
	finished   []*entry
	bytes      int
	lastNumber uint64
}

// NewLedger returns the empty ledger of a node that has just started.
func NewLedger(node string, incarnation uint64) *Ledger {
	return &Ledger{node: node, incarnation: incarnation, entries: map[string]*entry{}}
}

// Begin looks a call up. Content is a hash of what the caller sent; a key
// must not come back with other content.
func (ledger *Ledger) Begin(now time.Time, key Key, content uint64, notify func(Outcome)) (BeginStatus, Attempt, Outcome) {
	ledger.sweep(now)
	if existing, ok := ledger.entries[key.id]; ok {
		if existing.content != content {
			return Known, Attempt{}, Outcome{Kind: NotRun, Reason: ReasonReused}
		}
		status, outcome := existing.await(notify)
		return status, existing.attempt, outcome
	}
	switch {
	case key.FromFuture(now):
		return Known, Attempt{}, Outcome{Kind: NotRun, Reason: ReasonFuture}
	case key.Expired(now):
		return Known, Attempt{}, Outcome{Kind: Unknown, Reason: "the key is older than the deduplication window"}
	case len(ledger.entries) >= MaxEntries:
		return Known, Attempt{}, Outcome{Kind: NotRun, Reason: "full"}
	}
	ledger.lastNumber++
	attempt := Attempt{Node: ledger.node, Incarnation: ledger.incarnation, Number: ledger.lastNumber}
	ledger.entries[key.id] = &entry{key: key, content: content, attempt: attempt}
	return Start, attempt, Outcome{}
}

func (entry *entry) await(notify func(Outcome)) (BeginStatus, Outcome) {
	if entry.finished {
		return Known, entry.outcome
	}
	entry.waiters = append(entry.waiters, notify)
	return Pending, Outcome{}
}

// Abandon gives the present attempt at an unfinished call up: it never runs. Those
// that wait go on waiting.
func (ledger *Ledger) Abandon(key Key) {
	if existing, ok := ledger.entries[key.id]; ok {
		existing.abandoned = true
	}
}

// NewAttempt starts another attempt after Lost.
func (ledger *Ledger) NewAttempt(key Key) Attempt {
	existing, ok := ledger.entries[key.id]
	if !ok {
		return Attempt{}
	}
	ledger.lastNumber++
	existing.abandoned = false
	existing.attempt.Number = ledger.lastNumber
	return existing.attempt
}

// Resolve answers another node that found this node's claim on a key. NotRun
// means that the named attempt has not run and never will.
func (ledger *Ledger) Resolve(now time.Time, key Key, attempt Attempt, notify func(Outcome)) (BeginStatus, Outcome) {
	ledger.sweep(now)
	if attempt.Node != ledger.node || attempt.Incarnation != ledger.incarnation {
		// Whatever is known of the key now, that attempt may have run.
		return Known, Outcome{Kind: Unknown, Reason: "the node that held the claim has restarted"}
	}
	notRun := Outcome{Kind: NotRun, Reason: "the attempt was given up"}
	existing, ok := ledger.entries[key.id]
	switch {
	case ok && !existing.finished && (existing.abandoned || existing.attempt != attempt):
		return Known, notRun
	case ok:
		return existing.await(notify)
	case key.Expired(now):
		return Known, Outcome{Kind: Unknown, Reason: "the key is older than the deduplication window"}
	}
	return Known, notRun
}

// Finish records how a started call ended and tells those that wait. A call
// that did not run is forgotten, so that the key may be used again.
func (ledger *Ledger) Finish(key Key, outcome Outcome) {
	existing, ok := ledger.entries[key.id]
	if !ok || existing.finished {
		return
	}
	waiters := existing.waiters
	existing.waiters = nil
	if outcome.Kind == NotRun {
		delete(ledger.entries, key.id)
	} else {
		existing.finished, existing.outcome = true, outcome
		ledger.finished = append(ledger.finished, existing)
		ledger.bytes += len(outcome.Answer)
		ledger.dropAnswers()
	}
	for _, notify := range waiters {
		notify(outcome)
	}
}

// dropAnswers keeps the answers within bounds; the fact that a call ran is
// kept for the whole window.
func (ledger *Ledger) dropAnswers() {
	for i := 0; ledger.bytes > MaxAnswerBytes && i < len(ledger.finished); i++ {
		old := ledger.finished[i]
		if old.outcome.Kind != Ran {
			continue
		}
		ledger.bytes -= len(old.outcome.Answer)
		old.outcome = Outcome{Kind: Unknown, Reason: "the call ran, its answer is no longer held"}
	}
}

// sweep forgets calls whose keys nobody accepts any more.
func (ledger *Ledger) sweep(now time.Time) {
	for len(ledger.finished) > 0 {
		oldest := ledger.finished[0]
		if now.Sub(oldest.key.issued) <= Window+MaxClockSkew {
			return
		}
		ledger.bytes -= len(oldest.outcome.Answer)
		delete(ledger.entries, oldest.key.id)
		ledger.finished = ledger.finished[1:]
	}
}
