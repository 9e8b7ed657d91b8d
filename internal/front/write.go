package front

import (
	"context"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// writeResponses writes the responses in the order of their requests. After a
// failed write it writes nothing more and only waits for the handlers.
func (conn *conn) writeResponses(cancel context.CancelCauseFunc) {
	failed := false
	for next := range conn.pending {
		if next.body != nil && !failed && conn.sendContinue(next) != nil {
			failed = true
			cancel(proxy.ErrCallerDisconnected)
			conn.closeRaw()
		}
		<-next.done
		closing := conn.done(next.last)
		if !failed && conn.writeResponse(next, closing) != nil {
			failed = true
			cancel(proxy.ErrCallerDisconnected)
			conn.closeRaw()
		}
		conn.endWrite()
		next.release()
	}
}

// freeResponse is the size of a response that fits into what its request has taken.
const freeResponse = 8 << 10

// settle replaces the memory of the request by that of the response, which may wait
// for long until the client reads it.
func (next *pending) settle() {
	size := len(next.request.Response.Body())
	if size <= freeResponse && len(next.request.Request.Body()) <= smallBody {
		return
	}
	next.request.Request.ResetBody()
	next.hold.Replace(requestBytes + int64(size))
}

// release returns the memory of the request once its response is written.
func (next *pending) release() {
	next.request.Request.Reset()
	next.request.Response.Reset()
	next.hold.Release()
}

func (conn *conn) writeResponse(next *pending, closing bool) error {
	response := &next.request.Response
	response.SkipBody = response.SkipBody || next.request.IsHead()
	response.Header.ResetConnectionClose()
	if closing {
		response.SetConnectionClose()
	}
	now := time.Now()
	conn.client.Advance(now)
	if err := conn.raw.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return err
	}
	if err := response.Write(conn.writer); err != nil {
		return err
	}
	if err := conn.writer.Flush(); err != nil || !closing {
		return err
	}
	// Interrupt the reading goroutine if it waits for further data.
	return conn.raw.SetReadDeadline(time.Now())
}

// discardLogger is a logger that discards everything.
type discardLogger struct{}

// Printf discards the log lines of fasthttp.
func (discardLogger) Printf(string, ...any) {}
