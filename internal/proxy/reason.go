package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
)

// Reason names the fault in words that may be passed on to a caller. Unlike the
// text of the error, it never contains bytes that the peer has sent.
func (err *ExchangeError) Reason() string {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var stopped *StopError
	var malformed *FormatError
	var netErr net.Error
	switch cause := err.Err; {
	case errors.As(cause, &stopped):
		return stopped.Error()
	case errors.Is(cause, ErrCallerDisconnected), errors.Is(cause, ErrUnframed), errors.Is(cause, ErrMismatch), errors.Is(cause, ErrInterim):
		return cause.Error()
	case errors.As(cause, &malformed):
		return malformed.Error()
	case errors.Is(cause, bufmem.ErrExhausted):
		return bufmem.ErrExhausted.Error()
	case errors.Is(cause, fasthttp.ErrBodyTooLarge):
		return "the body of the answer is too large"
	case errors.As(cause, &smallBuffer):
		return "the head of the answer is too large"
	case errors.Is(cause, fasthttp.ErrTimeout), errors.Is(cause, os.ErrDeadlineExceeded), errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(cause, context.Canceled), errors.Is(cause, net.ErrClosed):
		return "the exchange was canceled"
	case errors.Is(cause, syscall.ECONNRESET), errors.Is(cause, syscall.EPIPE):
		return "the connection was reset"
	case errors.Is(cause, syscall.ECONNREFUSED):
		return "the connection was refused"
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF):
		return "the connection ended"
	case errors.As(cause, &netErr) && netErr.Timeout():
		return "the connection timed out"
	case errors.As(cause, &netErr):
		return "the connection failed"
	default:
		return "the answer is malformed"
	}
}
