// Command rig3 plays the scripted cases of the third review: it starts the project's own
// daemons as processes on loopback addresses, with stand-ins for clients, targets, links
// and the operator, and judges what the stand-ins have seen.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Settings of a small deployment, after deploy/settings/ and the site files.
const (
	controls    = 5
	heartbeat   = 1500 * time.Millisecond
	grace       = 6 * time.Second
	memoryMB    = 284
	startWait   = 20 * time.Second
	settingMode = 0o600
)

// errSetup means that a case could not run, which says nothing about the rule.
var errSetup = errors.New("the case could not run")

// fleet is the deployment of one case.
type fleet struct {
	dir    string
	vpd    string
	record *record

	links []string
	apis  []string
	procs map[string]*process
	order []string
}

// process is one daemon of the project.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// record writes what was sent, answered and run to record.txt.
type record struct {
	lock  sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (record *record) add(format string, args ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(record.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(record.file, line)
	fmt.Println(line)
}

// freePorts are the addresses that were given out.
var freePorts sync.Map

func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, taken := freePorts.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

func newFleet(vpd string, record *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{dir: dir, vpd: vpd, record: record, procs: map[string]*process{}}
	for range controls {
		fleet.links = append(fleet.links, freeAddress())
		fleet.apis = append(fleet.apis, freeAddress())
	}
	for i := range controls {
		name := fmt.Sprintf("core-%d", i+1)
		err := fleet.addProcess(name, "control", map[string]any{
			"interface": "platform", "name": name, "zone": zone(i), "data": filepath.Join(dir, name),
			"api": fleet.apis[i], "link": fleet.links[i], "peers": fleet.links, "replicas": controls,
			"found": true, "maxChildren": 64, "memoryMB": memoryMB,
		})
		if err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

func zone(i int) string { return "tx-central-" + string(rune('a'+i%3)) }

// machine is a node and the addresses of its machine.
type machine struct {
	name, service             string
	callers, gate, listenGate string
	ready, admin, app         string
}

// addNode adds a node. If throughLink is set, calls of other nodes arrive at gate and are
// to be passed on to listenGate by a link of the case.
func (fleet *fleet) addNode(i int, service string, throughLink bool) (*machine, error) {
	added := &machine{
		name: fmt.Sprintf("sidecar-%d", i+1), service: service, callers: freeAddress(), gate: freeAddress(),
		ready: freeAddress(), admin: freeAddress(), app: freeAddress(),
	}
	settings := map[string]any{
		"interface": "platform", "name": added.name, "zone": zone(i), "service": service, "upstream": added.app,
		"callers": added.callers, "gate": added.gate, "ready": added.ready, "admin": added.admin, "link": freeAddress(),
		"control": fleet.links, "heartbeat": heartbeat.String(), "grace": grace.String(), "notice": "2200ms", "queue": 64,
		"memoryMB": memoryMB, "retry": map[string]any{"share": 0.2, "slack": 58, "window": "10s"},
	}
	if throughLink {
		added.listenGate = freeAddress()
		settings["listenGate"] = added.listenGate
	}
	return added, fleet.addProcess(added.name, "node", settings)
}

func (fleet *fleet) addProcess(name, role string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(fleet.dir, name+".json")
	fleet.procs[name] = &process{name: name, args: []string{role, "-s", file}}
	fleet.order = append(fleet.order, name)
	return os.WriteFile(file, data, settingMode)
}

// startAll starts all processes.
func (fleet *fleet) startAll() error {
	for _, name := range fleet.order {
		if err := fleet.start(name); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *fleet) start(name string) error {
	process := fleet.procs[name]
	log, err := os.OpenFile(filepath.Join(fleet.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingMode)
	if err != nil {
		return err
	}
	process.cmd = exec.Command(fleet.vpd, process.args...)
	process.cmd.Stdout, process.cmd.Stderr = log, log
	process.done = make(chan struct{})
	if err := process.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = process.cmd.Wait()
		_ = log.Close()
		close(process.done)
	}()
	fleet.record.add("%s starts, process %d", name, process.cmd.Process.Pid)
	return nil
}

// stop ends all processes that were started. The logs stay if KEEP is set.
func (fleet *fleet) stop() {
	for _, process := range fleet.procs {
		if process.cmd != nil && process.cmd.Process != nil {
			_ = process.cmd.Process.Signal(syscall.SIGCONT)
			_ = process.cmd.Process.Kill()
			<-process.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.dir)
	}
}

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends JSON and returns the status, or zero without an answer.
func post(method, url string, body any) (int, string) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// configure sends a configuration to the control VMs in turn until it is acknowledged.
func (fleet *fleet) configure(config map[string]any) error {
	for i, end := 0, time.Now().Add(startWait); time.Now().Before(end); i++ {
		status, answer := post(http.MethodPost, "http://"+fleet.apis[i%controls]+"/v1/whole", config)
		if status == http.StatusOK {
			fleet.record.add("configuration %v acknowledged", config["version"])
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("%w: configuration refused: %s", errSetup, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: no acknowledgement of the configuration", errSetup)
}

// awaitReady waits until the nodes say that they are ready.
func (fleet *fleet) awaitReady(machines ...*machine) error {
	for _, machine := range machines {
		for end := time.Now().Add(startWait); ; time.Sleep(50 * time.Millisecond) {
			if status, _ := post(http.MethodGet, "http://"+machine.ready+"/v1/ready", nil); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errSetup, machine.name)
			}
		}
	}
	return nil
}
