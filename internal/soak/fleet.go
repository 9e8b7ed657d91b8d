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

// size is how many processes a fleet has.
type size struct {
	controls int
	nodes    int
}

func controlName(i int) string { return fmt.Sprintf("c%d", i+1) }
func nodeName(i int) string    { return fmt.Sprintf("n%d", i+1) }

const (
	service = "depot-archive"
	slots   = 12
	// work is how long an upstream takes: long enough that each fault finds calls
	// in progress.
	work = 100 * time.Millisecond
	// ttl is how long an upstream's announcement holds.
	ttl = 2 * time.Second
	// grace is how long a stopped node waits for its calls.
	grace = 2 * time.Second
)

// fleet is the processes of one run, the forwarders between them and the
// upstreams beside the nodes.
type fleet struct {
	size   size
	folder string
	group  *tasks.Group

	processes map[string]*process
	// paths are the forwarders, by process and address.
	paths     map[string]*forwarder
	upstreams map[string]*upstream

	// apis, callers and admins are the addresses of control VMs and nodes.
	apis    []string
	callers []string
	admins  []string

	lock sync.Mutex
	// excuses are the times in which faults strike a process.
	excuses map[string][]span
}

// span is a time from one moment to another.
type span struct{ from, to time.Time }

// newFleet writes the settings of a fleet; vpd is the program to run.
func newFleet(size size, folder, vpd string) (*fleet, error) {
	fleet := &fleet{
		size: size, folder: folder, group: tasks.New(64),
		processes: map[string]*process{}, paths: map[string]*forwarder{}, upstreams: map[string]*upstream{},
		excuses: map[string][]span{},
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
	name, link := controlName(i), sample.FreeAddress()
	var peers []string
	for other, address := range links {
		if other != i {
			peers = append(peers, address)
		}
	}
	fleet.apis = append(fleet.apis, sample.FreeAddress())
	if err := fleet.forward(name+"/link", links[i], link); err != nil {
		return err
	}
	err := fleet.add(name, vpd, "control", map[string]any{
		"name": name, "zone": zoneOf(i), "data": name, "api": fleet.apis[i], "link": links[i], "listenLink": link,
		"peers": peers, "replicas": len(links), "snapshotEvery": 20,
	})
	if i == 0 && err == nil {
		fleet.processes[name].first = []string{"--init"}
	}
	return err
}

func (fleet *fleet) addNode(i int, links []string, vpd string) error {
	name := nodeName(i)
	listen := map[string]string{}
	reach := map[string]string{}
	for _, key := range []string{"callers", "gate", "link"} {
		listen[key], reach[key] = sample.FreeAddress(), sample.FreeAddress()
		if err := fleet.forward(name+"/"+key, reach[key], listen[key]); err != nil {
			return err
		}
	}
	admin, own, announced := sample.FreeAddress(), sample.FreeAddress(), sample.FreeAddress()
	if err := fleet.forward(name+"/upstream", announced, own); err != nil {
		return err
	}
	fleet.callers, fleet.admins = append(fleet.callers, reach["callers"]), append(fleet.admins, admin)
	fleet.upstreams[name+"/upstream"] = newUpstream(admin, own, announced, uint64(i))
	return fleet.add(name, vpd, "node", map[string]any{
		"name": name, "zone": zoneOf(i), "callers": listen["callers"], "admin": admin, "control": links,
		"gate": reach["gate"], "listenGate": listen["gate"], "link": reach["link"], "listenLink": listen["link"],
		"grace": grace.String(),
	})
}

func zoneOf(i int) string { return "tx-central-" + string(rune('a'+i%3)) }

func (fleet *fleet) forward(name, address, target string) error {
	made, err := newForwarder(address, target)
	fleet.paths[name] = made
	return err
}

const fileMode = 0o644

// add writes a process's settings.
func (fleet *fleet) add(name, path, role string, settings map[string]any) error {
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
	fleet.processes[name] = &process{name: name, path: path, args: []string{role, "-s", file}, dir: fleet.folder, log: log}
	return nil
}

// start begins everything; the forwarders and upstreams end with the context,
// the processes with stop.
func (fleet *fleet) start(ctx context.Context) error {
	for name, path := range fleet.paths {
		fleet.group.Go(ctx, name, path.run)
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

// stop ends all processes and waits for the rest, whose context has ended.
func (fleet *fleet) stop() {
	for _, process := range fleet.processes {
		if process.cmd == nil {
			continue
		}
		process.signal(syscall.SIGCONT)
		process.end(syscall.SIGKILL, grace)
		_ = process.log.Close()
	}
	fleet.group.Wait()
}

// upstream is a stand-in that is replaced now and then: it leaves, and another
// one comes.
type upstream struct {
	settings sample.Settings
	replace  chan time.Duration
	book     *book
}

func newUpstream(admin, address, reach string, seed uint64) *upstream {
	return &upstream{
		settings: sample.Settings{
			Service: service, Version: "v1", Address: address, Reach: reach, Admin: admin,
			Slots: slots, Delay: work, TTL: ttl, Now: time.Now, Random: rand.New(rand.NewPCG(seed, 2)),
		},
		replace: make(chan time.Duration, maxFaults),
	}
}

// run announces one life after the other until the context ends.
func (upstream *upstream) run(ctx context.Context) error {
	upstream.settings.Seen = func(request *fasthttp.RequestCtx) {
		upstream.book.ran(string(request.Path()))
	}
	for ctx.Err() == nil {
		life, leave := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- sample.New(upstream.settings).Run(life) }()
		pause := time.Duration(0)
		select {
		case <-ctx.Done():
		case pause = <-upstream.replace:
		}
		leave()
		if err := <-ended; err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}
