package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillapulley/vanillapulley/internal/sample"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"vpd":   func() { os.Exit(Main(DaemonCommand(), os.Args)) },
		"vpctl": func() { os.Exit(Main(OperatorCommand(), os.Args)) },
	})
}

// TestProcesses runs the scripts of testdata/script with real processes.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:      filepath.Join("testdata", "script"),
		TestWork: os.Getenv("KEEP_WORK") != "",
		Setup:    setUpScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":      cmdFleet,
			"run":        cmdRun,
			"signal":     cmdSignal,
			"ended":      cmdEnded,
			"eventually": cmdEventually,
			"call":       cmdCall,
			"key":        cmdKey,
			"load":       cmdLoad,
			"unload":     cmdUnload,
			"damage":     cmdDamage,
			"capture":    cmdCapture,
			"port":       cmdPort,
			"fetch":      cmdFetch,
		},
	})
}

// scriptState is the state that the commands of one script share: its processes
// and load generators by name.
type scriptState struct {
	processes map[string]*process
	loads     map[string]*load
}

// process is a process that a script has started. The channel ended is closed
// when it has exited.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

// setUpScript adds the state of a script, and stops its load generators and kills
// its processes when the script ends. SIGCONT precedes the kill because a script
// may leave a process stopped.
func setUpScript(env *testscript.Env) error {
	state := &scriptState{processes: map[string]*process{}, loads: map[string]*load{}}
	env.Values["bench"] = state
	env.Defer(func() {
		for _, load := range state.loads {
			load.cancel()
		}
		for _, process := range state.processes {
			_ = process.cmd.Process.Signal(syscall.SIGCONT)
			_ = process.cmd.Process.Kill()
			<-process.ended
		}
	})
	return nil
}

func stateOf(ts *testscript.TestScript) *scriptState { return ts.Value("bench").(*scriptState) }

// cmdFleet writes the settings files of control VMs and nodes:
// fleet CONTROLS NODES [WATCH [VOTERS]]. WATCH is the watch time of a rollout, and VOTERS
// the intended number of voters if it is not CONTROLS. The files
// are c1.json, n1.json and so on. It sets $c1_api and so on for each control VM,
// $n1_callers, $n1_admin and so on for each node, and $VPCTL_API.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	controls, _ := strconv.Atoi(args[0])
	nodes, _ := strconv.Atoi(args[1])
	watch := "1s"
	if len(args) > 2 {
		watch = args[2]
	}
	voters := controls
	if len(args) > 3 {
		voters, _ = strconv.Atoi(args[3])
	}
	var links, apis, nodeLinks []string
	for range controls {
		links, apis = append(links, sample.FreeAddress()), append(apis, sample.FreeAddress())
	}
	for range nodes {
		nodeLinks = append(nodeLinks, sample.FreeAddress())
	}
	for i := range controls {
		name := fmt.Sprintf("c%d", i+1)
		peers := append(append([]string{}, links[:i]...), links[i+1:]...)
		writeScriptSettings(ts, name, map[string]any{
			"name": name, "zone": zoneName(i), "data": name, "api": apis[i], "link": links[i],
			"peers": peers, "replicas": voters, "snapshotEvery": 20,
			"rollout": map[string]string{"dwell": "1s", "watch": watch, "cold": "1s"},
		})
		ts.Setenv(name+"_api", apis[i])
	}
	ts.Setenv("VPCTL_API", strings.Join(apis, ","))
	for i := range nodes {
		name := fmt.Sprintf("n%d", i+1)
		settings := map[string]any{
			"name": name, "zone": zoneName(i), "callers": sample.FreeAddress(), "gate": sample.FreeAddress(),
			"link": nodeLinks[i], "admin": sample.FreeAddress(), "control": links, "seeds": nodeLinks, "grace": "5s",
		}
		writeScriptSettings(ts, name, settings)
		for _, key := range []string{"callers", "admin"} {
			ts.Setenv(name+"_"+key, settings[key].(string))
		}
	}
}

func zoneName(i int) string { return "tx-central-" + string(rune('a'+i%3)) }

func writeScriptSettings(ts *testscript.TestScript, name string, settings map[string]any) {
	data, err := json.Marshal(settings)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(name+".json"), data, 0o644))
}

