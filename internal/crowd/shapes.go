package crowd

import (
	"encoding/binary"
	"fmt"
	"strings"
)

const (
	// chunk is the size of a large chunk, and bytesAtOnce the number of one-byte
	// chunks that are written at once.
	chunk       = 32 << 10
	bytesAtOnce = 4 << 10
	// byteChunk is a chunk of one byte.
	byteChunk = "1\r\nx\r\n"
)

func chunkedHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// LargeChunks is a request with about the given number of bytes of body in large
// chunks, without the last chunk.
func LargeChunks(method, path string, body int) Shape {
	size := min(chunk, body)
	unit := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("z", size))
	return Shape{First: chunkedHead(method, path), Unit: unit, Bytes: body / size * len(unit)}
}

// ByteChunks is a request with the given number of bytes of body in chunks of one
// byte, without the last chunk.
func ByteChunks(method, path string, body int) Shape {
	unit := strings.Repeat(byteChunk, bytesAtOnce)
	return Shape{First: chunkedHead(method, path), Unit: unit, Bytes: body * len(byteChunk)}
}

// AlmostWhole is a request with a body of known length that lacks its last byte.
func AlmostWhole(method, path string, body int) Shape {
	first := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", method, path, body)
	return Shape{First: first, Unit: strings.Repeat("z", chunk), Bytes: body - 1}
}

// EndlessHeader is a request whose header section has the given size so far.
func EndlessHeader(size int) Shape {
	return Shape{First: "GET / HTTP/1.1\r\nHost: h.example\r\n", Unit: "X-Filler: " + strings.Repeat("y", 100) + "\r\n", Bytes: size}
}

// Unread is a number of requests whose responses are never read.
func Unread(path string, requests int) Shape {
	unit := "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n"
	return Shape{Unit: unit, Bytes: requests * len(unit)}
}

// Idle is a connection without a byte.
func Idle() Shape { return Shape{} }

// LinkMessage is a message of package link that announces the given length and
// stops after some bytes.
func LinkMessage(announced uint64, sent int) Shape {
	first := string(binary.AppendUvarint(nil, announced)) + `{"method":"tree","params":"`
	return Shape{First: first, Unit: strings.Repeat("z", chunk), Bytes: sent}
}

// UnreadLink is a number of requests to a link whose responses are never read.
func UnreadLink(requests int) Shape {
	message := `{"jsonrpc":"2.0","id":1,"method":"` + strings.Repeat("m", 1000) + `"}`
	unit := string(binary.AppendUvarint(nil, uint64(len(message)))) + message
	return Shape{Unit: unit, Bytes: requests * len(unit)}
}
