package proxy

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/body"
	"github.com/vanillapulley/vanillapulley/internal/bufmem"
)

// maxMismatchedResponses is how many responses to earlier requests are skipped
// before the matching one. Such a response can arrive after the connection was
// checked for leftover data.
const maxMismatchedResponses = 2

// maxInterim and maxInterimBytes limit the interim (1xx) responses of an exchange. Targets
// that report their progress send about one a second, for up to the deadline of the call.
const (
	maxInterim      = 1024
	maxInterimBytes = 64 << 10
)

// ErrInterim reports a peer that sends interim responses without end.
var ErrInterim = errors.New("the answer has too many interim responses")

// exchange writes the request and reads the whole response. The peer may
// respond before it has read the whole request. If the connection must not be
// reused, exchange marks the response with "Connection: close", and Do then
// closes the connection.
func (pools *Pools) exchange(ctx context.Context, conn *conn, request *fasthttp.Request, response *fasthttp.Response) error {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return &ExchangeError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.abort(context.Cause(ctx), deadline) })
	conn.held, conn.interim, conn.interimBytes = nil, 0, 0
	if announcesBody(request) {
		conn.held = newHeldRequest(conn.Conn, pools.turns)
	}
	conn.startWrite(request)
	err := pools.receiveMatching(ctx, conn, request, response)
	if !conn.finishWrite(err) {
		// If the connection were reused, the peer could parse the rest of this
		// request as the next request.
		response.SetConnectionClose()
	}
	if !stop() && err == nil {
		// The response is complete, but the context has ended as well. The
		// AfterFunc has closed the connection or its sending side, or is closing it.
		response.SetConnectionClose()
	}
	if err != nil {
		// A body of known length that was not written to the end is incomplete for the
		// peer, which does not use it. A peer that sends an invalid response is not known
		// to wait for the body.
		incomplete := conn.held != nil && !conn.held.complete
		return &ExchangeError{MaybeSent: !incomplete || isInvalidResponse(err), Err: err}
	}
	if conn.reader.Buffered() > 0 {
		// If the connection were reused, the surplus bytes would be read as the
		// response to the next request.
		response.SetConnectionClose()
	}
	conn.applyKeepAliveHeader(pools.settings.MaxIdleTime, response)
	return nil
}

// isInvalidResponse reports whether the peer has sent a response that no peer in order sends,
// also if it fails.
func isInvalidResponse(err error) bool {
	var malformed *FormatError
	return errors.As(err, &malformed) || errors.Is(err, ErrUnframed)
}

// receiveMatching reads responses until one belongs to the request. It skips up
// to maxMismatchedResponses others and returns ErrMismatch if the next one does
// not match either. It also returns ErrMismatch if a response that does not match
// announces the close of the connection.
func (pools *Pools) receiveMatching(ctx context.Context, conn *conn, request *fasthttp.Request, response *fasthttp.Response) error {
	for range maxMismatchedResponses + 1 {
		if err := conn.readResponse(ctx, request, response, pools.settings); err != nil {
			conn.discardBody(response)
			return err
		}
		if pools.settings.Belongs == nil || pools.settings.Belongs(request, response) {
			// The connection may be idle for longer than the call counts its memory.
			conn.body = nil
			return nil
		}
		conn.discardBody(response)
		if response.ConnectionClose() {
			break
		}
		response.Reset()
	}
	return ErrMismatch
}

// Values that fasthttp returns from ContentLength if the header contains no
// length: lengthUntilClose if the body is delimited only by the close of the
// connection, and lengthChunked for chunked encoding.
const (
	lengthUntilClose = -2
	lengthChunked    = -1
)

