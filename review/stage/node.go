package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of PROTOCOL.md.
const (
	headerAttempt   = "Vanillapulley-Attempt-Id"
	headerDeadline  = "Vanillapulley-Deadline-Ms"
	headerExpect    = "Vanillapulley-Expect-Instance"
	headerInstance  = "Vanillapulley-Instance-Id"
	headerSignature = "Vanillapulley-Response-Signature"
	headerNotRun    = "Vanillapulley-Not-Executed"
)

// HeartbeatInterval is heartbeat_s of the sites.
const HeartbeatInterval = 1500 * time.Millisecond

// Node is the process beside a target.
type Node struct {
	*Proc
	Zone string
	// Callers, Admin and Ready are the addresses of clients, of the target and of the
	// platform.
	Callers, Admin, Ready string
	// Upstream is the address of the target.
	Upstream string
}

// NewNode returns a node with the settings of deploy/settings/node.json and the bounds of
// the site.
func (stage *Stage) NewNode(name, zone, service string, control []string) (*Node, error) {
	addresses, err := FreeAddresses(6)
	if err != nil {
		return nil, err
	}
	node := &Node{Zone: zone, Callers: addresses[0], Admin: addresses[1], Ready: addresses[2], Upstream: addresses[3]}
	node.Proc, err = stage.NewProc("node", name, map[string]any{
		"interface": "platform", "name": name, "zone": zone, "service": service, "upstream": node.Upstream,
		"callers": node.Callers, "gate": addresses[4], "ready": node.Ready, "admin": node.Admin, "link": addresses[5],
		"control": control, "heartbeat": "1500ms", "grace": "6s", "notice": "2200ms", "queue": 64, "memoryMB": 284,
		"retry": map[string]any{"share": 0.2, "slack": 58, "window": "10s"},
	})
	return node, err
}

// Run is a request that a target ran.
type Run struct {
	Target, ID, Method, Path string
	At                       time.Time
}

// Target stands in for the application target beside a node.
type Target struct {
	stage *Stage
	// ID, Service and Address are what it says of itself.
	ID, Service, Address string
	node                 *Node
	born                 int64
	server               *http.Server

	lock     sync.Mutex
	sequence int
	silent   bool
	runs     []Run
}

// NewTarget starts a target beside a node. It sends heartbeats until it is silenced.
func (stage *Stage) NewTarget(id, service string, node *Node) (*Target, error) {
	listener, err := net.Listen("tcp", node.Upstream)
	if err != nil {
		return nil, err
	}
	target := &Target{stage: stage, ID: id, Service: service, Address: node.Upstream, node: node, born: time.Now().UnixMilli()}
	target.server = &http.Server{Handler: http.HandlerFunc(target.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = target.server.Serve(listener) }()
	go target.beat()
	return target, nil
}

func (target *Target) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerAttempt)
	writer.Header().Set(headerAttempt, id)
	writer.Header().Set(headerInstance, target.ID)
	if expected := request.Header.Get(headerExpect); expected != "" && expected != target.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/healthz" {
		writer.WriteHeader(http.StatusOK)
		return
	}
	if id == "" {
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	target.lock.Lock()
	target.runs = append(target.runs, Run{Target: target.ID, ID: id, Method: request.Method, Path: request.URL.Path, At: time.Now()})
	target.lock.Unlock()
	time.Sleep(5 * time.Millisecond)
	body := "ran " + id
	writer.Header().Set(headerSignature, "3e1b."+id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(writer, body)
}

// Runs returns the requests that the target ran.
func (target *Target) Runs() []Run {
	target.lock.Lock()
	defer target.lock.Unlock()
	return append([]Run(nil), target.runs...)
}

// Heartbeat returns the next heartbeat, which is sent by Deliver.
func (target *Target) Heartbeat(state string) []byte {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.sequence++
	body, err := json.Marshal(map[string]any{
		"service": target.Service, "address": target.Address, "zone": target.node.Zone, "version": "v1", "slots": 12,
		"state": state, "coldMs": 0, "sequence": target.sequence, "born": target.born,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// Deliver sends a heartbeat to the node and returns the status, or zero without an answer.
func (target *Target) Deliver(body []byte) int {
	status, _ := target.stage.NewOperator().Send("POST", "http://"+target.node.Admin+"/v1/targets/"+target.ID, body)
	return status
}

// Deregister reports that the target leaves, until that is acknowledged.
func (target *Target) Deregister(limit time.Duration) bool {
	body := []byte(fmt.Sprintf(`{"born":%d}`, target.born))
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := target.stage.NewOperator().Send("POST", "http://"+target.node.Admin+"/v1/targets/"+target.ID+"/leave", body); status == http.StatusOK {
			return true
		}
	}
	return false
}

// Silence ends the heartbeats.
func (target *Target) Silence() {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.silent = true
}

// Exit ends the target.
func (target *Target) Exit() {
	target.Silence()
	_ = target.server.Close()
}

func (target *Target) beat() {
	for {
		target.lock.Lock()
		silent := target.silent
		target.lock.Unlock()
		if silent {
			return
		}
		target.Deliver(target.Heartbeat("ready"))
		time.Sleep(HeartbeatInterval)
	}
}

// IsReady asks a node as the platform does.
func (stage *Stage) IsReady(node *Node) bool {
	status, _ := stage.NewOperator().Send("GET", "http://"+node.Ready+"/v1/ready", nil)
	return status == http.StatusOK
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int
	Body   string
	Err    error
}

// Client sends requests at a node, each on a new connection.
type Client struct {
	lock   sync.Mutex
	number int
	client *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Send sends one request without a body.
func (client *Client) Send(node *Node, method, host, path string, deadline time.Duration) Answer {
	client.lock.Lock()
	client.number++
	answer := Answer{ID: fmt.Sprintf("9c41d07b%08x", client.number), Sent: time.Now()}
	client.lock.Unlock()
	request, err := http.NewRequest(method, "http://"+node.Callers+path, nil)
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = host
	request.Header.Set(headerAttempt, answer.ID)
	request.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.client.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	answer.Status, answer.Body, answer.Err = response.StatusCode, string(body), err
	return answer
}
