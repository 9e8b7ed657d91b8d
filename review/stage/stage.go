// Package stage runs the programs of the deploy file as processes on loopback addresses
// for the cases of the second review, and records what was sent and answered.
package stage

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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	// Held means that the rule held, Broken that it was broken, and Failed that the case
	// could not run.
	Held   = 0
	Broken = 1
	Failed = 2
)

// program is what the build of the deploy file makes.
const program = "target/vpd"

// Stage holds the processes and the temporary folder of one run.
type Stage struct {
	folder  string
	started time.Time

	lock   sync.Mutex
	record *os.File
	procs  []*Proc
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case, ends all its processes and exits with the code that the case returns.
// The first argument of the program is the folder of the case, in which record.txt is
// written.
func Main(run func(stage *Stage) (int, error)) {
	code, err := perform(run)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = Failed
	}
	fmt.Println("exit", code)
	os.Exit(code)
}

func perform(run func(stage *Stage) (int, error)) (int, error) {
	if len(os.Args) != 2 {
		return Failed, errors.New("usage: PROGRAM FOLDER-OF-THE-CASE")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return Failed, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return Failed, err
	}
	stage := &Stage{folder: folder, started: time.Now(), record: record}
	defer stage.end()
	stage.Note("trouble: %v", Trouble())
	code, err := run(stage)
	stage.Note("exit code %d, error %v", code, err)
	return code, err
}

// Note writes a line to the record.
func (stage *Stage) Note(format string, args ...any) {
	stage.lock.Lock()
	defer stage.lock.Unlock()
	_, _ = fmt.Fprintf(stage.record, "%8.3f %s\n", time.Since(stage.started).Seconds(), fmt.Sprintf(format, args...))
}

// end kills the processes that still run.
func (stage *Stage) end() {
	for _, proc := range stage.procs {
		proc.Kill()
	}
	_ = stage.record.Close()
}

