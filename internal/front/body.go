package front

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/body"
	"github.com/vanillapulley/vanillapulley/internal/bufmem"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

const (
	// smallBody is the size up to which a body of known length is charged at once and
	// read by fasthttp, which reuses its buffers.
	smallBody = 16 << 10
	// bodyRate is the mean rate in bytes per second that a body must keep after
	// Limits.HeaderTimeout. The slowest link of a node carries four times as much.
	bodyRate = 64 << 10
)

// readRequest reads one request. If it returns an error and a status other than
// zero, a response with that status must be sent. If it returns an error and
// status zero, no response can be sent. The body is left to readDeferredBody if
// next.body is set afterwards; limits.MaxBody is then the limit for it.
func (conn *conn) readRequest(next *pending, limits *Limits) (int, error) {
	request, hold := next.request, next.hold
	started := time.Now()
	conn.client.Begin(started)
	if err := conn.setReadDeadline(started.Add(limits.HeaderTimeout)); err != nil {
		return errorStatus(err), err
	}
	reader, err := proxy.ReadHeader(&request.Request.Header, conn.reader, conn, hold, limits.MaxHeader)
	conn.reader, conn.readerSize = reader, reader.Size()
	if err != nil {
		return errorStatus(err), err
	}
	// fasthttp moves the headers that are announced as trailers out of the header
	// section.
	request.Request.Header.Del(fasthttp.HeaderTrailer)
	length := request.Request.Header.ContentLength()
	maxBody := limits.MaxBody
	if conn.server.deps.MaxBody != nil {
		maxBody = min(maxBody, conn.server.deps.MaxBody(&request.Request.Header))
	}
	if length > maxBody {
		return errorStatus(fasthttp.ErrBodyTooLarge), fasthttp.ErrBodyTooLarge
	}
	limits.MaxBody = maxBody
	charged := int64(requestBytes)
	if length > 0 && length <= smallBody {
		charged += int64(length)
	}
	if err := hold.Grow(charged); err != nil {
		return errorStatus(err), err
	}
	// A peer whose body begins to arrive already did not wait.
	if conn.server.deps.DeferBody && request.Request.MayContinue() && length != 0 && conn.reader.Buffered() == 0 {
		next.body = newDeferredBody(conn.interruptRead)
		return 0, nil
	}
	if request.Request.MayContinue() {
		if _, err := io.WriteString(conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	err = conn.readBody(&request.Request, hold, length, started, *limits)
	return errorStatus(err), err
}

// readBody reads the body of a request and drops its trailer section, if any.
func (conn *conn) readBody(request *fasthttp.Request, hold *bufmem.Hold, length int, started time.Time, limits Limits) error {
	if length != lengthChunked && length <= smallBody {
		return request.ContinueReadBody(conn.reader, limits.MaxBody, false)
	}
	settings := body.Settings{Limit: limits.MaxBody, Progress: func(bytes int) error {
		return conn.extendDeadline(started.Add(limits.HeaderTimeout), bytes)
	}}
	if length != lengthChunked {
		settings.Limit, settings.Known = length, true
		reader := body.New(conn.reader, hold, settings)
		if err := reader.Read(length); err != nil {
			return err
		}
		request.SetBodyRaw(reader.Body())
		return nil
	}
	reader := body.New(conn.reader, hold, settings)
	if err := reader.ReadChunks(); err != nil {
		return err
	}
	request.SetBodyRaw(reader.Body())
	if len(reader.Body()) == 0 {
		request.Header.SetContentLength(0)
	}
	return proxy.DiscardTrailer(conn.reader)
}

// extendDeadline adds to the deadline of a body the time that its bytes so far take at
// bodyRate. An occasional byte thus does not renew the deadline.
func (conn *conn) extendDeadline(deadline time.Time, bytes int) error {
	return conn.setReadDeadline(deadline.Add(time.Duration(bytes) * time.Second / bodyRate))
}