// readResponse skips informational (1xx) responses and reads the response that
// follows. The body must be delimited by a content length, by chunked encoding or,
// if the settings allow it, by the close of the connection. Its memory is charged
// to the hold of the context, if there is one.
func (conn *conn) readResponse(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, settings Settings) error {
	hold := bufmem.FromContext(ctx)
	response.SkipBody = request.Header.IsHead()
	conn.body = nil
	for {
		before := conn.consumed()
		reader, err := ReadHeader(responseHead{&response.Header}, conn.reader, conn, hold, settings.MaxHeader)
		conn.reader = reader
		if err != nil {
			return err
		}
		code := response.StatusCode()
		if code >= fasthttp.StatusOK {
			break
		}
		if code == fasthttp.StatusContinue && conn.held != nil && conn.held.allow(response.Header.Peek(HeaderCredit), len(request.Body())) {
			continue
		}
		conn.interim++
		conn.interimBytes += conn.consumed() - before
		if conn.interim > maxInterim || conn.interimBytes > maxInterimBytes {
			return ErrInterim
		}
	}
	if !response.Header.IsHTTP11() {
		// The version applies to the connection to the peer, but fasthttp would write it to
		// the caller as well.
		response.Header.SetProtocol([]byte("HTTP/1.1"))
	}
	// fasthttp moves the headers that are announced as trailers out of the header
	// section.
	response.Header.Del(fasthttp.HeaderTrailer)
	if response.SkipBody || !statusAllowsBody(response.StatusCode()) {
		return nil
	}
	length := response.Header.ContentLength()
	if length == lengthUntilClose && !settings.AllowCloseDelimited {
		return ErrUnframed
	}
	if length > settings.MaxBody {
		return fasthttp.ErrBodyTooLarge
	}
	if length >= 0 && length <= freeBody {
		return response.ReadBody(conn.reader, settings.MaxBody)
	}
	return conn.readBody(ctx, hold, response, length, settings.MaxBody)
}

// freeBody is the size up to which the body of a response takes nothing from the memory
// budget. Such bodies are bounded by the number of calls in progress.
const freeBody = 16 << 10

// readBody reads a body of unknown or large length. A known length is taken from the hold
// at once and the buffer has exactly that size, so that no copy is made.
func (conn *conn) readBody(ctx context.Context, hold *bufmem.Hold, response *fasthttp.Response, length, limit int) error {
	if length >= 0 {
		limit = length
	}
	conn.body = body.New(conn.reader, hold, body.Settings{Limit: limit, Free: freeBody})
	var err error
	switch length {
	case lengthChunked:
		err = conn.body.ReadChunks()
		if err == nil {
			err = checkTrailer(conn.reader)
		}
		if err == nil {
			err = DiscardTrailer(conn.reader)
		}
	case lengthUntilClose:
		response.SetConnectionClose()
		err = conn.body.ReadUntilClose()
		if err == nil {
			err = conn.confirmEnd(ctx)
		}
		response.Header.SetContentLength(len(conn.body.Body()))
	default:
		if err = conn.body.Reserve(); err == nil {
			err = conn.body.Read(length)
		}
	}
	response.SetBodyRaw(conn.body.Body())
	return err
}

// discardBody drops the body of a response that is not delivered.
func (conn *conn) discardBody(response *fasthttp.Response) {
	response.ResetBody()
	if conn.body != nil {
		conn.body.Discard()
	}
}

func statusAllowsBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// applyKeepAliveHeader sets the maximum idle time of the connection to limit, or
// to usableIdlePercent of the timeout in the response's Keep-Alive header if that
// is shorter.
func (conn *conn) applyKeepAliveHeader(limit time.Duration, response *fasthttp.Response) {
	conn.maxIdleTime = limit
	stated := response.Header.Peek("Keep-Alive")
	if len(stated) == 0 {
		return
	}
	for _, part := range strings.Split(string(stated), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil || seconds < 0 {
			continue
		}
		conn.maxIdleTime = min(limit, time.Duration(seconds)*time.Second*usableIdlePercent/100)
	}
}

// usableIdlePercent is the share of the peer's stated idle timeout within which
// a connection is reused. The rest allows for the network delay.
const usableIdlePercent = 80
