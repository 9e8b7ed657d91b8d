package dedup

import "time"

// MaxClaims is the maximum number of claims that a witness holds. A full
// witness abstains.
const MaxClaims = 500_000

// Grade is the kind of a witness's answer.
type Grade int

// Kinds of answer.
const (
	// Granted means that the witness holds the claim for the requesting
	// attempt.
	Granted Grade = iota
	// Held means that an attempt holds the claim. In an answer from Claim, it
	// is an attempt other than the requesting one.
	Held
	// Abstained means that the witness is full or may have lost a claim. A
	// claim may be lost if the key has expired, or if the key may have been
	// issued before the witness started, allowing for MaxClockSkew. The answer
	// does not count towards a majority.
	Abstained
	// Free means that the witness knows of no claim and cannot have forgotten
	// one.
	Free
)

// Attempt identifies one attempt to run a call by its node, the incarnation of
// the node and a number. Only that node decides whether the attempt runs.
type Attempt struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// Answer is a witness's answer. Holder is the attempt that holds the claim, if
// there is one.
type Answer struct {
	Grade  Grade
	Holder Attempt
}

type claim struct {
	holder Attempt
	issued time.Time
}

// Witness holds claims, in memory only. It is not safe for concurrent use.
type Witness struct {
	started time.Time
	claims  map[string]claim
	// sweptAt is the time at which expired claims were last removed.
	sweptAt time.Time
}

// NewWitness returns a witness that has no knowledge of claims made before
// started.
func NewWitness(started time.Time) *Witness {
	return &Witness{started: started, claims: map[string]claim{}, sweptAt: started}
}

// Len returns the number of claims.
func (witness *Witness) Len() int { return len(witness.claims) }

// Claim requests a claim on a key for an attempt. It is idempotent for the same
// attempt.
func (witness *Witness) Claim(now time.Time, key Key, attempt Attempt) Answer {
	answer := witness.Lookup(now, key)
	if answer.Grade == Held && answer.Holder == attempt {
		return Answer{Grade: Granted, Holder: attempt}
	}
	if answer.Grade != Free {
		return answer
	}
	if len(witness.claims) >= MaxClaims {
		return Answer{Grade: Abstained}
	}
	witness.claims[key.id] = claim{holder: attempt, issued: key.issued}
	return Answer{Grade: Granted, Holder: attempt}
}

// Lookup returns what the witness knows about a key, without making a claim.
// The grade of the answer is Held, Abstained or Free.
func (witness *Witness) Lookup(now time.Time, key Key) Answer {
	witness.sweep(now)
	if existing, ok := witness.claims[key.id]; ok {
		return Answer{Grade: Held, Holder: existing.holder}
	}
	mayBeForgotten := key.issued.Before(witness.started.Add(MaxClockSkew))
	if mayBeForgotten || key.Expired(now) {
		return Answer{Grade: Abstained}
	}
	return Answer{Grade: Free}
}

// Release removes the claim of an attempt that has not run and will not run.
func (witness *Witness) Release(key Key, attempt Attempt) {
	if existing, ok := witness.claims[key.id]; ok && existing.holder == attempt {
		delete(witness.claims, key.id)
	}
}

// sweep removes claims on keys that are no longer accepted by any node. It does
// nothing if the last sweep was less than MaxClockSkew ago.
func (witness *Witness) sweep(now time.Time) {
	if now.Sub(witness.sweptAt) < MaxClockSkew {
		return
	}
	witness.sweptAt = now
	for id, existing := range witness.claims {
		if now.Sub(existing.issued) > Window+MaxClockSkew {
			delete(witness.claims, id)
		}
	}
}
