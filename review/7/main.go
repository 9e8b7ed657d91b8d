// Case 7 replaces three of five core machines as planned: the new ones first, and once they
// have had their time, SIGTERM to the old ones, one after the other. With VARIANT=disks, it
// replaces one, and then two others lose their disks.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/vanillapulley/vanillapulley/review/stage"
)

const (
	// startTime is the time between the start of the machines and the first order.
	startTime = 8 * time.Second
	// successorTime is how long the new machines run before the old ones are removed:
	// three times catch_up_s.
	successorTime = 12 * time.Second
	// removalGap is the time between two removals.
	removalGap = time.Second
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 6 * time.Second
	// ackTime is the time in which the operator expects an acknowledgement, and
	// readingTime how long the configuration is read at the end: recovery_s.
	ackTime     = 4 * time.Second
	readingTime = 15 * time.Second
	// spares is the number of spare machines of the site.
	spares = 3
	// downTime is how long the machines that lose their disks are down, and lostDisks
	// their number: fault_tolerance.
	downTime  = 800 * time.Millisecond
	lostDisks = 2
)

func main() { stage.Main(run) }

func run(s *stage.Stage) (int, error) {
	controls, err := s.Core()
	if err != nil {
		return stage.Failed, err
	}
	time.Sleep(startTime)
	operator := s.NewOperator()
	config := stage.NewConfig(7, 0, 20)
	if !send(s, operator, controls, config, 2*ackTime) {
		return stage.Failed, nil
	}
	// The seeds of the new machines are core machines that serve control at that time.
	var seeds []string
	for _, control := range controls[2:] {
		seeds = append(seeds, control.Link)
	}
	replaced, losesDisks := spares, os.Getenv("VARIANT") == "disks"
	if losesDisks {
		replaced = 1
	}
	s.Note("%d machines are replaced, and others lose their disks: %v", replaced, losesDisks)
	links, err := stage.FreeAddresses(replaced)
	if err != nil {
		return stage.Failed, err
	}
	all := controls
	for i, link := range links {
		control, err := s.NewControl(fmt.Sprintf("core-%d", len(controls)+1+i), stage.Zones[i], link, seeds, false)
		if err != nil {
			return stage.Failed, err
		}
		if err := control.Start(); err != nil {
			return stage.Failed, err
		}
		all = append(all, control)
	}
	time.Sleep(successorTime)
	for _, control := range all[len(controls):] {
		read, ok := operator.Read([]*stage.Control{control}, ackTime)
		s.Note("%s answers a read with version r%d: %v", control.Name, read.Version, ok)
		if !ok || read.Version != config.Version {
			s.Note("a new machine has not caught up: the case cannot run")
			return stage.Failed, nil
		}
	}
	next := config
	next.Base, next.Version = config.Version, config.Version+5
	next.Routes = next.Routes[:19]
	if !send(s, operator, all, next, ackTime) {
		return stage.Failed, nil
	}
	left := all
	if stage.Trouble() {
		left = all[replaced:]
		for _, control := range controls[:replaced] {
			control.Signal(syscall.SIGTERM)
			time.Sleep(removalGap)
		}
		for _, control := range controls[:replaced] {
			if !control.Await(graceTime) {
				control.Kill()
			}
			s.Note("%s is gone for good", control.Name)
		}
		if losesDisks {
			next, err = loseDisks(s, operator, left, next)
			if err != nil {
				return stage.Failed, err
			}
		}
	}
	read, ok := operator.Read(left, readingTime)
	s.Note("configuration at the end: read %v, version r%d, acknowledged r%d", ok, read.Version, next.Version)
	next.Base, next.Version = next.Version, next.Version+2
	s.Note("a further change is acknowledged: %v", send(s, operator, left, next, ackTime))
	if !ok || read.Version != next.Base {
		return stage.Broken, nil
	}
	return stage.Held, nil
}

// send sends a configuration and reports whether it was acknowledged.
func send(s *stage.Stage, operator *stage.Operator, controls []*stage.Control, config stage.Config, limit time.Duration) bool {
	status := operator.Replace(controls, config.Encode(), limit)
	s.Note("configuration r%d on r%d: status %d", config.Version, config.Base, status)
	return status == http.StatusOK
}

// loseDisks has the first of the machines lose their disks right after a configuration was
// acknowledged, which it returns. They come back empty.
func loseDisks(s *stage.Stage, operator *stage.Operator, controls []*stage.Control, config stage.Config) (stage.Config, error) {
	config.Base, config.Version = config.Version, config.Version+1
	if !send(s, operator, controls, config, ackTime) {
		return config, errors.New("the last change was not acknowledged")
	}
	lost := controls[:lostDisks]
	for _, control := range lost {
		control.Kill()
	}
	for _, control := range lost {
		if err := os.RemoveAll(control.Data); err != nil {
			return config, err
		}
		s.Note("%s has lost its disk", control.Name)
	}
	time.Sleep(downTime)
	for _, control := range lost {
		if err := control.Start(); err != nil {
			return config, err
		}
	}
	return config, nil
}
