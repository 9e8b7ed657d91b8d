package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Bounds of the site sites/lonestar-mesh.toml.
const (
	heartbeat    = 1500 * time.Millisecond
	liveness     = 3 * time.Second
	drainBound   = 2 * time.Second
	ackBound     = 4 * time.Second
	slots        = 12
	maxAttempts  = 2
	routeTimeout = 1500 * time.Millisecond
)

// ports are the same on all machines of a fleet.
type ports struct {
	admin, ready, inbound, outbound, app, link, metrics int
}

// machine is one simulated machine: a loopback address of its own.
type machine struct {
	name string
	ip   string
	zone string
	// service is that of the machine's target; it is empty on a control machine.
	service string
}

func (machine machine) at(port int) string { return net.JoinHostPort(machine.ip, strconv.Itoa(port)) }

// fleet runs the processes of the system under test.
type fleet struct {
	folder   string
	ports    ports
	controls []machine
	nodes    []machine
	record   *record
	running  map[string]*process
}

// process is a child process. The channel ended is closed when it has exited.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// newFleet describes a fleet with three control machines and one node for each of
// the given services.
func newFleet(record *record, services ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{folder: folder, record: record, running: map[string]*process{}}
	if err := fleet.ports.choose(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	network := 20 + os.Getpid()%200
	for i := range 3 {
		fleet.controls = append(fleet.controls, machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", network, i+1), zone: zoneOf(i)})
	}
	for i, service := range services {
		fleet.nodes = append(fleet.nodes, machine{name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("127.%d.2.%d", network, i+1), zone: zoneOf(i), service: service})
	}
	return fleet, nil
}

func zoneOf(i int) string { return "zone-" + string(rune('a'+i%3)) }

// choose sets all ports to different free ones.
func (ports *ports) choose() error {
	for _, port := range []*int{
		&ports.admin, &ports.ready, &ports.inbound, &ports.outbound, &ports.app, &ports.link, &ports.metrics,
	} {
		// The listener stays open until all ports are chosen, so that they differ.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// seeds returns the addresses of the control machines as JSON.
func (fleet *fleet) seeds() string {
	var addresses []string
	for _, control := range fleet.controls {
		addresses = append(addresses, control.at(fleet.ports.admin))
	}
	encoded, _ := json.Marshal(addresses)
	return string(encoded)
}

// writeSettings fills in a settings template of the deploy file for a machine and
// returns the path of the result.
func (fleet *fleet) writeSettings(machine machine, template string, bootstrap bool) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", "settings", template))
	if err != nil {
		return "", err
	}
	number := strconv.Itoa
	filled := strings.NewReplacer(
		"{{node_name}}", machine.name, "{{zone}}", machine.zone, "{{service}}", machine.service, "{{ip}}", machine.ip,
		"{{data_dir}}", filepath.Join(fleet.folder, machine.name, "data"),
		"{{listen.admin}}", machine.at(fleet.ports.admin), "{{listen.ready}}", machine.at(fleet.ports.ready),
		"{{listen.inbound}}", machine.at(fleet.ports.inbound), "{{listen.outbound}}", machine.at(fleet.ports.outbound),
		"{{app_addr}}", machine.at(fleet.ports.app),
		"{{internal_port_range.0}}", number(fleet.ports.link), "{{internal_port_range.1}}", number(fleet.ports.metrics),
		"{{seeds|json}}", fleet.seeds(), "{{bootstrap|json}}", strconv.FormatBool(bootstrap),
		"{{heartbeat_s}}", number(int(heartbeat.Milliseconds())), "{{bounds.grace_s}}", "6", "{{limits.memory_mb}}", "284",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "58", "{{bounds.budget_window_s}}", "10",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return "", errors.New(template + " has a placeholder that this stand-in does not know")
	}
	folder := filepath.Join(fleet.folder, machine.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(folder, "settings.json")
	return path, os.WriteFile(path, []byte(filled), 0o644)
}

// start starts the process of a machine.
func (fleet *fleet) start(machine machine, bootstrap bool) error {
	role := "control"
	if machine.service != "" {
		role = "node"
	}
	path, err := fleet.writeSettings(machine, role+".json", bootstrap)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(fleet.folder, machine.name, "output"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join("target", "vpd"), role, "-s", path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.Join(err, output.Close())
	}
	started := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(started.ended)
	}()
	fleet.running[machine.name] = started
	fleet.record.write("started machine=%s pid=%d", machine.name, command.Process.Pid)
	return nil
}

// kill sends SIGKILL to the process of a machine and waits for its end.
func (fleet *fleet) kill(machine machine) {
	running, ok := fleet.running[machine.name]
	if !ok {
		return
	}
	delete(fleet.running, machine.name)
	_ = running.command.Process.Kill()
	<-running.ended
	fleet.record.write("killed machine=%s", machine.name)
}

// stop ends all processes and removes the folder.
func (fleet *fleet) stop() {
	for _, machine := range append(append([]machine{}, fleet.nodes...), fleet.controls...) {
		fleet.kill(machine)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	}
}

// startAll starts all machines.
func (fleet *fleet) startAll() error {
	for _, machine := range append(append([]machine{}, fleet.controls...), fleet.nodes...) {
		if err := fleet.start(machine, true); err != nil {
			return err
		}
	}
	return nil
}

// call sends one request to the interface of a machine and returns the status and
// the body.
func call(ctx context.Context, method, address, path string, body any) (int, string, error) {
	var encoded io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, "", err
		}
		encoded = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, encoded)
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), err
}

// order sends an order of the operator to the control machines in turn until one
// answers clearly or the time is over, as the operator of the platform does.
func (fleet *fleet) order(ctx context.Context, method, path string, body any, within time.Duration) (int, string) {
	end := time.Now().Add(within)
	status, text := 0, "no answer"
	for attempt := 0; time.Now().Before(end); attempt++ {
		address := fleet.controls[attempt%len(fleet.controls)].at(fleet.ports.admin)
		answered, reply, err := call(ctx, method, address, path, body)
		fleet.record.write("order %s %s to=%s status=%d error=%v reply=%.120s", method, path, address, answered, err, reply)
		if err == nil {
			status, text = answered, reply
		}
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, text
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, text
}

// awaitReady waits until the ready address of every node answers 200.
func (fleet *fleet) awaitReady(ctx context.Context, nodes ...machine) error {
	end := time.Now().Add(20 * time.Second)
	for _, node := range nodes {
		for {
			status, _, err := call(ctx, "GET", node.at(fleet.ports.ready), "/v1/ready", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", node.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