func newCommand(ts *testscript.TestScript, args []string) *exec.Cmd {
	cmd := exec.Command(lookPath(ts, args[0]), args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"), "VPCTL_API="+ts.Getenv("VPCTL_API"))
	return cmd
}

func lookPath(ts *testscript.TestScript, name string) string {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if path := filepath.Join(dir, name); fileExists(path) {
			return path
		}
	}
	ts.Fatalf("%s is not in PATH", name)
	return ""
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// cmdRun starts a process in the background: run NAME PROGRAM ARGS. Its output is
// appended to NAME.log.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	newProcess := &process{cmd: newCommand(ts, args[1:]), ended: make(chan struct{}), log: log}
	newProcess.cmd.Stdout, newProcess.cmd.Stderr = log, log
	// The process gets its own process group, because the kernel sends SIGHUP to a
	// stopped process in an orphaned process group. The group of the tests becomes
	// orphaned if the shell that started them exits first.
	newProcess.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	ts.Check(newProcess.cmd.Start())
	go func() {
		_ = newProcess.cmd.Wait()
		_ = log.Close()
		close(newProcess.ended)
	}()
	stateOf(ts).processes[args[0]] = newProcess
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	"HUP": syscall.SIGHUP,
}

// cmdSignal sends a signal to processes: signal KILL|STOP|CONT|TERM|HUP NAME...
// After KILL it waits until the process has exited.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		process := stateOf(ts).processes[name]
		ts.Check(process.cmd.Process.Signal(signals[args[0]]))
		if args[0] == "KILL" {
			<-process.ended
		}
	}
}

// cmdEnded waits until a process has exited and checks its exit code:
// ended NAME CODE.
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	process := stateOf(ts).processes[args[0]]
	select {
	case <-process.ended:
	case <-time.After(20 * time.Second):
		ts.Fatalf("%s is still running", args[0])
	}
	if code := fmt.Sprint(process.cmd.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s exited with code %s, want %s:\n%s", args[0], code, args[1], ts.ReadFile(args[0]+".log"))
	}
}

// cmdEventually repeats a command until its output matches:
// eventually WITHIN REGEXP PROGRAM ARGS. With "!" it repeats the command until the
// command succeeds and its output does not match.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	within, err := time.ParseDuration(args[0])
	ts.Check(err)
	want := regexp.MustCompile("(?s)" + args[1])
	deadline := time.Now().Add(within)
	for {
		output, err := newCommand(ts, args[2:]).CombinedOutput()
		if want.Match(output) != neg && (err == nil || !neg) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("condition not met within %s: %s\n%s", within, args[1], output)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// cmdCapture sets a variable to the first capturing group of a match in the output
// of a command: capture VARIABLE REGEXP PROGRAM ARGS.
func cmdCapture(ts *testscript.TestScript, _ bool, args []string) {
	output, _ := newCommand(ts, args[2:]).CombinedOutput()
	match := regexp.MustCompile(args[1]).FindSubmatch(output)
	if match == nil {
		ts.Fatalf("no match of %s in\n%s", args[1], output)
	}
	ts.Setenv(args[0], string(match[1]))
}

// cmdPort sets a variable to a loopback address with a free port: port VARIABLE.
func cmdPort(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], sample.FreeAddress())
}

// cmdFetch sets a variable to the body of the response to a GET request:
// fetch VARIABLE ADDRESS PATH.
func cmdFetch(ts *testscript.TestScript, _ bool, args []string) {
	result := sendCall(context.Background(), args[1], "GET", args[2], nil)
	ts.Check(result.err)
	ts.Setenv(args[0], result.body)
}

// cmdKey sets a variable to a new idempotency key: key VARIABLE.
func cmdKey(ts *testscript.TestScript, _ bool, args []string) {
	id, err := uuid.NewV7()
	ts.Check(err)
	ts.Setenv(args[0], id.String())
}

// callResult is the response to a call, or the error if there was none.
type callResult struct {
	status  int
	outcome string
	body    string
	err     error
}

func (result callResult) String() string {
	return fmt.Sprintf("status=%d outcome=%s body=%q err=%v", result.status, result.outcome, result.body, result.err)
}

var httpClient = &http.Client{Timeout: 20 * time.Second}

func sendCall(ctx context.Context, address, method, path string, headers map[string]string) callResult {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return callResult{err: err}
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.Host = headers["Host"]
	response, err := httpClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, outcome: response.Header.Get("Vp-Outcome"), body: string(body), err: err}
}

