// Case 10 changes the time-outs of routes to values with a fraction of a millisecond and
// reads the configuration back.
package main

import (
	"net/http"
	"time"

	"github.com/vanillapulley/vanillapulley/review/stage"
)

const (
	// startTime is the time between the start of the machines and the first order.
	startTime = 5 * time.Second
	// ackTime is the time in which the operator expects an acknowledgement, and liveness
	// is liveness_s, for which the configuration is read at the end.
	ackTime  = 4 * time.Second
	liveness = 3 * time.Second
	routes   = 40
)

func main() { stage.Main(run) }

func run(s *stage.Stage) (int, error) {
	controls, err := s.Core()
	if err != nil {
		return stage.Failed, err
	}
	time.Sleep(startTime)
	operator := s.NewOperator()
	config := stage.NewConfig(1, 0, routes)
	if status := operator.Replace(controls, config.Encode(), 2*ackTime); status != http.StatusOK {
		s.Note("the first configuration got status %d", status)
		return stage.Failed, nil
	}
	config.Base, config.Version = 1, 2
	for i := range config.Routes {
		// Objectives from 0.25 s and time-outs from 1 s, in steps of 1 ms or, with the
		// change, of 0.3 ms.
		step := 1.0
		if stage.Trouble() {
			step = 0.3
		}
		config.Routes[i].ObjectiveMs = float64(2500+int(10*step)*i) / 10
		config.Routes[i].TimeoutMs = float64(10240+int(10*step)*i) / 10
	}
	status := operator.Replace(controls, config.Encode(), ackTime)
	s.Note("configuration r2: status %d", status)
	if status != http.StatusOK {
		return stage.Failed, nil
	}
	different := 0
	for end := time.Now().Add(liveness); time.Now().Before(end); time.Sleep(liveness / 3) {
		for _, control := range controls {
			read, ok := operator.Read([]*stage.Control{control}, ackTime)
			if !ok || read.Version != config.Version {
				s.Note("%s: read %v, version r%d", control.Name, ok, read.Version)
				return stage.Failed, nil
			}
			found := compare(s, control, config, read)
			s.Note("%s: r%d read, %d values differ from what was sent", control.Name, read.Version, found)
			different += found
		}
	}
	if different > 0 {
		return stage.Broken, nil
	}
	return stage.Held, nil
}

// compare returns the number of times that differ between the routes of two configurations.
func compare(s *stage.Stage, control *stage.Control, sent, read stage.Config) int {
	byName := map[string]stage.Route{}
	for _, route := range read.Routes {
		byName[route.Name] = route
	}
	different := 0
	for _, route := range sent.Routes {
		got := byName[route.Name]
		if got.TimeoutMs != route.TimeoutMs {
			different++
			s.Note("%s: route %s: timeoutMs sent %v, read %v", control.Name, route.Name, route.TimeoutMs, got.TimeoutMs)
		}
		if got.ObjectiveMs != route.ObjectiveMs {
			different++
			s.Note("%s: route %s: objectiveMs sent %v, read %v", control.Name, route.Name, route.ObjectiveMs, got.ObjectiveMs)
		}
	}
	return different
}
