// Package body reads the bodies of HTTP/1.1 messages of peers that nobody controls. All
// memory is taken from a hold before it is allocated, and only as bytes arrive: a peer
// may announce more than it sends.
package body

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
)

const (
	// firstBuffer is the size of the first buffer. The buffer doubles.
	firstBuffer = 8 << 10
	// Step is the number of bytes after which Settings.Progress is called.
	Step = 64 << 10
	// maxChunkLine limits the line with the length and the extensions of a chunk.
	maxChunkLine = 256
	// maxExtensions limits the bytes of chunk extensions by which those of a body may
	// exceed its own.
	maxExtensions = 16 << 10
)

// ErrBroken reports a body whose chunks cannot be read.
var ErrBroken = errors.New("the chunks of the body are malformed")

// Settings configures a Reader.
type Settings struct {
	// Limit is the largest number of bytes of the body.
	Limit int
	// Known means that the body has exactly Limit bytes.
	Known bool
	// Free is the size up to which a buffer takes nothing from the hold.
	Free int
	// Progress is called after each Step bytes with the number of bytes so far, and an
	// error that it returns ends the body. It may be nil.
	Progress func(bytes int) error
}

// Reader reads one body. It is not safe for concurrent use.
type Reader struct {
	reader *bufio.Reader
	// hold may be nil. taken is what the buffer has taken from it.
	hold     *bufmem.Hold
	taken    int64
	settings Settings
	body     []byte
	// extensions counts the bytes after the lengths of the chunks.
	extensions int
}

// New returns a reader without bytes. The hold may be nil.
func New(reader *bufio.Reader, hold *bufmem.Hold, settings Settings) *Reader {
	return &Reader{reader: reader, hold: hold, settings: settings}
}

// Body returns the bytes that were read. Their memory stays with the hold.
func (reader *Reader) Body() []byte { return reader.body }

// Discard drops the bytes that were read and returns their memory to the hold.
func (reader *Reader) Discard() {
	reader.body = nil
	if reader.taken > 0 {
		reader.hold.Shrink(reader.taken)
		reader.taken = 0
	}
}

// Reserve allocates the buffer for the whole body of known length, of which no byte has
// been read.
func (reader *Reader) Reserve() error {
	reader.settings.Known = true
	return reader.allocate(reader.settings.Limit)
}

// ReadChunks reads chunks up to the last one, whose length is zero.
func (reader *Reader) ReadChunks() error {
	for {
		length, err := reader.readChunkLength()
		if err != nil || length == 0 {
			return err
		}
		if reader.extensions > maxExtensions+len(reader.body) {
			return fmt.Errorf("%w: too many extensions", ErrBroken)
		}
		if length > reader.settings.Limit-len(reader.body) {
			return fasthttp.ErrBodyTooLarge
		}
		if err := reader.Read(length); err != nil {
			return err
		}
		if err := readLineEnd(reader.reader); err != nil {
			return err
		}
	}
}

// ReadUntilClose reads up to the end of the connection.
func (reader *Reader) ReadUntilClose() error {
	for {
		_, err := reader.reader.Peek(1)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		arrived := reader.reader.Buffered()
		if arrived > reader.settings.Limit-len(reader.body) {
			return fasthttp.ErrBodyTooLarge
		}
		if err := reader.Read(arrived); err != nil {
			return err
		}
	}
}

// Read appends that number of bytes to the body.
func (reader *Reader) Read(length int) error {
	for length > 0 {
		if len(reader.body) == cap(reader.body) {
			if err := reader.grow(len(reader.body) + length); err != nil {
				return err
			}
		}
		from := len(reader.body)
		step := min(length, cap(reader.body)-from, Step)
		reader.body = reader.body[:from+step]
		if _, err := io.ReadFull(reader.reader, reader.body[from:]); err != nil {
			return unexpectedEOF(err)
		}
		length -= step
		if reader.settings.Progress != nil && from/Step != len(reader.body)/Step {
			if err := reader.settings.Progress(len(reader.body)); err != nil {
				return err
			}
		}
	}
	return nil
}

// grow doubles the buffer. A buffer for a body of known length does not become larger
// than that, nor any buffer larger than the limit. A buffer that would grow to a quarter
// of a known length grows to the whole, so that little is copied. While it is copied, the
// old buffer counts too.
func (reader *Reader) grow(needed int) error {
	settings := &reader.settings
	size := min(max(2*cap(reader.body), firstBuffer), settings.Limit)
	if settings.Known && size >= settings.Limit/4 {
		size = settings.Limit
	}
	if len(reader.body) == 0 && needed < size {
		size = needed
	}
	return reader.allocate(size)
}

// allocate takes the memory of a buffer and copies the body to it.
func (reader *Reader) allocate(size int) error {
	taken := int64(0)
	if reader.hold != nil && size > reader.settings.Free {
		taken = int64(size)
		if err := reader.hold.Grow(taken); err != nil {
			return err
		}
	}
	grown := make([]byte, len(reader.body), size)
	copy(grown, reader.body)
	reader.body = grown
	if reader.taken > 0 {
		reader.hold.Shrink(reader.taken)
	}
	reader.taken = taken
	return nil
}

// readChunkLength reads the line that begins a chunk. It drops the extensions.
func (reader *Reader) readChunkLength() (int, error) {
	var line [maxChunkLine]byte
	for n := range line {
		char, err := reader.reader.ReadByte()
		if err != nil {
			return 0, unexpectedEOF(err)
		}
		line[n] = char
		if char != '\n' {
			continue
		}
		if n == 0 || line[n-1] != '\r' {
			return 0, fmt.Errorf("%w: a line without CR", ErrBroken)
		}
		digits, extensions, _ := strings.Cut(string(line[:n-1]), ";")
		reader.extensions += len(extensions)
		if strings.Contains(extensions, "\r") {
			return 0, fmt.Errorf("%w: a CR in an extension", ErrBroken)
		}
		return parseChunkLength(strings.TrimRight(digits, " \t"))
	}
	return 0, fmt.Errorf("%w: a chunk line of more than %d bytes", ErrBroken, maxChunkLine)
}

func parseChunkLength(digits string) (int, error) {
	if strings.HasPrefix(digits, "+") || strings.HasPrefix(digits, "-") {
		return 0, fmt.Errorf("%w: length %q", ErrBroken, digits)
	}
	length, err := strconv.ParseInt(digits, 16, 32)
	if errors.Is(err, strconv.ErrRange) {
		return 0, fasthttp.ErrBodyTooLarge
	}
	if err != nil {
		return 0, fmt.Errorf("%w: length %q", ErrBroken, digits)
	}
	return int(length), nil
}

// readLineEnd reads the end of the line after the bytes of a chunk.
func readLineEnd(reader *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		char, err := reader.ReadByte()
		if err != nil {
			return unexpectedEOF(err)
		}
		if char != want {
			return fmt.Errorf("%w: no line end after a chunk", ErrBroken)
		}
	}
	return nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
