package wire

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
)

// Attempt is the encoded form of an attempt to run a call with an idempotency
// key.
type Attempt struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
}

// ClaimRequest asks a witness to hold, look up or release a claim on an
// idempotency key, or asks the holder of a claim for the outcome of its attempt.
// The RPC method determines which. A witness is a node that stores claims; a
// claim reserves the key for one attempt, so that the call runs at most once.
type ClaimRequest struct {
	Key     string    `json:"key"`
	Issued  time.Time `json:"issued"`
	Attempt Attempt   `json:"attempt"`
}

// ClaimAnswer is the encoded form of a witness's answer. Grade is the numeric
// value of a dedup.Grade. Holder is the attempt that holds the claim.
type ClaimAnswer struct {
	Grade  int     `json:"grade"`
	Holder Attempt `json:"holder"`
}

// RecallAnswer is the encoded form of the outcome of an attempt. Kind is the
// numeric value of a dedup.Kind.
type RecallAnswer struct {
	Kind   int    `json:"kind"`
	Answer []byte `json:"answer,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// FromClaim returns a request about an attempt to run the call with the given
// key.
func FromClaim(key dedup.Key, attempt dedup.Attempt) ClaimRequest {
	return ClaimRequest{Key: key.ID(), Issued: key.Issued(), Attempt: Attempt(attempt)}
}

// Domain returns the key and the attempt as domain types.
func (request ClaimRequest) Domain() (dedup.Key, dedup.Attempt) {
	return dedup.RestoreKey(request.Key, request.Issued), dedup.Attempt(request.Attempt)
}

// FromAnswer returns the encoded form of a witness's answer.
func FromAnswer(answer dedup.Answer) ClaimAnswer {
	return ClaimAnswer{Grade: int(answer.Grade), Holder: Attempt(answer.Holder)}
}

// Domain converts the answer to the domain type.
func (answer ClaimAnswer) Domain() dedup.Answer {
	return dedup.Answer{Grade: dedup.Grade(answer.Grade), Holder: dedup.Attempt(answer.Holder)}
}

// FromOutcome returns the encoded form of an outcome.
func FromOutcome(outcome dedup.Outcome) RecallAnswer {
	return RecallAnswer{Kind: int(outcome.Kind), Answer: outcome.Answer, Reason: outcome.Reason}
}

// Domain converts the outcome to the domain type.
func (answer RecallAnswer) Domain() dedup.Outcome {
	return dedup.Outcome{Kind: dedup.Kind(answer.Kind), Answer: answer.Answer, Reason: answer.Reason}
}

// Withdrawal is the message of an entry node that stops to a gate. It names the calls that
// the gate is to refuse if they wait for a slot.
type Withdrawal struct {
	Exchanges []string `json:"exchanges"`
}
