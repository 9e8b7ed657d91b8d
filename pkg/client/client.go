// Package client talks to the resource API of the control VMs. It tries each
// address in turn and sends a request again with the same request id, so that
// a lost answer never makes a write happen twice.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// Code classifies a refusal.
type Code string

// The codes of refusals.
const (
	CodeInvalid     Code = "invalid"
	CodeConflict    Code = "conflict"
	CodeReused      Code = "requestIdReused"
	CodeNotFound    Code = "notFound"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown"
)

// RefusalError is a refusal by the control plane. With CodeUnknown the write
// may or may not have been accepted; sending it again with the same request
// id tells.
type RefusalError struct {
	Code   Code
	Path   string
	Reason string
}

// Error returns path and reason.
func (err *RefusalError) Error() string {
	if err.Path == "" {
		return err.Reason
	}
	return err.Path + ": " + err.Reason
}

// Timing of the client.
const (
	attemptTimeout = 12 * time.Second
	watchTimeout   = 75 * time.Second
	retryDelay     = 200 * time.Millisecond
)

// Client talks to one control plane. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *fasthttp.Client
}

// New returns a client for the API addresses of the control VMs.
func New(addresses []string) *Client {
	return &Client{addresses: addresses, http: &fasthttp.Client{MaxConnsPerHost: 64, NoDefaultUserAgentHeader: true}}
}

// Get reads from the API into result.
func (client *Client) Get(ctx context.Context, path string, result any) error {
	return client.do(ctx, "GET", path, nil, Request{}, attemptTimeout, result)
}

// Request identifies a write. A resend with the same ID gets the first answer
// if it means the same.
type Request struct {
	// ID is made by the client when it is empty.
	ID string
	// Content stands for what is meant; empty for the body itself.
	Content string
}

// Post writes to the API.
func (client *Client) Post(ctx context.Context, path string, identity Request, body, result any) error {
	if identity.ID == "" {
		identity.ID = uuid.NewString()
	}
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	return client.do(ctx, "POST", path, data, identity, attemptTimeout, result)
}

// Watch waits for changes after a version and decodes them into result. It
// returns an empty list when nothing changed for a while.
func (client *Client) Watch(ctx context.Context, from uint64, result any) error {
	path := "/v1/watch?from=" + url.QueryEscape(fmt.Sprint(from))
	return client.do(ctx, "GET", path, nil, Request{}, watchTimeout, result)
}

// do tries the addresses until one gives a certain answer.
func (client *Client) do(ctx context.Context, method, path string, body []byte, identity Request, timeout time.Duration, result any) error {
	var lastErr error
	for i := 0; ; i++ {
		address := client.addresses[i%len(client.addresses)]
		lastErr = client.try(ctx, method, address, path, body, identity, timeout, result)
		refusal, refused := lastErr.(*RefusalError)
		if lastErr == nil || refused && refusal.Code != CodeUnavailable && refusal.Code != CodeUnknown {
			return lastErr
		}
		select {
		case <-ctx.Done():
			if refused {
				return lastErr
			}
			return &RefusalError{Code: CodeUnknown, Reason: fmt.Sprintf("no control VM answered: %v", lastErr)}
		case <-time.After(retryDelay):
		}
	}
}

func (client *Client) try(ctx context.Context, method, address, path string, body []byte, identity Request, timeout time.Duration, result any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	if identity.ID != "" {
		request.Header.Set("Vp-Request-Id", identity.ID)
	}
	if identity.Content != "" {
		request.Header.Set("Vp-Request-Content", identity.Content)
	}
	request.SetBody(body)
	until := time.Now().Add(timeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(until) {
		until = deadline
	}
	if err := client.http.DoDeadline(request, response, until); err != nil {
		return err
	}
	if response.StatusCode() == fasthttp.StatusOK {
		return trace.Wrap(json.Unmarshal(response.Body(), result))
	}
	var refusal wire.APIError
	if err := json.Unmarshal(response.Body(), &refusal); err != nil {
		return trace.Wrap(err, "status %d", response.StatusCode())
	}
	return &RefusalError{Code: Code(refusal.Code), Path: refusal.Path, Reason: refusal.Reason}
}
