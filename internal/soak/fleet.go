package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
)

// size is the number of control VMs and of nodes in a fleet.
type size struct {
	controls int
	nodes    int
	// grace and notice are the settings of the nodes for a planned stop.
	grace  time.Duration
	notice time.Duration
}

func controlName(i int) string { return fmt.Sprintf("c%d", i+1) }
func nodeName(i int) string    { return fmt.Sprintf("n%d", i+1) }

const (
	service = "depot-archive"
	slots   = 12
	// upstreamDelay is the response time of an upstream. It is long enough that
	// calls are in progress whenever a fault is injected.
	upstreamDelay = 100 * time.Millisecond
	// announcementTTL is how long the announcement of an upstream is valid.
	announcementTTL = 2 * time.Second
	// memoryMB is the memory limit of a process in MiB.
	memoryMB = 128
	// gracePeriod is how long a node that shuts down waits for its calls in
	// progress.
	gracePeriod = 2 * time.Second
)

// fleet holds the processes of one run, the forwarders between them and the
// upstreams of the nodes.
type fleet struct {
	size   size
	folder string
	group  *tasks.Group

	processes map[string]*process
	// forwarders and upstreams are keyed by the name of the process and the kind
	// of address, as in "n1/gate" and "n1/upstream". Calls of local callers arrive
	// at "callers", calls from other nodes at "gate", control connections at
	// "link", and the calls that a node passes to its upstream at "upstream".
	forwarders map[string]*forwarder
	upstreams  map[string]*upstream

	// apis are the API addresses of the control VMs; callers and admins are the
	// caller and admin addresses of the nodes.
	apis    []string
	callers []string
	admins  []string

	// lock guards faultWindows.
	lock sync.Mutex
	// faultWindows lists, for each process, when faults affected it.
	faultWindows map[string][]window
}

// window is an interval of time. It is planned if its fault is a planned stop.
type window struct {
	from, to time.Time
	planned  bool
}

