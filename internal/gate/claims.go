package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// RPC methods between nodes for keyed calls.
const (
	methodClaim   = "claim"
	methodLookup  = "look"
	methodRelease = "release"
	methodRecall  = "recall"
)

// Limits on claiming a key.
const (
	claimTimeout = 500 * time.Millisecond
	claimTries   = 4
	claimBackoff = 20 * time.Millisecond
)

// Claims ensures that each keyed call runs at most once. A node runs such a
// call only after a majority of the key's witnesses, which are nodes chosen by
// the key, have granted it the claim on the key. The ledger records the calls
// that this node has started, the witness the claims that this node has
// granted. The lock guards all fields below it.
type Claims struct {
	gate *Gate
	pool *ants.Pool
	// client sends requests to other nodes. Gate.Start sets it.
	client *link.Client

	lock sync.Mutex
	// random is the source of the waits between tries.
	random  *rand.Rand
	ledger  *dedup.Ledger
	witness *dedup.Witness
	// placements contains the active sets of nodes that may be witnesses, the
	// current one first. While the set is being changed, the old one is active
	// too, and a claim needs a majority in both.
	placements [][]string
	// linkAddresses maps each known node to its link address.
	linkAddresses map[string]string
}

func newClaims(gate *Gate, deps Deps) *Claims {
	return &Claims{
		gate:          gate,
		pool:          deps.Pool,
		random:        deps.Random,
		ledger:        dedup.NewLedger(deps.Settings.Name, deps.Incarnation),
		witness:       dedup.NewWitness(deps.Started),
		linkAddresses: map[string]string{},
	}
}

// SetNodes updates the link addresses of the nodes.
func (claims *Claims) SetNodes(records []member.Record) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	for _, record := range records {
		claims.linkAddresses[record.Name] = record.Link
	}
}

func (claims *Claims) setWitnesses(config *rsrc.Config) {
	witnesses, _ := config.Witnesses()
	var placements [][]string
	for _, placement := range witnesses.Placements() {
		placements = append(placements, placement.Nodes)
	}
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.placements = placements
}

// serve runs a keyed call at most once and responds with its outcome.
func (claims *Claims) serve(ctx context.Context, request *fasthttp.RequestCtx, keyText string) {
	header := &request.Request.Header
	key, err := dedup.ParseKey(string(header.Peek(proxy.HeaderService)), string(header.Peek(proxy.HeaderCustomer)), keyText)
	if err != nil {
		claims.gate.refuse(request, refusal{status: fasthttp.StatusBadRequest, reason: err.Error()})
		return
	}
	var outcome dedup.Outcome
	for range claimTries {
		waiting := make(chan dedup.Outcome, 1)
		claims.lock.Lock()
		state, attempt, knownOutcome := claims.ledger.Begin(claims.gate.now(), key, contentHash(request), func(outcome dedup.Outcome) { waiting <- outcome })
		claims.lock.Unlock()
		if state == dedup.Start {
			claims.start(ctx, request, key, attempt)
			return
		}
		outcome = knownOutcome
		if state == dedup.Known {
			break
		}
		outcome = awaitOutcome(ctx, waiting)
		if outcome.Kind != dedup.NotRun {
			break
		}
		// The first call was refused, for instance because it was not allowed
		// to queue. It did not run, so this call is tried in its place.
	}
	claims.Respond(request, outcome)
}

// contentHash returns a hash of the method, URI and body. It detects that one
// key is used for two different requests.
func contentHash(request *fasthttp.RequestCtx) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(request.Method())
	_, _ = hash.Write(request.RequestURI())
	_, _ = hash.Write(request.PostBody())
	return hash.Sum64()
}

func awaitOutcome(ctx context.Context, waiting <-chan dedup.Outcome) dedup.Outcome {
	select {
	case outcome := <-waiting:
		return outcome
	case <-ctx.Done():
		return dedup.Outcome{Kind: dedup.Unknown, Reason: "the first call with this key is still running"}
	}
}

// Respond responds with an outcome that was reached without running this call
// here.
func (claims *Claims) Respond(request *fasthttp.RequestCtx, outcome dedup.Outcome) {
	claims.gate.stats.Count(`vp_keyed_replays_total`, 1)
	switch outcome.Kind {
	case dedup.Ran:
		err := request.Response.Read(bufio.NewReader(bytes.NewReader(outcome.Answer)))
		if err != nil {
			proto.Default{}.LocalReply(&request.Response, proto.LocalReply{Status: fasthttp.StatusBadGateway, Outcome: proxy.OutcomeUnknown, Reason: "the recorded answer does not read"})
		}
	case dedup.NotRun:
		status := fasthttp.StatusServiceUnavailable
		if outcome.Reason == dedup.ReasonReused || outcome.Reason == dedup.ReasonFuture {
			status = fasthttp.StatusUnprocessableEntity
		}
		claims.gate.refuse(request, refusal{status: status, reason: outcome.Reason})
	default:
		proto.Default{}.LocalReply(&request.Response, proto.LocalReply{Status: fasthttp.StatusBadGateway, Outcome: proxy.OutcomeUnknown, Reason: outcome.Reason})
	}
}

