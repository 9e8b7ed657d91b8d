package proxy

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

// maxInlineBodyBytes is the largest request body that is written before the
// response is read. A body of this size fits into the socket buffers, so that the
// write cannot block on a peer that responds before it has read the request.
const maxInlineBodyBytes = 4 << 10

// requestWrite is the write of a request, which may go on while the response is read.
type requestWrite struct {
	// ended is closed when the write has ended. err is its result and is read only then.
	ended chan struct{}
	err   error
}

// alreadyEnded is the channel of writes that end before the response is read.
var alreadyEnded = func() chan struct{} {
	ended := make(chan struct{})
	close(ended)
	return ended
}()

// startWrite writes a request. A request whose body is larger than maxInlineBodyBytes is
// written by a separate goroutine while the response is read, and so is one that
// announces its body.
func (conn *conn) startWrite(request *fasthttp.Request) {
	if conn.held == nil && len(request.Body()) <= maxInlineBodyBytes {
		conn.write = requestWrite{ended: alreadyEnded, err: conn.writeRequest(request)}
		return
	}
	conn.write = requestWrite{ended: make(chan struct{})}
	go func() {
		defer close(conn.write.ended)
		conn.write.err = conn.writeRequest(request)
	}()
}

func (conn *conn) writeRequest(request *fasthttp.Request) error {
	if conn.held != nil {
		return conn.held.send(request)
	}
	err := request.Write(conn.writer)
	return errors.Join(err, conn.writer.Flush())
}

// finishWrite ends the write of the request after the response, and reports whether the
// response was read and the whole request, or all but a body that the peer did not ask for,
// was written without an error. Otherwise it closes the connection.
func (conn *conn) finishWrite(readErr error) bool {
	if held := conn.held; held != nil && !held.decided {
		held.refuse()
		if readErr == nil {
			<-conn.write.ended
			return errors.Is(conn.write.err, errBodyNotWanted)
		}
	}
	if readErr == nil && conn.endWrite() {
		return true
	}
	_ = conn.Close()
	if conn.held != nil {
		conn.held.refuse()
	}
	<-conn.write.ended
	return false
}

// endWrite ends the write of the request and reports whether it is complete. The peer may
// have the whole request although the goroutine that writes it has not returned yet: with
// a deadline in the past, only a write that goes on fails.
func (conn *conn) endWrite() bool {
	select {
	case <-conn.write.ended:
		return conn.write.err == nil
	default:
	}
	if conn.held != nil {
		conn.held.refuse()
	}
	if conn.SetWriteDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	<-conn.write.ended
	return conn.write.err == nil
}

// confirmEnd ends the write of the request, after the end of the connection was read where a
// body without a length may end. It returns an error if the write has met one: the kernel
// reports a reset to one call only, and if the write gets it, the read finds an ordinary end.
// It also returns one if the process stops, because peers then end the connection early.
func (conn *conn) confirmEnd(ctx context.Context) error {
	if IsStopped(ctx) {
		return context.Cause(ctx)
	}
	if conn.held != nil {
		conn.held.refuse()
	}
	if err := conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-conn.write.ended
	switch err := conn.write.err; {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errBodyNotWanted):
		return nil
	default:
		return fmt.Errorf("the body has no length, and its end may be a reset: %w", err)
	}
}
