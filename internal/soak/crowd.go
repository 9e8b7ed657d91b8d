package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/crowd"
)

const (
	// maxCrowds limits the crowds of a run.
	maxCrowds = 2
	// crowdClients and crowdBytes are the clients of a crowd and the bytes that each
	// sends. Together they exceed what a process may keep of them.
	crowdClients = 200
	crowdBytes   = 512 << 10
)

// crowdPaths maps the listeners that speak HTTP to the method and the path of what a
// crowd sends there.
var crowdPaths = map[string][2]string{
	"callers": {"POST", "/depot/untrusted"},
	"gate":    {"POST", "/"},
	"admin":   {"POST", "/v1/announce"},
	"api":     {"POST", "/v1/apply"},
}

// crowdShapes returns what the clients of a crowd may send to a listener.
func crowdShapes(listener string) []crowd.Shape {
	target, speaksHTTP := crowdPaths[listener]
	if !speaksHTTP {
		return []crowd.Shape{crowd.LinkMessage(crowdBytes+100, crowdBytes), crowd.LinkMessage(1<<40, crowdBytes), crowd.UnreadLink(crowdBytes >> 10), crowd.Idle()}
	}
	method, path := target[0], target[1]
	return []crowd.Shape{
		crowd.LargeChunks(method, path, crowdBytes),
		crowd.ByteChunks(method, path, crowdBytes/8),
		crowd.AlmostWhole(method, path, crowdBytes),
		crowd.EndlessHeader(15 << 10),
		crowd.Unread("/metrics", 100),
		crowd.Idle(),
	}
}

// planCrowds draws crowds of untrusted clients from a source of random numbers of its
// own, so that the other faults of a seed stay the same.
func planCrowds(seed uint64, size size, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 6))
	var subjects []string
	for i := range size.controls {
		subjects = append(subjects, controlName(i)+"/api", controlName(i)+"/link")
	}
	for i := range size.nodes {
		for _, listener := range []string{"/callers", "/gate", "/admin", "/link"} {
			subjects = append(subjects, nodeName(i)+listener)
		}
	}
	var crowds []fault
	for range 1 + random.IntN(maxCrowds) {
		subject := subjects[random.IntN(len(subjects))]
		_, listener, _ := strings.Cut(subject, "/")
		crowds = append(crowds, fault{
			at:       time.Duration(random.Int64N(int64(period))),
			kind:     faultCrowd,
			subject:  subject,
			duration: minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration))),
			shape:    random.IntN(len(crowdShapes(listener))),
		})
	}
	return crowds
}

// sendCrowd plays a crowd against a listener. The process must stay within its memory.
func (fleet *fleet) sendCrowd(fault fault, process *process, history *history) {
	owner, listener, _ := strings.Cut(fault.subject, "/")
	clients := crowd.Start(context.Background(), fleet.addressOf(owner, listener), crowdClients, crowdShapes(listener)[fault.shape])
	time.Sleep(fault.duration)
	clients.Leave()
	process.checkMemory(history)
}

// addressOf returns the address of a listener of a process. Other clients than those of
// the admin address and the API reach a process through its forwarders.
func (fleet *fleet) addressOf(owner, listener string) string {
	switch listener {
	case "admin":
		return fleet.adminOf(owner)
	case "api":
		names := make([]string, fleet.size.controls)
		for i := range names {
			names[i] = controlName(i)
		}
		return fleet.apis[slices.Index(names, owner)]
	default:
		return fleet.forwarders[owner+"/"+listener].listener.Addr().String()
	}
}
