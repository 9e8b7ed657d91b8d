package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
)

const (
	// maxMessage is the maximum size of a message in bytes. A message carries at most
	// a whole configuration, which operators may send with up to 64 MiB.
	maxMessage = 64 << 20
	// messageTimeout is the time to receive a message in addition to what its bytes
	// take at messageRate, so that an occasional byte does not keep a message open.
	messageTimeout = 10 * time.Second
	// messageRate is the mean rate in bytes per second that a message must keep after
	// messageTimeout. The slowest link of a node carries four times as much.
	messageRate = 64 << 10
	// firstBuffer is the size of the first buffer of a message. The buffer doubles.
	firstBuffer = 4 << 10
	// messageCopies is how often a message exists while it is decoded: its bytes, and
	// its parameters.
	messageCopies = 2
	// connBytes is about what an open connection takes: its goroutines, its buffers and
	// its queue.
	connBytes = 56 << 10
)

// stream is a net.Conn that counts bytes, limits the time of each read and write, and
// charges incoming messages to the memory budget.
type stream struct {
	net.Conn
	options Options
	// client is the connection in the memory budget, base the memory that it takes
	// without a message, and message that of the message that was read last. They are
	// nil if there is no budget.
	client  *bufmem.Client
	base    *bufmem.Hold
	message *bufmem.Hold
	// deadline is the time by which the message that is being read must be complete.
	// It is zero between messages. Only the reading goroutine uses it.
	deadline time.Time
	// accepted is true if the peer has opened the connection.
	accepted bool
	// inMessage is true while a message is being read, and proven once one is complete.
	inMessage atomic.Bool
	proven    atomic.Bool
	// lastMessage is the time of the last complete message in nanoseconds since 1970.
	lastMessage atomic.Int64
	closing     sync.Once
}

// newStream returns a stream. It returns bufmem.ErrExhausted, and closes the
// connection, if there is no memory for it.
func newStream(raw net.Conn, options Options, accepted bool) (*stream, error) {
	created := &stream{Conn: raw, options: options, accepted: accepted}
	created.lastMessage.Store(time.Now().UnixNano())
	if options.Memory == nil {
		return created, nil
	}
	created.client = options.Memory.NewClient(created.evict)
	created.base, created.message = created.client.NewHold(), created.client.NewHold()
	if !accepted {
		// This process has chosen the peer.
		created.client.Completed()
	}
	if err := created.base.Grow(connBytes); err != nil {
		created.release()
		_ = raw.Close()
		return nil, err
	}
	return created, nil
}

// evict closes the connection to take its memory back. It keeps connections that this
// process has opened, and those that are between two messages, of which MaxConns limits
// the number.
func (stream *stream) evict(int64) bool {
	if !stream.accepted || stream.proven.Load() && !stream.inMessage.Load() {
		return false
	}
	stream.options.count(ReasonMemory)
	_ = stream.Conn.Close()
	return true
}

// release returns the memory of the stream. It must be called once the connection is
// closed. A read that is still in progress returns what it takes itself.
func (stream *stream) release() {
	if stream.client == nil {
		return
	}
	stream.closing.Do(func() {
		stream.base.Release()
		stream.message.Release()
		stream.client.Close()
	})
}

// Read reads with a timeout of Options.Idle, and by the deadline of the message.
func (stream *stream) Read(buffer []byte) (int, error) {
	deadline := stream.deadline
	if stream.options.Idle > 0 {
		if idle := time.Now().Add(stream.options.Idle); deadline.IsZero() || idle.Before(deadline) {
			deadline = idle
		}
	}
	if err := stream.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := stream.Conn.Read(buffer)
	stream.options.Traffic.Received.Add(uint64(n))
	if stream.client != nil {
		stream.client.Received(n)
	}
	return n, err
}

// Write writes with a timeout of writeTimeout. If the peer does not read in time, it
// closes the connection, because part of a message may have been sent.
func (stream *stream) Write(buffer []byte) (int, error) {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := stream.Conn.Write(buffer)
	stream.options.Traffic.Sent.Add(uint64(n))
	if err != nil {
		_ = stream.Conn.Close()
	}
	return n, err
}

// codec writes and reads messages with their length in front, as
// jsonrpc2.VarintObjectCodec does, but limits what it reads.
type codec struct {
	jsonrpc2.VarintObjectCodec
	stream *stream
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec codec) ReadObject(reader *bufio.Reader, value any) error {
	// The handler is done with the message before.
	codec.stream.releaseMessage()
	err := codec.readObject(reader, value)
	if err != nil {
		codec.stream.releaseMessage()
	}
	return err
}

func (codec codec) readObject(reader *bufio.Reader, value any) error {
	stream := codec.stream
	if _, err := reader.Peek(1); err != nil {
		return err
	}
	started := time.Now()
	stream.deadline = started.Add(messageTimeout)
	stream.inMessage.Store(true)
	if stream.client != nil {
		stream.client.Begin(started)
	}
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return err
	}
	if length > maxMessage {
		stream.options.count(ReasonSize)
		return fmt.Errorf("a message of %d bytes, at most %d are allowed", length, maxMessage)
	}
	body, err := stream.readBody(reader, int(length), started)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, value); err != nil {
		return err
	}
	stream.deadline = time.Time{}
	stream.lastMessage.Store(time.Now().UnixNano())
	stream.inMessage.Store(false)
	if stream.client != nil && !stream.proven.Swap(true) {
		stream.client.Completed()
	}
	return nil
}

// readBody reads the bytes of a message. Memory is taken only as they arrive, because a
// peer may announce more than it sends.
func (stream *stream) readBody(reader *bufio.Reader, length int, started time.Time) ([]byte, error) {
	var body []byte
	for len(body) < length {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), firstBuffer), length)
			if err := stream.grow(size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			stream.shrink(cap(body))
			body = grown
		}
		from := len(body)
		body = body[:min(cap(body), from+firstBuffer)]
		if _, err := io.ReadFull(reader, body[from:]); err != nil {
			return nil, err
		}
		stream.deadline = started.Add(messageTimeout + time.Duration(len(body))*time.Second/messageRate)
	}
	return body, nil
}

func (stream *stream) releaseMessage() {
	if stream.client != nil {
		stream.message.Release()
	}
}

func (stream *stream) grow(size int) error {
	if stream.client == nil {
		return nil
	}
	err := stream.message.Grow(int64(size) * messageCopies)
	if err != nil {
		stream.options.count(ReasonMemory)
	}
	return err
}

func (stream *stream) shrink(size int) {
	if stream.client != nil {
		stream.message.Shrink(int64(size) * messageCopies)
	}
}
