package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// maxInlineBodyBytes is a request body that fits into the buffers between two
// processes, so that writing it cannot block on a peer that answers first.
const maxInlineBodyBytes = 4 << 10

// maxStrangers is how many answers of earlier requests are skipped before the
// own one.
const maxMismatchedResponses = 2

// exchange writes the request and reads the whole answer. The answer may come
// before the request was taken whole.
func (pools *Pools) exchange(ctx context.Context, conn *conn, request *fasthttp.Request, response *fasthttp.Response) error {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return &ExchangeError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written := conn.writeRequest(request)
	err := pools.receiveMatching(conn, request, response)
	if !conn.finishWrite(written, err) {
		// What is left of the request would be taken for the next one.
		response.SetConnectionClose()
	}
	if !stop() && err == nil {
		// The context ended after the answer was whole; the connection is gone.
		response.SetConnectionClose()
	}
	if err != nil {
		return &ExchangeError{Sent: true, Err: err}
	}
	if conn.reader.Buffered() > 0 {
		// More than the answer came: the next answer would not be its own.
		response.SetConnectionClose()
	}
	conn.applyKeepAlive(pools.settings.MaxIdleTime, response)
	return nil
}

// send writes a request and reports the end of the writing; a long body is
// written beside the reading of the answer.
func (conn *conn) writeRequest(request *fasthttp.Request) <-chan error {
	written := make(chan error, 1)
	write := func() {
		err := request.Write(conn.writer)
		written <- errors.Join(err, conn.writer.Flush())
	}
	if len(request.Body()) <= maxInlineBodyBytes {
		write()
	} else {
		go write()
	}
	return written
}

// sent reports whether the whole request was written. If not, the connection
// is closed, which ends the writing.
func (conn *conn) finishWrite(written <-chan error, received error) bool {
	if received == nil {
		select {
		case err := <-written:
			return err == nil
		default:
		}
	}
	_ = conn.Close()
	<-written
	return false
}

// receive reads answers until one belongs to the request.
func (pools *Pools) receiveMatching(conn *conn, request *fasthttp.Request, response *fasthttp.Response) error {
	for range maxMismatchedResponses + 1 {
		if err := readResponse(conn.reader, request, response, pools.settings); err != nil {
			return err
		}
		if pools.settings.Belongs == nil || pools.settings.Belongs(request, response) {
			return nil
		}
		if response.ConnectionClose() {
			break
		}
		response.Reset()
	}
	return ErrMismatch
}

// contentLength values of the library that stand for no length.
const (
	lengthIdentity = -2
	lengthChunked  = -1
)

// readWhole reads an answer whose end is marked by a length, by chunks or, if
// allowed, by a clean end of the connection.
func readResponse(reader *bufio.Reader, request *fasthttp.Request, response *fasthttp.Response, settings Settings) error {
	response.SkipBody = request.Header.IsHead()
	for {
		if err := response.Header.Read(reader); err != nil {
			return err
		}
		if code := response.StatusCode(); code >= 200 || code == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	if response.SkipBody || !statusAllowsBody(response.StatusCode()) {
		return nil
	}
	length := response.Header.ContentLength()
	if length == lengthIdentity && !settings.AllowCloseDelimited {
		return ErrUnframed
	}
	if err := response.ReadBody(reader, settings.MaxBody); err != nil {
		return err
	}
	switch length {
	case lengthChunked:
		if err := response.Header.ReadTrailer(reader); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	case lengthIdentity:
		response.SetConnectionClose()
		response.Header.SetContentLength(len(response.Body()))
	}
	return nil
}

func statusAllowsBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// learnIdle keeps below the idle time that the other side states.
func (conn *conn) applyKeepAlive(limit time.Duration, response *fasthttp.Response) {
	conn.maxIdleTime = limit
	for _, part := range strings.Split(string(response.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil || seconds < 0 {
			continue
		}
		conn.maxIdleTime = min(limit, time.Duration(seconds)*time.Second*usableIdlePercent/100)
	}
}

// idlePercent is the part of a stated idle time in which a connection is used
// again; the rest covers the time on the way.
const usableIdlePercent = 80
