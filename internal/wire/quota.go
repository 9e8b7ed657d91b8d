package wire

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/quota"
)

// LeaseRequest is the encoded form of a home's renewal of its shares. Its JSON keys,
// and those of the other messages about limits, are short because these messages are
// frequent. See quota.Renewal for the fields.
type LeaseRequest struct {
	Holder      string           `json:"h"`
	Incarnation uint64           `json:"i"`
	Sequence    uint64           `json:"q"`
	Applied     uint64           `json:"p,omitempty"`
	Full        bool             `json:"f,omitempty"`
	Release     bool             `json:"x,omitempty"`
	Statements  []LeaseStatement `json:"a,omitempty"`
}

// LeaseStatement is the encoded form of quota.Statement.
type LeaseStatement struct {
	Account string  `json:"n"`
	Rate    float64 `json:"r,omitempty"`
	Burst   float64 `json:"b,omitempty"`
	Demand  float64 `json:"d,omitempty"`
}

// LeaseAnswer is the encoded form of a grant. If the control VM is not the leader,
// Leader is the address of the leader, if known, and Refused is true.
type LeaseAnswer struct {
	Refused  bool         `json:"x,omitempty"`
	Leader   string       `json:"l,omitempty"`
	Sequence uint64       `json:"q,omitempty"`
	NeedFull bool         `json:"f,omitempty"`
	Again    int64        `json:"g,omitempty"`
	Shares   []LeaseShare `json:"a,omitempty"`
}

// LeaseShare is the encoded form of quota.Share.
type LeaseShare struct {
	Account string  `json:"n"`
	Rate    float64 `json:"r,omitempty"`
	Burst   float64 `json:"b,omitempty"`
	Tokens  float64 `json:"t,omitempty"`
}

// TakeRequest is the encoded form of an entry's request for tokens.
type TakeRequest struct {
	Asks    []TakeAsk    `json:"a"`
	Returns []TakeReturn `json:"r,omitempty"`
}

// TakeAsk is the encoded form of quota.Ask.
type TakeAsk struct {
	Account string `json:"n"`
	Need    int    `json:"c,omitempty"`
	Spill   int    `json:"o,omitempty"`
	Ahead   int    `json:"h,omitempty"`
}

// TakeReturn is the encoded form of quota.ReturnedToken. Given is in nanoseconds.
type TakeReturn struct {
	Account string `json:"n"`
	Given   int64  `json:"g,omitempty"`
}

// TakeAnswer is the encoded form of a home's answers, in the order of the asks. At is
// the time of the home's clock in nanoseconds.
type TakeAnswer struct {
	At      int64       `json:"t,omitempty"`
	Answers []TakeGiven `json:"a"`
}

// TakeGiven is the encoded form of quota.Answer. Wait is in microseconds.
type TakeGiven struct {
	Tokens  int     `json:"t,omitempty"`
	Unknown bool    `json:"u,omitempty"`
	Wait    int64   `json:"w,omitempty"`
	Share   float64 `json:"s,omitempty"`
	Demand  float64 `json:"d,omitempty"`
}

// FromRenewal encodes a renewal.
func FromRenewal(renewal quota.Renewal) LeaseRequest {
	request := LeaseRequest{Holder: renewal.Holder, Incarnation: renewal.Incarnation, Sequence: renewal.Sequence, Applied: renewal.Applied, Full: renewal.Full, Release: renewal.Release}
	for _, statement := range renewal.Statements {
		request.Statements = append(request.Statements, LeaseStatement{Account: statement.Account, Rate: statement.Share.Rate, Burst: statement.Share.Burst, Demand: statement.Demand})
	}
	return request
}

// Domain decodes a renewal.
func (request LeaseRequest) Domain() quota.Renewal {
	renewal := quota.Renewal{Holder: request.Holder, Incarnation: request.Incarnation, Sequence: request.Sequence, Applied: request.Applied, Full: request.Full, Release: request.Release}
	for _, statement := range request.Statements {
		renewal.Statements = append(renewal.Statements, quota.Statement{Account: statement.Account, Share: quota.Limit{Rate: statement.Rate, Burst: statement.Burst}, Demand: statement.Demand})
	}
	return renewal
}

// FromGrant encodes a grant.
func FromGrant(grant quota.Grant) LeaseAnswer {
	answer := LeaseAnswer{Sequence: grant.Sequence, NeedFull: grant.NeedFull, Again: grant.Again.Milliseconds()}
	for _, share := range grant.Shares {
		answer.Shares = append(answer.Shares, LeaseShare{Account: share.Account, Rate: share.Limit.Rate, Burst: share.Limit.Burst, Tokens: share.Tokens})
	}
	return answer
}

// Domain decodes a grant.
func (answer LeaseAnswer) Domain() quota.Grant {
	grant := quota.Grant{Sequence: answer.Sequence, NeedFull: answer.NeedFull, Again: time.Duration(answer.Again) * time.Millisecond}
	for _, share := range answer.Shares {
		grant.Shares = append(grant.Shares, quota.Share{Account: share.Account, Limit: quota.Limit{Rate: share.Rate, Burst: share.Burst}, Tokens: share.Tokens})
	}
	return grant
}

// FromTakeRequest encodes a request for tokens.
func FromTakeRequest(take quota.TakeRequest) TakeRequest {
	var request TakeRequest
	for _, ask := range take.Asks {
		request.Asks = append(request.Asks, TakeAsk(ask))
	}
	for _, returned := range take.Returns {
		request.Returns = append(request.Returns, TakeReturn{Account: returned.Account, Given: int64(returned.Given)})
	}
	return request
}

// Domain decodes a request for tokens.
func (request TakeRequest) Domain() quota.TakeRequest {
	var take quota.TakeRequest
	for _, ask := range request.Asks {
		take.Asks = append(take.Asks, quota.Ask(ask))
	}
	for _, returned := range request.Returns {
		take.Returns = append(take.Returns, quota.ReturnedToken{Account: returned.Account, Given: time.Duration(returned.Given)})
	}
	return take
}

// FromTakeAnswers encodes a home's answers.
func FromTakeAnswers(answers []quota.Answer) TakeAnswer {
	encoded := TakeAnswer{Answers: make([]TakeGiven, 0, len(answers))}
	for _, answer := range answers {
		encoded.At = max(encoded.At, int64(answer.At))
		encoded.Answers = append(encoded.Answers, TakeGiven{Tokens: answer.Tokens, Unknown: !answer.Known, Wait: answer.Wait.Microseconds(), Share: answer.Share, Demand: answer.Demand})
	}
	return encoded
}

// Domain decodes a home's answers.
func (answer TakeAnswer) Domain() []quota.Answer {
	answers := make([]quota.Answer, 0, len(answer.Answers))
	for _, given := range answer.Answers {
		answers = append(answers, quota.Answer{Tokens: given.Tokens, At: time.Duration(answer.At), Known: !given.Unknown, Wait: time.Duration(given.Wait) * time.Microsecond, Share: given.Share, Demand: given.Demand})
	}
	return answers
}
