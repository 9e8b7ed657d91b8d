// Package client is a client for the resource API of the control VMs. It tries
// the addresses in turn and repeats a write with the same request id, so that a
// lost response never causes a write to be applied twice.
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

	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// Code classifies an error response.
type Code string

// Error codes.
const (
	CodeInvalid     Code = "invalid"
	CodeConflict    Code = "conflict"
	CodeReused      Code = "requestIdReused"
	CodeNotFound    Code = "notFound"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown"
)

// RefusalError is an error response of the control plane, or reports that no
// usable response arrived before the context was done. With CodeUnknown, a
// write may or may not have been accepted; repeating it with the same request
// id returns its outcome.
type RefusalError struct {
	Code   Code
	Path   string
	Reason string
}

// Error returns the path, if there is one, and the reason.
func (err *RefusalError) Error() string {
	if err.Path == "" {
		return err.Reason
	}
	return err.Path + ": " + err.Reason
}

// Timeouts for one attempt, and the delay before the next one. The timeouts
// exceed those of the control VM, which are 10 s for a request and 1 min for a
// watch.
const (
	attemptTimeout = 12 * time.Second
	watchTimeout   = 75 * time.Second
	retryDelay     = 200 * time.Millisecond
)

// maxConns limits the connections to one control VM, and maxAnswer the body of a response in
// bytes. A full configuration has up to 64 MiB as operators send it, and more as it is read.
const (
	maxConns  = 64
	maxAnswer = 256 << 20
)

// Client sends requests to one control plane. It is safe for concurrent use.
type Client struct {
	addresses []string
	pools     *proxy.Pools
}

// New returns a client for the API addresses of the control VMs. There must be
// at least one address.
func New(addresses []string) *Client {
	settings := proxy.DefaultSettings()
	settings.MaxConns, settings.MaxBody, settings.AllowCloseDelimited = maxConns, maxAnswer, true
	return &Client{addresses: addresses, pools: proxy.New(settings, time.Now)}
}

// Get sends a GET request for path and decodes the response into result. Like
// Post and Watch, it tries again until it gets a definite response or ctx is
// done. An error with CodeUnavailable or CodeUnknown is not definite.
func (client *Client) Get(ctx context.Context, path string, result any) error {
	return client.do(ctx, "GET", path, nil, Request{}, attemptTimeout, result)
}

// Request identifies a write. If a write is repeated with the same ID and the
// same content, it gets the result of the first one.
type Request struct {
	// ID is the request id. If it is empty, the client generates one. A caller
	// that may repeat the write after an error must set it.
	ID string
	// Content is hashed in place of the body to recognize a repeated write. If
	// it is empty, the body is hashed.
	Content string
}

// Post sends a POST request with body for path and decodes the response into
// result. identity identifies the write.
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

// Put sends a PUT request without a body for path and decodes the response into
// result. It is for writes that have the same effect when they are repeated.
func (client *Client) Put(ctx context.Context, path string, result any) error {
	return client.do(ctx, "PUT", path, nil, Request{}, attemptTimeout, result)
}

// Delete sends a DELETE request for path, as Put does.
func (client *Client) Delete(ctx context.Context, path string, result any) error {
	return client.do(ctx, "DELETE", path, nil, Request{}, attemptTimeout, result)
}

// Watch waits for changes after the version from and decodes them into result.
// If nothing changes within the time limit of the control VM, the list of
// resources in result is empty.
func (client *Client) Watch(ctx context.Context, from uint64, result any) error {
	path := "/v1/watch?from=" + url.QueryEscape(fmt.Sprint(from))
	return client.do(ctx, "GET", path, nil, Request{}, watchTimeout, result)
}

// do tries the addresses in turn until it gets a definite response, as
// described at Get, or the context is done.
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
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client.pools.CloseIdle()
	if err := client.pools.Do(ctx, fasthttp.AddMissingPort(address, false), request, response); err != nil {
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
