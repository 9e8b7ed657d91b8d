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
	// dialling holds the addresses that Post is connecting to.
	dialling map[string]bool
}

// NewCaller returns a caller whose connections end with the context.
func NewCaller(ctx context.Context, options Options) *Caller {
	return &Caller{ctx: ctx, options: options, conns: map[string]*Conn{}, dialling: map[string]bool{}}
}

// Call sends a request to an address and waits for its answer.
func (caller *Caller) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := caller.conn(ctx, address)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// Post sends a notification without waiting. It is lost when there is no
// connection yet; one is then made in the background.
func (caller *Caller) Post(ctx context.Context, address, method string, params any) {
	caller.lock.Lock()
	conn, ok := caller.conns[address]
	begin := !ok && !caller.dialling[address]
	if begin {
		caller.dialling[address] = true
	}
	caller.lock.Unlock()
	if ok {
		conn.Notify(method, params)
		return
	}
	if !begin {
		return
	}
	dial := func() {
		_, _ = caller.conn(ctx, address)
		caller.lock.Lock()
		defer caller.lock.Unlock()
		delete(caller.dialling, address)
	}
	if caller.options.Pool.Submit(dial) != nil {
		caller.lock.Lock()
		defer caller.lock.Unlock()
		delete(caller.dialling, address)
	}
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
