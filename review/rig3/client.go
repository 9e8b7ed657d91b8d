package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// routes and services as an operator sends them.
type object = map[string]any

func serviceOf(name string) object {
	return object{"name": name, "healthPath": "/healthz", "maxConnections": 550, "protocol": "h1", "tls": false}
}

func configOf(version, base int, services, routes []object) map[string]any {
	return object{
		"version": version, "base": base, "services": services, "routes": routes,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

const host = "ficu95.example"

// answer is what a client has seen: the status, or zero if the connection ended without a
// whole answer.
type answer struct {
	status int
	header http.Header
	body   string
	at     time.Time
}

// call sends one request on a new connection and waits for its answer.
func call(address, method, path, id string, deadline time.Duration, body int) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{at: time.Now()}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headerAttempt, id, headerDeadline, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return answer{at: time.Now()}
	}
	if _, err := conn.Write(make([]byte, body)); err != nil {
		return answer{at: time.Now()}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{at: time.Now()}
	}
	return answer{status: response.StatusCode, header: response.Header, body: string(text), at: time.Now()}
}
