package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// slowLink passes connections on with the bandwidth of a machine's own link.
type slowLink struct {
	listener    net.Listener
	destination string
	// perSecond is in bytes.
	perSecond float64

	lock sync.Mutex
	// free is when the link has carried what it got so far.
	free time.Time
}

func startLink(address, destination string, perSecond float64) (*slowLink, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	link := &slowLink{listener: listener, destination: destination, perSecond: perSecond}
	go link.run()
	return link, nil
}

func (link *slowLink) run() {
	for {
		conn, err := link.listener.Accept()
		if err != nil {
			return
		}
		go link.forward(conn)
	}
}

func (link *slowLink) forward(near net.Conn) {
	far, err := net.Dial("tcp", link.destination)
	if err != nil {
		_ = near.Close()
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { link.copy(far, near, true) })
	copies.Go(func() { link.copy(near, far, false) })
	copies.Wait()
	_, _ = near.Close(), far.Close()
}

// copy forwards one direction, and its end.
func (link *slowLink) copy(to, from net.Conn, slow bool) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && slow {
			link.carry(n)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// carry waits until the link has carried that many bytes.
func (link *slowLink) carry(bytes int) {
	link.lock.Lock()
	if now := time.Now(); link.free.Before(now) {
		link.free = now
	}
	link.free = link.free.Add(time.Duration(float64(bytes) / link.perSecond * float64(time.Second)))
	free := link.free
	link.lock.Unlock()
	time.Sleep(time.Until(free))
}