// FreeAddress returns a loopback address on which nobody listens at present.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// FreeAddresses returns several free addresses.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// Proc is one process of the project.
type Proc struct {
	stage *Stage
	// Name is the name of the machine.
	Name string
	role string
	file string

	lock sync.Mutex
	cmd  *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// NewProc writes the settings of a process, which is not started yet. The role is the
// first argument of the command in the deploy file.
func (stage *Stage) NewProc(role, name string, settings map[string]any) (*Proc, error) {
	proc := &Proc{stage: stage, Name: name, role: role, file: filepath.Join(stage.folder, name+".json")}
	stage.procs = append(stage.procs, proc)
	return proc, proc.Write(settings)
}

// Write replaces the settings file.
func (proc *Proc) Write(settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(proc.file, data, 0o600)
}

// Start starts the process with the command of the deploy file.
func (proc *Proc) Start() error {
	output, err := os.OpenFile(filepath.Join(proc.stage.folder, proc.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(program, proc.role, "-s", proc.file)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	proc.lock.Lock()
	proc.cmd, proc.ended = cmd, ended
	proc.lock.Unlock()
	proc.stage.Note("%s started, process %d", proc.Name, cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (proc *Proc) Signal(signal syscall.Signal) {
	proc.lock.Lock()
	defer proc.lock.Unlock()
	if proc.cmd != nil {
		_ = proc.cmd.Process.Signal(signal)
		proc.stage.Note("%s gets signal %q", proc.Name, signal)
	}
}

// Running reports whether the process has not ended.
func (proc *Proc) Running() bool {
	proc.lock.Lock()
	defer proc.lock.Unlock()
	if proc.cmd == nil {
		return false
	}
	select {
	case <-proc.ended:
		return false
	default:
		return true
	}
}

// Await waits until the process has ended, for up to the given time, and reports whether
// it has.
func (proc *Proc) Await(limit time.Duration) bool {
	proc.lock.Lock()
	ended := proc.ended
	proc.lock.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the process and waits for its end.
func (proc *Proc) Kill() {
	if proc.Running() {
		proc.Signal(syscall.SIGKILL)
		proc.Await(5 * time.Second)
	}
}

// MemoryMB returns the memory of the process that is not that of files, in MiB, or zero if it has ended.
func (proc *Proc) MemoryMB() float64 {
	proc.lock.Lock()
	defer proc.lock.Unlock()
	if proc.cmd == nil {
		return 0
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(proc.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// Log returns what the process has written so far.
func (proc *Proc) Log() string {
	data, _ := os.ReadFile(filepath.Join(proc.stage.folder, proc.Name+".log"))
	return string(data)
}

// Control is the process of a control VM.
type Control struct {
	*Proc
	// API and Link are the addresses for operators and for other processes.
	API, Link string
	// Data is the data folder.
	Data     string
	settings map[string]any
}

// ControlMemoryMB is the memory of a core machine in the site files.
const ControlMemoryMB = 280

// NewControl returns a control VM with the settings of deploy/settings/control.json. It
// founds the control plane if found is set and the peers contain its own address.
func (stage *Stage) NewControl(name, zone, link string, peers []string, found bool) (*Control, error) {
	api, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	control := &Control{API: api, Link: link, Data: filepath.Join(stage.folder, name+"-data")}
	control.settings = map[string]any{
		"interface": "platform", "name": name, "zone": zone, "data": control.Data, "api": api, "link": link, "peers": peers,
		"replicas": 5, "found": found, "maxChildren": 64, "memoryMB": ControlMemoryMB,
	}
	control.Proc, err = stage.NewProc("control", name, control.settings)
	return control, err
}

// Describe returns the memory of the process and the given size of its files.
func (control *Control) Describe(bytes int64) string {
	return fmt.Sprintf("%s uses %.0f MiB of memory and %d MiB of its disk", control.Name, control.MemoryMB(), bytes>>20)
}

// Leads reports whether the control VM says that it is the leader.
func (operator *Operator) Leads(control *Control) bool {
	status, answer := operator.Send("GET", "http://"+control.API+"/v1/health", nil)
	var health struct {
		Role string `json:"role"`
	}
	return status == http.StatusOK && json.Unmarshal(answer, &health) == nil && health.Role == "leader"
}

// Settled rewrites the settings as they are after the first start of the whole system.
func (control *Control) Settled() error {
	control.settings["found"] = false
	return control.Write(control.settings)
}

// Zones are the zones of the site.
var Zones = []string{"tx-central-a", "tx-central-b", "tx-central-c"}

// Core starts the control VMs of a small deployment for the first time: five in three
// zones, of which all know the same three seeds.
func (stage *Stage) Core() ([]*Control, error) {
	links, err := FreeAddresses(5)
	if err != nil {
		return nil, err
	}
	controls := make([]*Control, 0, len(links))
	for i, link := range links {
		control, err := stage.NewControl(fmt.Sprintf("core-%d", i+1), Zones[i%len(Zones)], link, links[:3], true)
		if err != nil {
			return nil, err
		}
		controls = append(controls, control)
	}
	for _, control := range controls {
		if err := control.Start(); err != nil {
			return nil, err
		}
	}
	// The settings at later starts have bootstrap false.
	time.Sleep(time.Second)
	for _, control := range controls {
		if err := control.Settled(); err != nil {
			return nil, err
		}
	}
	return controls, nil
}

// Operator sends orders to control VMs.
type Operator struct {
	stage *Stage
	// client has the time after which operators move on to another control VM.
	client *http.Client
}

// NewOperator returns an operator.
func (stage *Stage) NewOperator() *Operator {
	return &Operator{stage: stage, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Send sends one request and returns the status, or zero without an answer.
func (operator *Operator) Send(method, url string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operator.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// SetTimeout sets how long the operator waits for an answer.
func (operator *Operator) SetTimeout(limit time.Duration) { operator.client.Timeout = limit }

// Replace sends a configuration to the control VMs in turn until one answers it clearly,
// for up to the given time, and returns the status, or zero without a clear answer.
func (operator *Operator) Replace(controls []*Control, body []byte, limit time.Duration) int {
	for end, pause := time.Now().Add(limit), 50*time.Millisecond; time.Now().Before(end); {
		for _, control := range controls {
			status, _ := operator.Send("POST", "http://"+control.API+"/v1/whole", body)
			if status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429 {
				return status
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

// Read asks the control VMs in turn for the configuration until one answers, for up to the
// given time. It returns false if none does.
func (operator *Operator) Read(controls []*Control, limit time.Duration) (Config, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, control := range controls {
			status, answer := operator.Send("GET", "http://"+control.API+"/v1/whole", nil)
			var config Config
			if status == http.StatusOK && json.Unmarshal(answer, &config) == nil {
				return config, true
			}
		}
	}
	return Config{}, false
}

// Config is a configuration in the words of deploy/wire.toml.
type Config struct {
	Version  uint64    `json:"version"`
	Base     uint64    `json:"base,omitempty"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Accounts []Account `json:"accounts,omitempty"`
}

// Account is a tenant of a configuration.
type Account struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// Route is a route of a configuration.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   float64 `json:"timeoutMs"`
	ObjectiveMs float64 `json:"objectiveMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service,omitempty"`
	MaxAttempts int     `json:"maxAttempts"`
	Split       []Part  `json:"split,omitempty"`
}

// Part is a part of a split route.
type Part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a service of a configuration.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

// Limits are the limits of a configuration.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// NewConfig returns a configuration with two services and that many routes to the first.
func NewConfig(version, base uint64, routes int) Config {
	config := Config{
		Version: version, Base: base,
		Services: []Service{
			{Name: "huvo11a", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1"},
			{Name: "wuno96b", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1"},
		},
		Limits: Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for i := range routes {
		kind := "idempotent"
		if i%2 == 1 {
			kind = "nonIdempotent"
		}
		config.Routes = append(config.Routes, Route{
			Name: fmt.Sprintf("r-zj%05dn73", i), Host: "ficu95.example", Prefix: fmt.Sprintf("/lohu%05d/", i), Kind: kind,
			TimeoutMs: 1200, ObjectiveMs: 600, Priority: 2, Service: "huvo11a", MaxAttempts: 2,
		})
	}
	return config
}

// Encode returns the configuration as it is sent.
func (config Config) Encode() []byte {
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	return data
}
