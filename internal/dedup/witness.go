package dedup

import "time"

// MaxClaims bounds a witness's memory; beyond it the witness abstains.
const MaxClaims = 500_000

// Grade is a witness's answer to a claim.
type Grade int

// The answers of a witness.
const (
	// Granted means that the claim is held for the asking attempt.
	Granted Grade = iota
	// Held means that another attempt has the claim.
	Held
	// Abstained means that the witness may have forgotten, or is full; its
	// answer counts for nothing.
	Abstained
	// Free means that the witness knows of no claim and would have kept one.
	Free
)

// Attempt names one try to run a call: the node, its start and a number.
// Its node alone decides whether it runs.
type Attempt struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// Answer is what a witness says, with the attempt that holds the claim.
type Answer struct {
	Grade  Grade
	Holder Attempt
}

type claim struct {
	holder Attempt
	issued time.Time
}

// Witness holds claims in memory only. It is not safe for concurrent use.
type Witness struct {
	started time.Time
	claims  map[string]claim
	// swept is when expired claims were last dropped.
	sweptAt time.Time
}

// NewWitness returns a witness that remembers nothing from before started.
func NewWitness(started time.Time) *Witness {
	return &Witness{started: started, claims: map[string]claim{}, sweptAt: started}
}

// Len returns the number of claims.
func (witness *Witness) Len() int { return len(witness.claims) }

// Claim asks for a key on behalf of an attempt. Asking again with the same
// attempt gives the same answer.
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

// Lookup tells who holds a key without asking for it.
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

// Release gives a claim back whose attempt did not and will not run.
func (witness *Witness) Release(key Key, attempt Attempt) {
	if existing, ok := witness.claims[key.id]; ok && existing.holder == attempt {
		delete(witness.claims, key.id)
	}
}

// sweep drops claims on keys that nobody accepts any more.
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
