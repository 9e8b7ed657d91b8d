package sample

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// StartRaw starts a server that sends the same bytes to each request, whether they are a
// response or not, until the context is done. It closes a connection after bytes that say
// "Connection: close". It calls onRequest, which may be nil, for each request with the address
// of the peer.
func StartRaw(ctx context.Context, answer string, onRequest func(request *fasthttp.Request, peer string)) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(ctx, conn, answer, onRequest)
		}
	}()
	return listener.Addr().String(), nil
}

func serveRaw(ctx context.Context, conn net.Conn, answer string, onRequest func(request *fasthttp.Request, peer string)) {
	closeConn := func() { _ = conn.Close() }
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	reader := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		if onRequest != nil {
			onRequest(&request, conn.RemoteAddr().String())
		}
		_, err := io.WriteString(conn, answer)
		if err != nil || strings.Contains(answer, "Connection: close\r\n") {
			return
		}
	}
}
