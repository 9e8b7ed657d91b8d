package link

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
)

// Caller keeps one connection to each address it is asked for, for requests.
// It is safe for concurrent use.
type Caller struct {
	ctx     context.Context
	options Options
	lock    sync.Mutex
	conns   map[string]*Conn
	// held has what waits for a connection, for the addresses that Post is
	// connecting to.
	held map[string][]notification
}

// NewCaller returns a caller whose connections end with the context.
func NewCaller(ctx context.Context, options Options) *Caller {
	return &Caller{ctx: ctx, options: options, conns: map[string]*Conn{}, held: map[string][]notification{}}
}

// Call sends a request to an address and waits for its answer.
func (caller *Caller) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := caller.conn(ctx, address)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// maxHeld bounds the notifications to one address that wait for a connection.
const maxHeld = 32

// Post sends a notification without waiting. While there is no connection yet
// the latest ones are held until one is made in the background; they are lost
// if it cannot be made.
func (caller *Caller) Post(ctx context.Context, address, method string, params any) {
	caller.lock.Lock()
	conn, ok := caller.conns[address]
	held, begun := caller.held[address]
	if !ok {
		held = append(held, notification{method: method, params: params})
		caller.held[address] = held[max(0, len(held)-maxHeld):]
	}
	caller.lock.Unlock()
	if ok {
		conn.Notify(method, params)
		return
	}
	if begun {
		return
	}
	dial := func() {
		conn, err := caller.conn(ctx, address)
		waiting := caller.release(address)
		for _, next := range waiting {
			if err == nil {
				conn.Notify(next.method, next.params)
			}
		}
	}
	if caller.options.Pool.Submit(dial) != nil {
		caller.release(address)
	}
}

// release returns what was held for an address.
func (caller *Caller) release(address string) []notification {
	caller.lock.Lock()
	defer caller.lock.Unlock()
	held := caller.held[address]
	delete(caller.held, address)
	return held
}

func (caller *Caller) conn(ctx context.Context, address string) (*Conn, error) {
	caller.lock.Lock()
	conn, ok := caller.conns[address]
	caller.lock.Unlock()
	if ok {
		return conn, nil
	}
	dialler := net.Dialer{Timeout: dialTimeout}
	raw, err := dialler.DialContext(ctx, "tcp", address)
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