// cmdCall makes a call and checks its result:
// call ADDRESS METHOD PATH REGEXP [within=D] [key=K] [timeout=MS] [host=H]
// [customer=C] [account-key=K] [leave=D]. With within=D it repeats the call until the result
// matches or D has passed. With leave=D the caller gives up after D; repeats of the
// call do not get more time. With "!" the result must not match. The regular
// expression is matched against "status=S outcome=O body=B err=E".
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	headers, within := map[string]string{}, time.Duration(0)
	ctx := context.Background()
	for _, option := range args[4:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "within":
			within, _ = time.ParseDuration(value)
		case "key":
			headers["Idempotency-Key"] = value
		case "timeout":
			headers["Vp-Timeout-Ms"] = value
		case "host":
			headers["Host"] = value
		case "customer":
			headers["Vp-Customer"] = value
		case "account-key":
			headers["Vp-Key"] = value
		case "leave":
			duration, _ := time.ParseDuration(value)
			timeoutCtx, cancel := context.WithTimeout(ctx, duration)
			defer cancel()
			ctx = timeoutCtx
		}
	}
	want := regexp.MustCompile("(?s)" + args[3])
	deadline := time.Now().Add(within)
	for {
		result := sendCall(ctx, args[0], args[1], args[2], headers)
		if want.MatchString(result.String()) != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("call %s %s: got %s, want %s", args[1], args[2], result, args[3])
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// load is a running load generator. Its counts are the number of all calls, of the
// calls with each outcome, and of good (status 200), bad (another status) and lost
// (error) calls.
type load struct {
	cancel context.CancelFunc
	ended  chan struct{}
	lock   sync.Mutex
	counts map[string]int
}

func (load *load) count(result callResult) {
	load.lock.Lock()
	defer load.lock.Unlock()
	load.counts["all"]++
	if result.outcome != "" {
		load.counts[result.outcome]++
	}
	switch {
	case result.err != nil:
		load.counts["lost"]++
	case result.status == http.StatusOK:
		load.counts["good"]++
	default:
		load.counts["bad"]++
	}
}

// cmdLoad starts to send calls at a constant rate to the addresses in turn, until
// unload: load NAME PER_SECOND PATH ADDRESS... [host=HOST] [account-key=K].
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	rate, _ := strconv.Atoi(args[1])
	path, addresses := args[2], args[3:]
	headers := map[string]string{}
	for name, header := range map[string]string{"host=": "Host", "account-key=": "Vp-Key"} {
		addresses = slices.DeleteFunc(slices.Clone(addresses), func(arg string) bool {
			value, ok := strings.CutPrefix(arg, name)
			if ok {
				headers[header] = value
			}
			return ok
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	newLoad := &load{cancel: cancel, ended: make(chan struct{}), counts: map[string]int{}}
	stateOf(ts).loads[args[0]] = newLoad
	go func() {
		defer close(newLoad.ended)
		var calls sync.WaitGroup
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				calls.Wait()
				return
			case <-ticker.C:
			}
			calls.Go(func() {
				newLoad.count(sendCall(context.Background(), addresses[i%len(addresses)], "GET", path, headers))
			})
		}
	}()
}

// cmdUnload stops a load generator, waits for its calls and checks its counts:
// unload NAME [COUNT<=N] [COUNT>=N]. COUNT is the name of a count, such as bad or
// good.
func cmdUnload(ts *testscript.TestScript, _ bool, args []string) {
	ended := stateOf(ts).loads[args[0]]
	ended.cancel()
	<-ended.ended
	ts.Logf("load %s: %v", args[0], ended.counts)
	for _, bound := range args[1:] {
		name, limit, atMost := strings.Cut(bound, "<=")
		if !atMost {
			name, limit, _ = strings.Cut(bound, ">=")
		}
		limitValue, err := strconv.Atoi(limit)
		ts.Check(err)
		if got := ended.counts[name]; atMost && got > limitValue || !atMost && got < limitValue {
			ts.Fatalf("load %s: %v, want %s", args[0], ended.counts, bound)
		}
	}
}

// cmdDamage corrupts a file: damage FILE append TEXT | flip OFFSET | cut BYTES.
// It appends the text, inverts the byte at the offset, or removes the given number
// of bytes from the end.
func cmdDamage(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	data, err := os.ReadFile(file)
	ts.Check(err)
	switch args[1] {
	case "append":
		data = append(data, args[2]...)
	case "flip":
		offset, _ := strconv.Atoi(args[2])
		data = bytes.Clone(data)
		data[offset] ^= 0xff
	case "cut":
		count, _ := strconv.Atoi(args[2])
		data = data[:len(data)-count]
	}
	ts.Check(os.WriteFile(file, data, 0o644))
}