// start acquires a slot, claims the key and runs the call.
func (claims *Claims) start(ctx context.Context, request *fasthttp.RequestCtx, key dedup.Key, attempt dedup.Attempt) {
	granted, refused := claims.gate.acquireSlot(ctx, &request.Request)
	if refused != nil {
		claims.finish(key, dedup.Outcome{Kind: dedup.NotRun, Reason: refused.reason})
		claims.gate.refuse(request, *refused)
		return
	}
	// A keyed call with a slot continues after its caller disconnects, so that a retry
	// finds its response.
	ctx, end := detach(ctx)
	defer end()
	outcome, attempt, won := claims.claim(ctx, key, attempt)
	if !won {
		claims.gate.returnUnusedSlot()
		claims.finish(key, outcome)
		claims.Respond(request, outcome)
		return
	}
	outcomeOfCall := claims.gate.forward(ctx, granted, request)
	switch outcomeOfCall {
	case proxy.OutcomeRan:
		claims.finish(key, dedup.Outcome{Kind: dedup.Ran, Answer: encodeResponse(&request.Response)})
	case proxy.OutcomeNotRun:
		claims.releaseClaims(key, attempt)
		claims.finish(key, dedup.Outcome{Kind: dedup.NotRun, Reason: string(request.Response.Header.Peek(proxy.HeaderReason))})
	default:
		claims.finish(key, dedup.Outcome{Kind: dedup.Unknown, Reason: string(request.Response.Header.Peek(proxy.HeaderReason))})
	}
}

func (claims *Claims) finish(key dedup.Key, outcome dedup.Outcome) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.ledger.Finish(key, outcome)
}

// claim asks the witnesses until the claim is won or the outcome of another
// attempt is known, at most claimTries times. Before each further try it starts
// a new attempt, releases the claim of a holder that did not run the call, and
// backs off. If the claim was won, it returns the attempt that won it and true,
// otherwise the outcome to report.
func (claims *Claims) claim(ctx context.Context, key dedup.Key, attempt dedup.Attempt) (dedup.Outcome, dedup.Attempt, bool) {
	for try := range claimTries {
		poll := claims.poll(ctx, methodClaim, key, attempt)
		if poll == nil {
			return dedup.Outcome{Kind: dedup.NotRun, Reason: "no witnesses are placed yet"}, attempt, false
		}
		if poll.Won() {
			return dedup.Outcome{}, attempt, true
		}
		attempt = claims.restartAttempt(key, attempt)
		holder, held := poll.Holder()
		if !held {
			return dedup.Outcome{Kind: dedup.NotRun, Reason: "too few witnesses answered"}, attempt, false
		}
		outcome := claims.askHolder(ctx, key, holder)
		if outcome.Kind != dedup.NotRun {
			return outcome, attempt, false
		}
		claims.releaseClaims(key, holder)
		if !claims.backOff(ctx, try) {
			break
		}
	}
	return dedup.Outcome{Kind: dedup.NotRun, Reason: "the key is contended"}, attempt, false
}

// backOff waits for a random time whose upper bound doubles with each try. It
// returns false if the context ends first.
func (claims *Claims) backOff(ctx context.Context, try int) bool {
	claims.lock.Lock()
	bound := int64(claimBackoff << try)
	wait := time.Duration(claims.random.Int64N(bound))
	claims.lock.Unlock()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// restartAttempt permanently abandons the attempt and returns a new one.
func (claims *Claims) restartAttempt(key dedup.Key, attempt dedup.Attempt) dedup.Attempt {
	claims.lock.Lock()
	claims.ledger.Abandon(key)
	claims.lock.Unlock()
	claims.releaseClaims(key, attempt)
	claims.lock.Lock()
	defer claims.lock.Unlock()
	return claims.ledger.NewAttempt(key)
}

// releaseClaims releases an attempt's claims at all witnesses of the key. A
// release message may be lost; the stale claim is then detected and released
// when the key is used again.
func (claims *Claims) releaseClaims(key dedup.Key, attempt dedup.Attempt) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.witness.Release(key, attempt)
	if len(claims.placements) == 0 {
		return
	}
	for _, name := range dedup.NewPoll(key, claims.placements).Witnesses() {
		if address := claims.linkAddresses[name]; name != claims.gate.settings.Name && address != "" {
			claims.client.Post(claims.gate.ctx, address, methodRelease, wire.FromClaim(key, attempt))
		}
	}
}

type vote struct {
	name   string
	answer dedup.Answer
}

// poll asks all witnesses of the key concurrently and returns as soon as the
// answers are decisive, or at the timeout. It returns nil if no witnesses are
// configured.
func (claims *Claims) poll(ctx context.Context, method string, key dedup.Key, attempt dedup.Attempt) *dedup.Poll {
	claims.lock.Lock()
	placed := len(claims.placements) > 0
	poll := dedup.NewPoll(key, claims.placements)
	claims.lock.Unlock()
	if !placed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	names := poll.Witnesses()
	votes := make(chan vote, len(names))
	for _, name := range names {
		askWitness := func() { votes <- vote{name: name, answer: claims.askWitness(ctx, name, method, key, attempt)} }
		if name == claims.gate.settings.Name || claims.pool.Submit(askWitness) != nil {
			askWitness()
		}
	}
	for !poll.Decided() {
		select {
		case vote := <-votes:
			poll.Add(vote.name, vote.answer)
		case <-ctx.Done():
			return poll
		}
	}
	return poll
}

