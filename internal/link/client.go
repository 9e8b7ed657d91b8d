package link

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"
)

// Client sends requests and notifications. It opens one connection per address
// and reuses it until it is closed or lost. It is safe for concurrent use.
type Client struct {
	ctx     context.Context
	options Options
	// lock guards the fields below.
	lock  sync.Mutex
	conns map[string]*Conn
	// dials holds the state of the addresses that Post is connecting to.
	dials map[string]*dialState
}

// dialState is the state of Post's connection attempts to one address.
type dialState struct {
	// queued holds the notifications that wait for a connection.
	queued []notification
	// inFlight is the number of dials in progress, and lastDial is the time at
	// which the latest one began.
	inFlight int
	lastDial time.Time
}

// NewClient returns a client whose connections are closed when the context ends.
func NewClient(ctx context.Context, options Options) *Client {
	return &Client{ctx: ctx, options: options, conns: map[string]*Conn{}, dials: map[string]*dialState{}}
}

// Call sends a request to an address and waits for the response.
func (client *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := client.conn(ctx, address)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

const (
	// maxQueued limits the notifications to one address that wait for a
	// connection. If there are more, the oldest ones are dropped.
	maxQueued = 32
	// hedgedDialDelay is how long a dial stays unanswered before Post may begin
	// another dial to the same address in parallel, since the SYN of the first
	// dial may have been lost at a VM that was still starting. The delay is
	// several round trips between zones.
	hedgedDialDelay = 50 * time.Millisecond
	// maxConcurrentDials limits the dials in progress to one address.
	maxConcurrentDials = 6
)

// Post sends a notification without waiting. If there is no connection yet, it
// dials in the background and queues the notification. Only the latest maxQueued
// notifications are kept, and they are lost if the dials fail. The context limits
// only the dial; the connection lasts as long as the client's context.
func (client *Client) Post(ctx context.Context, address, method string, params any) {
	client.lock.Lock()
	conn, ok := client.conns[address]
	mustDial := !ok && client.enqueue(address, notification{method: method, params: params})
	client.lock.Unlock()
	if ok {
		conn.Notify(method, params)
		return
	}
	if !mustDial {
		return
	}
	connect := func() {
		conn, err := client.conn(ctx, address)
		// If the last dial has failed, the queued notifications are lost.
		for _, next := range client.finishDial(address, err == nil) {
			if err == nil {
				conn.Notify(next.method, next.params)
			}
		}
	}
	if client.options.Pool.Submit(connect) != nil {
		// Without a worker there is no dial, which counts as a failed one.
		client.finishDial(address, false)
	}
}

// enqueue queues a notification until there is a connection, and reports whether
// the caller must begin a dial. The lock must be held.
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

// finishDial records the end of one dial. If the dial has connected or no other
// dial is in progress, it returns the queued notifications and clears the queue;
// the caller sends them, or drops them if the dial has failed. Otherwise it
// returns nil.
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

// conn returns the connection to an address, and dials if there is none. If two
// calls dial at the same time, the connection that is established first is kept
// and the other one is closed.
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
	conn, err = newConn(client.ctx, raw, clientHandler{client: client, address: address}, client.options)
	if err != nil {
		return nil, err
	}
	client.lock.Lock()
	defer client.lock.Unlock()
	if other, ok := client.conns[address]; ok {
		conn.Close()
		return other, nil
	}
	client.conns[address] = conn
	return conn, nil
}

// remove deletes a closed connection unless another one has replaced it.
func (client *Client) remove(address string, conn *Conn) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.conns[address] == conn {
		delete(client.conns, address)
	}
}

// clientHandler is the Handler of a client's connections. The peer is expected to
// send only responses.
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
