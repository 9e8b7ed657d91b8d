package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/valyala/fasthttp"
)

// FormatError reports bytes of a peer that are not a valid HTTP/1.1 response. Its text
// contains none of them.
type FormatError struct {
	fault string
}

// Error returns what is wrong with the response.
func (err *FormatError) Error() string { return "the answer is malformed: " + err.fault }

var (
	errStatusLine = &FormatError{"its first line is not a status line"}
	errStatus     = &FormatError{"its status is not a number from 100 to 599"}
	errUpgrade    = &FormatError{"it switches to a protocol that was not asked for"}
	errLineEnd    = &FormatError{"a line of its head does not end in CR LF"}
	errFolded     = &FormatError{"a line of its head is folded"}
	errFieldName  = &FormatError{"the name of a field is not a token"}
	errFieldValue = &FormatError{"the value of a field holds a control character"}
)

// responseHead reads the header section of a response. fasthttp alone accepts sections that
// are not HTTP/1.1, and takes status 000 for one that was not set, which it reports as 200.
type responseHead struct {
	header *fasthttp.ResponseHeader
}

// Read checks the header section before fasthttp parses it.
func (head responseHead) Read(reader *bufio.Reader) error {
	if err := checkHead(reader); err != nil {
		return err
	}
	return head.header.Read(reader)
}

// checkHead checks the header section of a response without consuming it.
func checkHead(reader *bufio.Reader) error {
	first := true
	return checkLines(reader, func(line []byte) error {
		if first {
			first = false
			return checkStatusLine(line)
		}
		_, err := splitField(line)
		return err
	})
}

// checkLines calls a function for each line of a section, without its CR LF, as soon as the
// line has arrived. It consumes nothing. The section ends with an empty line after the first
// one; the function gets only the lines before. If the section does not fit into the buffer of
// the reader, checkLines returns nil.
func checkLines(reader *bufio.Reader, check func(line []byte) error) error {
	for checked := 0; ; {
		arrived, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		for {
			length := bytes.IndexByte(arrived[checked:], '\n')
			if length < 0 {
				break
			}
			line, ok := bytes.CutSuffix(arrived[checked:checked+length], []byte{'\r'})
			if !ok {
				return errLineEnd
			}
			if len(line) == 0 && checked > 0 {
				return nil
			}
			if err := check(line); err != nil {
				return err
			}
			checked += length + 1
		}
		_, err = reader.Peek(len(arrived) + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil
		case errors.Is(err, io.EOF) && len(arrived) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// checkStatusLine accepts the versions 1.0 to 1.9, which are compatible.
func checkStatusLine(line []byte) error {
	const version, status = "HTTP/1.", len("HTTP/1.1 ")
	if len(line) <= status || !bytes.HasPrefix(line, []byte(version)) || !isDigit(line[len(version)]) || line[status-1] != ' ' || line[status] == ' ' {
		return errStatusLine
	}
	code, phrase, _ := bytes.Cut(line[status:], []byte{' '})
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return errStatus
	}
	if string(code) == "101" {
		return errUpgrade
	}
	if !isText(phrase) {
		return errStatusLine
	}
	return nil
}

// splitField returns the name of a field. It refuses what fasthttp makes another field of, or
// a part of the value of the previous one: a message whose length is in such a line would be
// delimited differently.
func splitField(line []byte) (name []byte, err error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return nil, errFolded
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return nil, errFieldName
	}
	if !isText(value) {
		return nil, errFieldValue
	}
	return name, nil
}

func isToken(text []byte) bool {
	for _, char := range text {
		if !isDigit(char) && !('a' <= char|0x20 && char|0x20 <= 'z') && strings.IndexByte("!#$%&'*+-.^_`|~", char) < 0 {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(char byte) bool { return '0' <= char && char <= '9' }

// isText reports whether a reason phrase or the value of a field has no control character
// except tabs.
func isText(text []byte) bool {
	for _, char := range text {
		if char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}
