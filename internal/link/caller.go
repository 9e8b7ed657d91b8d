package link

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"
)

// Caller keeps one connection to each address it is asked for, for requests.
// It is safe for concurrent use.
type Caller struct {
	ctx     context.Context
	options Options
	lock    sync.Mutex
	conns   map[string]*Conn
	// dials has the addresses that Post is connecting to.
	dials map[string]*dialing
}

// dialing is the state of Post's connecting to one address.
type dialing struct {
	// held has what waits for a connection.
	held []notification
	// open counts the dials in progress, begun is when the latest one began.
	open  int
	begun time.Time
}

// NewCaller returns a caller whose connections end with the context.
func NewCaller(ctx context.Context, options Options) *Caller {
	return &Caller{ctx: ctx, options: options, conns: map[string]*Conn{}, dials: map[string]*dialing{}}
}

// Call sends a request to an address and waits for its answer.
func (caller *Caller) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := caller.conn(ctx, address)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

const (
	// maxHeld bounds the notifications to one address that wait for a
	// connection.
	maxHeld = 32
	// redialAfter is when another dial to the same address begins beside one
	// without an answer: that one may have met a VM that was still starting. It
	// is some round trips between zones.
	redialAfter = 50 * time.Millisecond
	// maxDials bounds the dials to one address at a time.
	maxDials = 6
)

// Post sends a notification without waiting. While there is no connection yet
// the latest ones are held until one is made in the background; they are lost
// if it cannot be made.
func (caller *Caller) Post(ctx context.Context, address, method string, params any) {
	caller.lock.Lock()
	conn, ok := caller.conns[address]
	dial := !ok && caller.hold(address, notification{method: method, params: params})
	caller.lock.Unlock()
	if ok {
		conn.Notify(method, params)
		return
	}
	if !dial {
		return
	}
	connect := func() {
		conn, err := caller.conn(ctx, address)
		for _, next := range caller.dialled(address, err == nil) {
			if err == nil {
				conn.Notify(next.method, next.params)
			}
		}
	}
	if caller.options.Pool.Submit(connect) != nil {
		caller.dialled(address, false)
	}
}

// hold keeps a notification until there is a connection and reports whether a
// dial is to begin. The lock must be held.
func (caller *Caller) hold(address string, next notification) bool {
	dials := caller.dials[address]
	if dials == nil {
		dials = &dialing{}
		caller.dials[address] = dials
	}
	dials.held = append(dials.held, next)
	dials.held = dials.held[max(0, len(dials.held)-maxHeld):]
	now := time.Now()
	if dials.open > 0 && (dials.open >= maxDials || now.Sub(dials.begun) < redialAfter) {
		return false
	}
	dials.open++
	dials.begun = now
	return true
}

// dialled ends one dial and returns what was held, once a connection is made or
// the last dial has failed.
func (caller *Caller) dialled(address string, connected bool) []notification {
	caller.lock.Lock()
	defer caller.lock.Unlock()
	dials := caller.dials[address]
	if dials == nil {
		return nil
	}
	dials.open--
	if !connected && dials.open > 0 {
		return nil
	}
	held := dials.held
	dials.held = nil
	if dials.open == 0 {
		delete(caller.dials, address)
	}
	return held
}

func (caller *Caller) conn(ctx context.Context, address string) (*Conn, error) {
	caller.lock.Lock()
	conn, ok := caller.conns[address]
	caller.lock.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := caller.options.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn = newConn(caller.ctx, raw, callerEnd{caller: caller, address: address}, caller.options)
	caller.lock.Lock()
	defer caller.lock.Unlock()
	if other, ok := caller.conns[address]; ok {
		conn.Close()
		return other, nil
	}
	caller.conns[address] = conn
	return conn, nil
}

func (caller *Caller) forget(address string, conn *Conn) {
	caller.lock.Lock()
	defer caller.lock.Unlock()
	if caller.conns[address] == conn {
		delete(caller.conns, address)
	}
}

// callerEnd is the handler of a caller's connection; nothing is expected to
// come in but answers.
type callerEnd struct {
	caller  *Caller
	address string
}

// Notify implements Handler.
func (callerEnd) Notify(*Conn, string, json.RawMessage) {}

// Call implements Handler.
func (callerEnd) Call(context.Context, *Conn, string, json.RawMessage) (any, error) {
	return nil, errors.New("this end answers no requests")
}

// Closed implements Handler.
func (end callerEnd) Closed(conn *Conn) { end.caller.forget(end.address, conn) }
