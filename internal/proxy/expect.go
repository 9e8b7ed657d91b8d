package proxy

import (
	"bufio"
	"errors"
	"io"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// headEnd is the end of the header section of a request.
const headEnd = "\r\n\r\n"

// headBuffer is the size of the buffer through which a held request is written. It is
// smaller than any header section, so that neither that nor the body is copied.
const headBuffer = 16

const (
	// maxBodiesSent is how many announced bodies are sent at once through the pools of a
	// process. A gate grants 32 KiB of a body at a time on ordinary links, so they form a
	// queue of at most 96 KiB in the link of this node, which takes 117 ms at 837 KB/s.
	maxBodiesSent = 3
	// maxTurnWait is how long a body waits for others. They may wait for a slow gate
	// themselves. With the queue of maxBodiesSent on the slowest link (357 ms at 275 KB/s) it
	// is shorter than the second after which a gate gives up a body.
	maxTurnWait = 500 * time.Millisecond
)

// errBodyNotWanted ends the write of a request whose peer responded without asking for
// the body.
var errBodyNotWanted = errors.New("the peer responded without asking for the body")

// heldRequest writes a request with "Expect: 100-continue": the header section at once,
// and the body as far as the peer asks for it. Method Write is called by one goroutine
// only.
type heldRequest struct {
	writer io.Writer
	// turns is a semaphore of maxBodiesSent, shared by the pools. hasTurn is true while an
	// entry belongs to this request.
	turns   chan struct{}
	hasTurn bool
	// decided is true once the peer has asked for the body, or it is certain that it will
	// not. It is used only by the goroutine that reads the response.
	decided bool
	// matched is how many bytes of headEnd the header section ends with so far.
	matched int
	// begun is true once the body is being written, and complete is true once the whole
	// request was written. Both are read only after the write has ended.
	begun    bool
	complete bool

	// changed gets a value after each change of the fields below.
	changed chan struct{}
	// lock guards the fields below.
	lock sync.Mutex
	// allowed is the number of bytes of the body that may be written at present.
	allowed int
	// refused is true once no further byte may be written.
	refused bool
}

func newHeldRequest(writer io.Writer, turns chan struct{}) *heldRequest {
	return &heldRequest{writer: writer, turns: turns, changed: make(chan struct{}, 1)}
}

// announcesBody reports whether the body is to be sent only after 100 Continue.
func announcesBody(request *fasthttp.Request) bool {
	return request.MayContinue() && len(request.Body()) > 0
}

// send writes the request. It returns errBodyNotWanted if the body is not wanted.
func (held *heldRequest) send(request *fasthttp.Request) error {
	writer := bufio.NewWriterSize(held, headBuffer)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	held.complete = err == nil
	if held.hasTurn {
		<-held.turns
	}
	return err
}

// awaitTurn waits until few other bodies are being sent, for up to maxTurnWait.
func (held *heldRequest) awaitTurn() {
	timer := time.NewTimer(maxTurnWait)
	defer timer.Stop()
	for {
		select {
		case held.turns <- struct{}{}:
			held.hasTurn = true
			return
		case <-timer.C:
			return
		case <-held.changed:
			// A further credit does not shorten the wait.
			if held.isRefused() {
				return
			}
		}
	}
}

func (held *heldRequest) isRefused() bool {
	held.lock.Lock()
	defer held.lock.Unlock()
	return held.refused
}

// allow permits the peer's credit of further bytes of the body to be written, or the
// whole body if the peer states no number. It returns false if the credit was empty or the
// whole body of the given size was allowed before.
func (held *heldRequest) allow(credit []byte, size int) bool {
	held.decided = true
	bytes, err := strconv.Atoi(string(credit))
	held.lock.Lock()
	defer held.lock.Unlock()
	useful := held.allowed < size && (err != nil || bytes != 0)
	if err != nil || bytes < 0 || bytes > math.MaxInt-held.allowed {
		held.allowed = math.MaxInt
	} else {
		held.allowed += bytes
	}
	held.signal()
	return useful
}

// refuse ends the write before the next byte of the body.
func (held *heldRequest) refuse() {
	held.decided = true
	held.lock.Lock()
	defer held.lock.Unlock()
	held.refused = true
	held.signal()
}

func (held *heldRequest) signal() {
	select {
	case held.changed <- struct{}{}:
	default:
	}
}

// take waits until bytes of the body may be written and returns how many of the wanted
// ones. It returns zero if none may be written any more.
func (held *heldRequest) take(wanted int) int {
	for {
		held.lock.Lock()
		bytes := min(wanted, held.allowed)
		held.allowed -= bytes
		refused := held.refused
		held.lock.Unlock()
		if refused {
			return 0
		}
		if bytes > 0 {
			return bytes
		}
		<-held.changed
	}
}

// Write writes a part of the request. It waits before the first byte of the body and
// whenever the peer has not asked for more.
func (held *heldRequest) Write(data []byte) (int, error) {
	written := 0
	if !held.begun {
		head := held.headLength(data)
		n, err := held.writer.Write(data[:head])
		if err != nil {
			return n, err
		}
		written = n
	}
	for written < len(data) {
		bytes := held.take(len(data) - written)
		if bytes == 0 {
			return written, errBodyNotWanted
		}
		if !held.begun {
			held.begun = true
			held.awaitTurn()
		}
		n, err := held.writer.Write(data[written : written+bytes])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// headLength returns how many bytes belong to the header section.
func (held *heldRequest) headLength(data []byte) int {
	for i, char := range data {
		switch {
		case held.matched == len(headEnd):
			return i
		case char == headEnd[held.matched]:
			held.matched++
		case char == headEnd[0]:
			held.matched = 1
		default:
			held.matched = 0
		}
	}
	return len(data)
}
