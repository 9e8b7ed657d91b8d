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

// What is wrong with a response.
var (
	errStatusLine = &FormatError{"its first line is not a status line"}
	errStatus     = &FormatError{"its status is not a number from 100 to 599"}
	errUpgrade    = &FormatError{"it switches to a protocol that was not asked for"}
	errLineEnd    = &FormatError{"a line does not end in CR LF"}
	errFolded     = &FormatError{"a line is folded"}
	errFieldName  = &FormatError{"the name of a field is not a token"}
	errFieldValue = &FormatError{"the value of a field holds a control character"}
	errLength     = &FormatError{"its length is not a number"}
	errCoding     = &FormatError{"its transfer coding is not chunked"}
	errOldCoding  = &FormatError{"it has a transfer coding that its version of HTTP lacks"}
	errFraming    = &FormatError{"the length of its body is stated more than once"}
)

// responseHead reads the header section of a response. fasthttp alone accepts sections that
// are not HTTP/1.1, and takes status 000 for one that was not set, which it reports as 200.
type responseHead struct {
	header *fasthttp.ResponseHeader
}

// Read checks the header section before fasthttp parses it.
func (head responseHead) Read(reader *bufio.Reader) error {
	if err := CheckHead(reader); err != nil {
		return err
	}
	return head.header.Read(reader)
}

// CheckHead waits for the header section of a response and checks it without consuming it. It
// returns a *FormatError if the section is malformed.
func CheckHead(reader *bufio.Reader) error {
	var check headCheck
	return checkLines(reader, check.line)
}

// headCheck is the state of CheckHead.
type headCheck struct {
	// status is true once the status line was checked, and http11 if its version is 1.1.
	status, http11 bool
	// lengths and codings count the fields that delimit the body.
	lengths, codings int
}

// line checks one line and reports whether it ends the section.
func (check *headCheck) line(line []byte) (end bool, err error) {
	switch {
	case !check.status:
		check.status, check.http11 = true, bytes.HasPrefix(line, []byte("HTTP/1.1 "))
		return false, checkStatusLine(line)
	case len(line) == 0:
		return true, check.framing()
	}
	name, value, err := splitField(line)
	if err != nil {
		return false, err
	}
	if bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
		check.lengths++
		if !isLength(value) {
			return false, errLength
		}
	}
	if bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
		check.codings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return false, errCoding
		}
	}
	return false, nil
}

// framing refuses a body that another reader could delimit differently.
func (check *headCheck) framing() error {
	switch {
	case check.lengths+check.codings > 1:
		return errFraming
	case check.codings > 0 && !check.http11:
		return errOldCoding
	}
	return nil
}

// checkTrailer checks the trailer section of a response without consuming it.
func checkTrailer(reader *bufio.Reader) error {
	return checkLines(reader, func(line []byte) (end bool, err error) {
		if len(line) == 0 {
			return true, nil
		}
		_, _, err = splitField(line)
		return false, err
	})
}

// checkLines calls a function for each line, without its CR LF, as soon as the line has
// arrived, until the function reports the end of the section or an error. It consumes nothing.
// If the section does not fit into the buffer of the reader, it returns nil.
func checkLines(reader *bufio.Reader, check func(line []byte) (end bool, err error)) error {
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
			if end, err := check(line); end || err != nil {
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

// splitField returns the name and the value of a field. It refuses blanks around the name and
// folded lines, which fasthttp accepts: a message whose length is in such a line could be
// delimited in two ways.
func splitField(line []byte) (name, value []byte, err error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return nil, nil, errFolded
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return nil, nil, errFieldName
	}
	if !isText(value) {
		return nil, nil, errFieldValue
	}
	return name, bytes.Trim(value, " \t"), nil
}

// maxLengthDigits keeps a length within the range of int.
const maxLengthDigits = 18

func isLength(text []byte) bool {
	for _, char := range text {
		if !isDigit(char) {
			return false
		}
	}
	return len(text) > 0 && len(text) <= maxLengthDigits
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
