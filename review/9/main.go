// Case 9 has a target deregister, kills all processes at the same moment and lets a
// heartbeat of the target arrive late.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/vanillapulley/vanillapulley/review/stage"
)

const (
	service = "huvo11a"
	host    = "ficu95.example"
	path    = "/lohu00000/2f"
	// startTime is the time between the start of the machines and the first order, and
	// liveness is liveness_s.
	startTime = 8 * time.Second
	liveness  = 3 * time.Second
	// drain is drain_s, and serveOn is how long the target serves after it has left.
	drain   = 2 * time.Second
	serveOn = 10 * time.Second
	// lateness is how long after its sending the heartbeat arrives.
	lateness = 4 * time.Second
	// downTime is how long the processes are down.
	downTime = time.Second
	// pause is the time between two requests.
	pause = 50 * time.Millisecond
	// few is how many requests may cross.
	few = 0
)

func main() { stage.Main(run) }

func run(s *stage.Stage) (int, error) {
	controls, err := s.Core()
	if err != nil {
		return stage.Failed, err
	}
	var seeds []string
	for _, control := range controls[:3] {
		seeds = append(seeds, control.Link)
	}
	var nodes []*stage.Node
	var targets []*stage.Target
	for i, zone := range stage.Zones {
		node, err := s.NewNode(fmt.Sprintf("sidecar-%d", i+1), zone, service, seeds)
		if err != nil {
			return stage.Failed, err
		}
		if err := node.Start(); err != nil {
			return stage.Failed, err
		}
		target, err := s.NewTarget(fmt.Sprintf("i-7f3a91c%d", i), service, node)
		if err != nil {
			return stage.Failed, err
		}
		defer target.Exit()
		nodes, targets = append(nodes, node), append(targets, target)
	}
	time.Sleep(startTime)
	operator := s.NewOperator()
	if status := operator.Replace(controls, stage.NewConfig(1, 0, 2).Encode(), startTime); status != http.StatusOK {
		s.Note("the configuration got status %d", status)
		return stage.Failed, nil
	}
	client := stage.NewClient()
	send := func(node *stage.Node) stage.Answer {
		answer := client.Send(node, "GET", host, path, time.Second)
		s.Note("request %s at %s: status %d %q", answer.ID, node.Name, answer.Status, answer.Body)
		return answer
	}
	time.Sleep(liveness + time.Second)
	for range 20 {
		for _, node := range nodes {
			if send(node).Status != http.StatusOK {
				return stage.Failed, nil
			}
		}
	}
	leaving := targets[0]
	if len(leaving.Runs()) == 0 {
		s.Note("the target got no request: the case cannot run")
		return stage.Failed, nil
	}
	// The target has sent its last heartbeat, which is on its way.
	leaving.Silence()
	late, lateAt := leaving.Heartbeat("ready"), time.Now().Add(lateness)
	s.Note("%s sends a heartbeat that arrives late", leaving.ID)
	if !leaving.Deregister(time.Second) {
		s.Note("the departure was not acknowledged")
		return stage.Failed, nil
	}
	left := time.Now()
	s.Note("%s has left: acknowledged", leaving.ID)
	if stage.Trouble() {
		if err := restart(s, controls, nodes); err != nil {
			return stage.Failed, err
		}
	}
	back := time.Now()
	s.Note("all processes run")
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		time.Sleep(time.Until(lateAt))
		s.Note("the late heartbeat of %s arrives: status %d", leaving.ID, leaving.Deliver(late))
	}()
	time.Sleep(time.Until(back.Add(liveness + 200*time.Millisecond)))
	sent := map[string]time.Time{}
	served := 0
	for time.Since(left) < serveOn {
		for _, node := range nodes {
			answer := send(node)
			sent[answer.ID] = answer.Sent
			if answer.Status == http.StatusOK {
				served++
			}
		}
		time.Sleep(pause)
	}
	<-delivered
	reached := 0
	for _, run := range leaving.Runs() {
		if at, ok := sent[run.ID]; ok && at.Sub(left) > drain {
			reached++
			s.Note("%s ran request %s, sent %.3f s after the acknowledgement", leaving.ID, run.ID, at.Sub(left).Seconds())
		}
	}
	s.Note("%d requests sent by machines in touch, %d served, %d ran on the target that had left", len(sent), served, reached)
	if served == 0 {
		return stage.Failed, nil
	}
	if reached > few {
		return stage.Broken, nil
	}
	return stage.Held, nil
}

// restart kills all processes at the same moment and starts them again.
func restart(s *stage.Stage, controls []*stage.Control, nodes []*stage.Node) error {
	s.Note("all processes are killed")
	var procs []*stage.Proc
	for _, control := range controls {
		procs = append(procs, control.Proc)
	}
	for _, node := range nodes {
		procs = append(procs, node.Proc)
	}
	for _, proc := range procs {
		proc.Kill()
	}
	time.Sleep(downTime)
	for _, proc := range procs {
		if err := proc.Start(); err != nil {
			return err
		}
	}
	return nil
}