// newFleet creates the forwarders of a fleet and writes the settings of its
// processes to the folder; vpd is the path of the program to run.
func newFleet(size size, folder, vpd string) (*fleet, error) {
	fleet := &fleet{
		size: size, folder: folder, group: tasks.New(64),
		processes: map[string]*process{}, forwarders: map[string]*forwarder{}, upstreams: map[string]*upstream{},
		faultWindows: map[string][]window{},
	}
	links := make([]string, size.controls)
	for i := range links {
		links[i] = sample.FreeAddress()
	}
	for i := range size.controls {
		if err := fleet.addControl(i, links, vpd); err != nil {
			return nil, err
		}
	}
	for i := range size.nodes {
		if err := fleet.addNode(i, links, vpd); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

func (fleet *fleet) addControl(i int, links []string, vpd string) error {
	name, listenLink := controlName(i), sample.FreeAddress()
	var peers []string
	for other, address := range links {
		if other != i {
			peers = append(peers, address)
		}
	}
	fleet.apis = append(fleet.apis, sample.FreeAddress())
	if err := fleet.addForwarder(name+"/link", links[i], listenLink); err != nil {
		return err
	}
	err := fleet.addProcess(name, vpd, "control", map[string]any{
		"name": name, "zone": zoneOf(i), "data": name, "api": fleet.apis[i], "link": links[i], "listenLink": listenLink,
		"peers": peers, "replicas": len(links), "snapshotEvery": 20, "memoryMB": memoryMB,
	})
	if i == 0 && err == nil {
		fleet.processes[name].firstArgs = []string{"--init"}
	}
	return err
}

func (fleet *fleet) addNode(i int, links []string, vpd string) error {
	name := nodeName(i)
	listen := map[string]string{}
	advertised := map[string]string{}
	for _, key := range []string{"callers", "gate", "link"} {
		listen[key], advertised[key] = sample.FreeAddress(), sample.FreeAddress()
		if err := fleet.addForwarder(name+"/"+key, advertised[key], listen[key]); err != nil {
			return err
		}
	}
	admin, upstreamAddress, announced := sample.FreeAddress(), sample.FreeAddress(), sample.FreeAddress()
	if err := fleet.addForwarder(name+"/upstream", announced, upstreamAddress); err != nil {
		return err
	}
	fleet.callers, fleet.admins = append(fleet.callers, advertised["callers"]), append(fleet.admins, admin)
	fleet.upstreams[name+"/upstream"] = newUpstream(admin, upstreamAddress, announced, uint64(i))
	return fleet.addProcess(name, vpd, "node", map[string]any{
		"name": name, "zone": zoneOf(i), "callers": listen["callers"], "admin": admin, "control": links,
		"gate": advertised["gate"], "listenGate": listen["gate"], "link": advertised["link"], "listenLink": listen["link"],
		"grace": fleet.size.grace.String(), "notice": fleet.size.notice.String(), "memoryMB": memoryMB,
	})
}

func zoneOf(i int) string { return "tx-central-" + string(rune('a'+i%3)) }

func (fleet *fleet) addForwarder(name, address, destination string) error {
	created, err := newForwarder(address, destination)
	fleet.forwarders[name] = created
	return err
}

const fileMode = 0o644

// addProcess writes the settings of a process and opens the file for its output.
func (fleet *fleet) addProcess(name, program, role string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return trace.Wrap(err)
	}
	file := filepath.Join(fleet.folder, name+".json")
	if err := os.WriteFile(file, data, fileMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	log, err := os.OpenFile(filepath.Join(fleet.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	fleet.processes[name] = &process{name: name, program: program, args: []string{role, "-s", file}, dir: fleet.folder, log: log}
	return nil
}

// start starts the forwarders, processes and upstreams. The forwarders and
// upstreams run until the context is done, the processes until stop is called.
func (fleet *fleet) start(ctx context.Context) error {
	for name, forwarder := range fleet.forwarders {
		fleet.group.Go(ctx, name, forwarder.run)
	}
	for _, process := range fleet.processes {
		if err := process.start(); err != nil {
			return err
		}
	}
	for name, upstream := range fleet.upstreams {
		fleet.group.Go(ctx, name, upstream.run)
	}
	return nil
}

// stop kills all processes and waits for the forwarders and upstreams. The caller
// must have canceled the context given to start.
func (fleet *fleet) stop() {
	for _, process := range fleet.processes {
		if process.cmd == nil {
			continue
		}
		process.signal(syscall.SIGCONT)
		process.terminate(syscall.SIGKILL, gracePeriod)
		_ = process.log.Close()
	}
	fleet.group.Wait()
}

// upstream runs simulated upstreams at one address, one after the other. To replace
// one, it shuts the current upstream down, which tells its node that it is leaving,
// and starts the next after a downtime.
type upstream struct {
	settings sample.Settings
	// replacements receives the downtime of each replacement.
	replacements chan time.Duration
	history      *history
	limitCheck   limitCheck
}

func newUpstream(admin, address, announced string, seed uint64) *upstream {
	return &upstream{
		settings: sample.Settings{
			Service: service, Version: "v1", Address: address, AnnouncedAddress: announced, Admin: admin,
			Slots: slots, Delay: upstreamDelay, TTL: announcementTTL, Now: time.Now, Random: rand.New(rand.NewPCG(seed, 2)),
		},
		replacements: make(chan time.Duration, maxFaults),
	}
}

// run runs one upstream after the other until the context is done.
func (upstream *upstream) run(ctx context.Context) error {
	upstream.settings.OnCall = func(exchange *fasthttp.RequestCtx) {
		upstream.history.recordRun(string(exchange.Path()))
		time.Sleep(workOf(string(exchange.Path())))
		upstream.limitCheck.recordArrival(upstream.history)
	}
	upstream.settings.LimitPerSecond = upstream.limitCheck.limit
	for ctx.Err() == nil {
		runCtx, cancelRun := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- sample.New(upstream.settings).Run(runCtx) }()
		downtime := time.Duration(0)
		select {
		case <-ctx.Done():
		case downtime = <-upstream.replacements:
		}
		cancelRun()
		if err := <-ended; err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(downtime):
		}
	}
	return nil
}
