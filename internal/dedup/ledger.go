package dedup

import "time"

// Limits of a ledger.
const (
	// MaxEntries is the maximum number of recorded calls. A full ledger refuses
	// calls with new keys.
	MaxEntries = 100_000
	// MaxAnswerBytes is the maximum total size of the answers. Beyond it, the
	// oldest answers are dropped.
	MaxAnswerBytes = 64 << 20
)

// Kind describes what is known about the execution of a call.
type Kind int

// Kinds of outcome.
const (
	// NotRun means that the upstream certainly did not receive the call and
	// will not receive it.
	NotRun Kind = iota
	// Ran means that the call ran and its answer is available.
	Ran
	// Unknown means that the call may have run, but no answer is available.
	Unknown
)

// Reasons for refusals that an immediate retry of the same request would meet
// again.
const (
	ReasonReused = "the key was used with another request"
	ReasonFuture = "the key's time is in the future"
)

// Outcome is the result of a call with an idempotency key.
type Outcome struct {
	Kind Kind
	// Answer is the encoded answer of a call that ran.
	Answer []byte
	// Reason explains an outcome without an answer.
	Reason string
}

// Status tells the code that called Begin or Resolve how to proceed.
type Status int

// Results of Begin and Resolve. Resolve never returns Start.
const (
	// Start means that the node must claim the key, run the call and then call
	// Finish.
	Start Status = iota
	// Pending means that the notify function will be called with the outcome.
	Pending
	// Known means that the outcome is returned.
	Known
)

// entry is the record of one call.
type entry struct {
	key         Key
	requestHash uint64
	attempt     Attempt
	// finished is false while the key is being claimed or the call is running.
	finished bool
	// abandoned is true from Abandon until NewAttempt.
	abandoned bool
	outcome   Outcome
	waiters   []func(Outcome)
}

// Ledger records the calls with idempotency keys that one node has started. It
// is not safe for concurrent use.
type Ledger struct {
	node        string
	incarnation uint64
	entries     map[string]*entry
	// finished lists the finished entries in the order in which they finished.
	finished []*entry
	// answerBytes is the total size of the answers in finished.
	answerBytes       int
	lastAttemptNumber uint64
}

// NewLedger returns an empty ledger for a node that has just started.
func NewLedger(node string, incarnation uint64) *Ledger {
	return &Ledger{node: node, incarnation: incarnation, entries: map[string]*entry{}}
}

// Begin looks up a call and starts an attempt if the key is new. requestHash is
// a hash of the request; a key must not be reused with a different request. If a
// call with the key is in progress, notify is called with its outcome.
func (ledger *Ledger) Begin(now time.Time, key Key, requestHash uint64, notify func(Outcome)) (Status, Attempt, Outcome) {
	ledger.sweep(now)
	if existing, ok := ledger.entries[key.id]; ok {
		if existing.requestHash != requestHash {
			return Known, Attempt{}, Outcome{Kind: NotRun, Reason: ReasonReused}
		}
		status, outcome := existing.outcomeOrNotify(notify)
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
	ledger.lastAttemptNumber++
	attempt := Attempt{Node: ledger.node, Incarnation: ledger.incarnation, Number: ledger.lastAttemptNumber}
	ledger.entries[key.id] = &entry{key: key, requestHash: requestHash, attempt: attempt}
	return Start, attempt, Outcome{}
}

// outcomeOrNotify returns the outcome of a finished call. For an unfinished
// call, it registers notify and returns Pending.
func (entry *entry) outcomeOrNotify(notify func(Outcome)) (Status, Outcome) {
	if entry.finished {
		return Known, entry.outcome
	}
	entry.waiters = append(entry.waiters, notify)
	return Pending, Outcome{}
}

// Abandon gives up the current attempt at an unfinished call; that attempt
// never runs. Registered notify functions stay registered.
func (ledger *Ledger) Abandon(key Key) {
	if existing, ok := ledger.entries[key.id]; ok {
		existing.abandoned = true
	}
}

// NewAttempt starts another attempt after Abandon.
func (ledger *Ledger) NewAttempt(key Key) Attempt {
	existing, ok := ledger.entries[key.id]
	if !ok {
		return Attempt{}
	}
	ledger.lastAttemptNumber++
	existing.abandoned = false
	existing.attempt.Number = ledger.lastAttemptNumber
	return existing.attempt
}

// Resolve reports the outcome of one of this node's attempts to another node
// that has found the attempt's claim at a witness. NotRun means that the
// attempt has not run and never will. If the attempt is in progress, notify is
// called with its outcome.
func (ledger *Ledger) Resolve(now time.Time, key Key, attempt Attempt, notify func(Outcome)) (Status, Outcome) {
	ledger.sweep(now)
	if attempt.Node != ledger.node || attempt.Incarnation != ledger.incarnation {
		// The attempt may have run before the restart, whatever the ledger now
		// knows about the key.
		return Known, Outcome{Kind: Unknown, Reason: "the node that held the claim has restarted"}
	}
	notRun := Outcome{Kind: NotRun, Reason: "the attempt was given up"}
	existing, ok := ledger.entries[key.id]
	switch {
	case ok && !existing.finished && (existing.abandoned || existing.attempt != attempt):
		return Known, notRun
	case ok:
		return existing.outcomeOrNotify(notify)
	case key.Expired(now):
		return Known, Outcome{Kind: Unknown, Reason: "the key is older than the deduplication window"}
	}
	return Known, notRun
}

// Finish records the outcome of a started call and passes it to the registered
// notify functions. A call that did not run is removed, so that the key can be
// used again.
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
		ledger.answerBytes += len(outcome.Answer)
		ledger.dropAnswers()
	}
	for _, notify := range waiters {
		notify(outcome)
	}
}

// dropAnswers drops the oldest answers while their total size exceeds
// MaxAnswerBytes. The fact that a call ran is kept for the whole window.
func (ledger *Ledger) dropAnswers() {
	for i := 0; ledger.answerBytes > MaxAnswerBytes && i < len(ledger.finished); i++ {
		old := ledger.finished[i]
		if old.outcome.Kind != Ran {
			continue
		}
		ledger.answerBytes -= len(old.outcome.Answer)
		old.outcome = Outcome{Kind: Unknown, Reason: "the call ran, its answer is no longer held"}
	}
}

// sweep removes finished calls, starting with the one that finished first. It
// stops at the first call whose key may still be accepted by some node.
func (ledger *Ledger) sweep(now time.Time) {
	for len(ledger.finished) > 0 {
		oldest := ledger.finished[0]
		if now.Sub(oldest.key.issued) <= Window+MaxClockSkew {
			return
		}
		ledger.answerBytes -= len(oldest.outcome.Answer)
		delete(ledger.entries, oldest.key.id)
		ledger.finished = ledger.finished[1:]
	}
}
