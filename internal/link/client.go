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
type Client struct {
	ctx     context.Context
	options Options
	lock    sync.Mutex
	conns   map[string]*Conn
	// dials has the addresses that Post is connecting to.
	dials map[string]*dialState
}

// dialing is the state of Post's connecting to one address.
type dialState struct {
	// held has what waits for a connection.
	queued []notification
	// open counts the dials in progress, begun is when the latest one began.
	inFlight int
	lastDial time.Time
}

// NewCaller returns a caller whose connections end with the context.
func NewClient(ctx context.Context, options Options) *Client {
	return &Client{ctx: ctx, options: options, conns: map[string]*Conn{}, dials: map[string]*dialState{}}
}

// Call sends a request to an address and waits for its answer.
func (client *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := client.conn(ctx, address)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

const (
	// maxHeld bounds the notifications to one address that wait for a
	// connection.
	maxQueued = 32
	// redialAfter is when another dial to the same address begins beside one
	// without an answer: that one may have met a VM that was still starting. It
	// is some round trips between zones.
	hedgedDialDelay = 50 * time.Millisecond
	// maxDials bounds the dials to one address at a time.
	maxConcurrentDials = 6
)

// Post sends a notification without waiting. While there is no connection yet
// the latest ones are held until one is made in the background; they are lost
// if it cannot be made.
func (client *Client) Post(ctx context.Context, address, method string, params any) {
	client.lock.Lock()
	conn, ok := client.conns[address]
	dial := !ok && client.enqueue(address, notification{method: method, params: params})
	client.lock.Unlock()
	if ok {
		conn.Notify(method, params)
		return
	}
	if !dial {
		return
	}
	connect := func() {
		conn, err := client.conn(ctx, address)
		for _, next := range client.finishDial(address, err == nil) {
			if err == nil {
				conn.Notify(next.method, next.params)
			}
		}
	}
	if client.options.Pool.Submit(connect) != nil {
		client.finishDial(address, false)
	}
}

// hold keeps a notification until there is a connection and reports whether a
// dial is to begin. The lock must be held.
func (client *Client) enqueue(address string, next notification) bool {
	dials := client.dials[address]
	if dials == nil {
		dials = &dialState{}
		client.dials[address] = dials
	}
	dials.queued = append(dials.queued, next)
	dials.queued = dials.queued[max(0, len(dials.queued)-maxQueued):]
	now := time.Now()
	if dials.inFlight > 0 && (dials.inFlight >= maxConcurrentDials || now.Sub(dials.lastDial) < hedgedDialDelay) {
		return false
	}
	dials.inFlight++
	dials.lastDial = now
	return true
}

// dialled ends one dial and returns what was held, once a connection is made or
// the last dial has failed.
func (client *Client) finishDial(address string, connected bool) []notification {
	client.lock.Lock()
	defer client.lock.Unlock()
	dials := client.dials[address]
	if dials == nil {
		return nil
	}
	dials.inFlight--
	if !connected && dials.inFlight > 0 {
		return nil
	}
	queued := dials.queued
	dials.queued = nil
	if dials.inFlight == 0 {
		delete(client.dials, address)
	}
	return queued
}

func (client *Client) conn(ctx context.Context, address string) (*Conn, error) {
	client.lock.Lock()
	conn, ok := client.conns[address]
	client.lock.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := client.options.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn = newConn(client.ctx, raw, clientHandler{client: client, address: address}, client.options)
	client.lock.Lock()
	defer client.lock.Unlock()
	if other, ok := client.conns[address]; ok {
		conn.Close()
		return other, nil
	}
	client.conns[address] = conn
	return conn, nil
}

func (client *Client) remove(address string, conn *Conn) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.conns[address] == conn {
		delete(client.conns, address)
	}
}

// callerEnd is the handler of a caller's connection; nothing is expected to
// come in but answers.
type clientHandler struct {
	client  *Client
	address string
}

// Notify implements Handler.
func (clientHandler) Notify(*Conn, string, json.RawMessage) {}

// Call implements Handler.
func (clientHandler) Call(context.Context, *Conn, string, json.RawMessage) (any, error) {
	return nil, errors.New("this end answers no requests")
}

// Closed implements Handler.
func (handler clientHandler) Closed(conn *Conn) { handler.client.remove(handler.address, conn) }
