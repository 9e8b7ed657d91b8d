// Case 6 has two core machines lose their disks, one of them the leader, and once they have
// had their time two others, in a deployment whose tenants have quotas.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/vanillapulley/vanillapulley/review/stage"
)

const (
	// startTime is the time between the start of the machines and the first order, and
	// settleTime that between the first order and the first loss.
	startTime  = 10 * time.Second
	settleTime = 8 * time.Second
	// catchUp is catch_up_s of the site. The second loss comes slack later.
	catchUp = 6 * time.Second
	slack   = 50 * time.Millisecond
	// downTime is how long the machines are down.
	downTime = 500 * time.Millisecond
	// gap is the time between two changes.
	gap = 250 * time.Millisecond
	// ackTime is the time in which the operator expects an acknowledgement, and
	// readingTime how long the configuration is read at the end: recovery_s.
	ackTime     = 4 * time.Second
	readingTime = 15 * time.Second
	tenants     = 84
)

func main() { stage.Main(run) }

// order sends configurations, each based on the one before.
type order struct {
	stage    *stage.Stage
	operator *stage.Operator
	controls []*stage.Control
	config   stage.Config
}

// change sends the next configuration and reports whether it was acknowledged.
func (order *order) change() bool {
	next := order.config
	next.Base, next.Version = order.config.Version, order.config.Version+1
	status := order.operator.Replace(order.controls, next.Encode(), ackTime)
	order.stage.Note("configuration r%d: status %d", next.Version, status)
	if status != http.StatusOK {
		return false
	}
	order.config = next
	return true
}

// changeUntil sends configurations until a time and reports whether all were acknowledged.
func (order *order) changeUntil(end time.Time) bool {
	for time.Now().Before(end) {
		if !order.change() {
			return false
		}
		time.Sleep(min(gap, time.Until(end)))
	}
	return true
}

func run(s *stage.Stage) (int, error) {
	controls, err := s.Core()
	if err != nil {
		return stage.Failed, err
	}
	time.Sleep(startTime)
	order := &order{stage: s, operator: s.NewOperator(), controls: controls, config: stage.NewConfig(0, 0, 20)}
	for i := range tenants {
		order.config.Accounts = append(order.config.Accounts, stage.Account{
			Name: fmt.Sprintf("tenant-%d", i), Keys: []string{fmt.Sprintf("key-of-tenant-%d", i)}, RatePerS: 20, Burst: 10,
		})
	}
	if !order.changeUntil(time.Now().Add(settleTime)) {
		return stage.Failed, nil
	}
	var leader *stage.Control
	var others []*stage.Control
	for _, control := range controls {
		if leader == nil && order.operator.Leads(control) {
			leader = control
		} else {
			others = append(others, control)
		}
	}
	if leader == nil {
		s.Note("no machine leads: the case cannot run")
		return stage.Failed, nil
	}
	first, second := []*stage.Control{leader, others[0]}, others[1:3]
	if stage.Trouble() {
		if err := loseDisks(s, first); err != nil {
			return stage.Failed, err
		}
	}
	// The machines stop counting as lost.
	if !order.changeUntil(time.Now().Add(catchUp)) || !order.change() {
		return stage.Failed, nil
	}
	time.Sleep(slack)
	if stage.Trouble() {
		if err := loseDisks(s, second); err != nil {
			return stage.Failed, err
		}
	}
	read, ok := order.operator.Read(controls, readingTime)
	s.Note("configuration at the end: read %v, version r%d, acknowledged r%d", ok, read.Version, order.config.Version)
	if !ok || read.Version != order.config.Version {
		return stage.Broken, nil
	}
	return stage.Held, nil
}

// loseDisks kills machines, and starts them again with empty disks.
func loseDisks(s *stage.Stage, controls []*stage.Control) error {
	for _, control := range controls {
		control.Kill()
	}
	for _, control := range controls {
		if err := os.RemoveAll(control.Data); err != nil {
			return err
		}
		s.Note("%s has lost its disk", control.Name)
	}
	time.Sleep(downTime)
	for _, control := range controls {
		if err := control.Start(); err != nil {
			return err
		}
	}
	return nil
}