// askWitness returns one witness's answer. A witness that does not respond
// counts as abstaining.
func (claims *Claims) askWitness(ctx context.Context, name, method string, key dedup.Key, attempt dedup.Attempt) dedup.Answer {
	if name == claims.gate.settings.Name {
		return claims.answerAsWitness(method, key, attempt)
	}
	claims.lock.Lock()
	address := claims.linkAddresses[name]
	claims.lock.Unlock()
	var response wire.ClaimAnswer
	err := claims.client.Call(ctx, address, method, wire.FromClaim(key, attempt), &response)
	if address == "" || err != nil {
		return dedup.Answer{Grade: dedup.Abstained}
	}
	return response.Domain()
}

// answerAsWitness returns this node's answer as a witness.
func (claims *Claims) answerAsWitness(method string, key dedup.Key, attempt dedup.Attempt) dedup.Answer {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	if method == methodLookup {
		return claims.witness.Lookup(claims.gate.now(), key)
	}
	return claims.witness.Claim(claims.gate.now(), key, attempt)
}

// LookUp determines the outcome of a key's call without running it. NotRun is
// certain: no attempt has won the key's claim. Without a majority of the
// witnesses the outcome is Unknown.
func (claims *Claims) LookUp(ctx context.Context, key dedup.Key) dedup.Outcome {
	for try := range claimTries {
		poll := claims.poll(ctx, methodLookup, key, dedup.Attempt{})
		if poll != nil && poll.Unclaimed() {
			return dedup.Outcome{Kind: dedup.NotRun}
		}
		if poll == nil {
			break
		}
		holder, held := poll.Holder()
		if !held {
			break
		}
		if outcome := claims.askHolder(ctx, key, holder); outcome.Kind != dedup.NotRun {
			return outcome
		}
		claims.releaseClaims(key, holder)
		if !claims.backOff(ctx, try) {
			break
		}
	}
	return dedup.Outcome{Kind: dedup.Unknown, Reason: "too few witnesses know of the key"}
}

// askHolder asks the node that holds a claim for the outcome of its attempt.
func (claims *Claims) askHolder(ctx context.Context, key dedup.Key, holder dedup.Attempt) dedup.Outcome {
	if holder.Node == claims.gate.settings.Name {
		outcome, _ := claims.resolveLocal(ctx, key, holder)
		return outcome
	}
	claims.lock.Lock()
	address := claims.linkAddresses[holder.Node]
	claims.lock.Unlock()
	var response wire.RecallAnswer
	err := claims.client.Call(ctx, address, methodRecall, wire.FromClaim(key, holder), &response)
	if address == "" || err != nil {
		return dedup.Outcome{Kind: dedup.Unknown, Reason: "the node that claimed the key cannot be asked"}
	}
	return response.Domain()
}

// resolveLocal returns the outcome of an attempt of this node. If the attempt is
// in progress, it waits for the outcome. If the context ends first, it returns
// Unknown and the context's error.
func (claims *Claims) resolveLocal(ctx context.Context, key dedup.Key, attempt dedup.Attempt) (dedup.Outcome, error) {
	waiting := make(chan dedup.Outcome, 1)
	claims.lock.Lock()
	status, outcome := claims.ledger.Resolve(claims.gate.now(), key, attempt, func(outcome dedup.Outcome) { waiting <- outcome })
	claims.lock.Unlock()
	if status != dedup.Pending {
		return outcome, nil
	}
	select {
	case outcome := <-waiting:
		return outcome, nil
	case <-ctx.Done():
		return dedup.Outcome{Kind: dedup.Unknown, Reason: "the call is still running"}, ctx.Err()
	}
}

// HandleCall handles RPC requests of other nodes.
func (claims *Claims) HandleCall(ctx context.Context, method string, params json.RawMessage) (any, error) {
	var request wire.ClaimRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	key, attempt := request.Domain()
	switch method {
	case methodClaim, methodLookup:
		return wire.FromAnswer(claims.answerAsWitness(method, key, attempt)), nil
	case methodRecall:
		outcome, err := claims.resolveLocal(ctx, key, attempt)
		return wire.FromOutcome(outcome), err
	default:
		return nil, trace.NotFound("method %q is unknown", method)
	}
}

// HandleNotification handles RPC notifications of other nodes.
func (claims *Claims) HandleNotification(method string, params json.RawMessage) {
	var request wire.ClaimRequest
	if method != methodRelease || json.Unmarshal(params, &request) != nil {
		claims.gate.stats.Count("vp_unknown_notifications_total", 1)
		return
	}
	key, attempt := request.Domain()
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.witness.Release(key, attempt)
}
