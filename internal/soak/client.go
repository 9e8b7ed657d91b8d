package soak

import (
	"bufio"
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// httpClient sends the requests of the soak that are not calls.
var httpClient = newClient(func(*proxy.FormatError) {})

// newClient returns a client that takes no malformed response for one and reports it.
func newClient(report func(malformed *proxy.FormatError)) *fasthttp.Client {
	return &fasthttp.Client{NoDefaultUserAgentHeader: true, Dial: func(address string) (net.Conn, error) {
		conn, err := fasthttp.Dial(address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, reader: bufio.NewReader(conn), report: report}, nil
	}}
}

// checkedConn checks the header section of each response before the client reads it. It does
// not allow requests in a pipeline.
type checkedConn struct {
	net.Conn
	reader *bufio.Reader
	// report is called for a malformed response. The client returns another error for it.
	report func(malformed *proxy.FormatError)
	// awaitsHead is true from a request on until the header section of its response is checked.
	awaitsHead bool
}

// Write writes a part of a request.
func (conn *checkedConn) Write(data []byte) (int, error) {
	conn.awaitsHead = true
	return conn.Conn.Write(data)
}

// Read returns an error instead of a malformed response.
func (conn *checkedConn) Read(buffer []byte) (int, error) {
	if conn.awaitsHead {
		err := proxy.CheckHead(conn.reader)
		var malformed *proxy.FormatError
		if errors.As(err, &malformed) {
			conn.report(malformed)
		}
		if err != nil {
			return 0, err
		}
		conn.awaitsHead = false
	}
	return conn.reader.Read(buffer)
}
