package distr

import (
	"cmp"
	"slices"
	"time"
)

// Observe adds the counts of an observation to the next report.
func (core *Core) Observe(observation Observation) {
	key := observationKey{route: observation.Route, version: observation.Version, class: observation.Class, epoch: observation.Epoch}
	total, ok := core.observations[key]
	if !ok {
		total = &Observation{Route: observation.Route, Version: observation.Version, Class: observation.Class, Epoch: observation.Epoch}
		core.observations[key] = total
	}
	total.merge(observation)
}

// TakeObservations returns and clears the observations collected since the last
// call, sorted by route, version, class and epoch. The owner of a root uses it to read
// what the tree has reported.
func (core *Core) TakeObservations() []Observation {
	observations := make([]Observation, 0, len(core.observations))
	for _, observation := range core.observations {
		observations = append(observations, *observation)
	}
	clear(core.observations)
	slices.SortFunc(observations, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Epoch, b.Epoch))
	})
	return observations
}

func (core *Core) receiveReport(from *link, report Report) {
	if from.role != RoleChild {
		return
	}
	for _, observation := range report.Observations {
		core.Observe(observation)
	}
	report.Observations = nil
	from.report, from.reported = report, true
}

// SubtreeReport returns the lowest version in force in the subtree of this
// node, the number of its nodes, and whether one of them can accept a child. On
// a root, the number of nodes does not include the root itself. A child that
// has not reported yet counts as one node with version zero.
func (core *Core) SubtreeReport() Report {
	report := Report{Version: core.config.Version(), Count: 1}
	if core.settings.Root {
		report.Count = 0
	}
	children := core.linksWithRole(RoleChild)
	for _, child := range children {
		if !child.reported {
			report.Version, report.Count = 0, report.Count+1
			continue
		}
		report.Version = min(report.Version, child.report.Version)
		report.Count += child.report.Count
		report.Room = report.Room || child.report.Room
	}
	report.Room = report.Room || len(children) < core.settings.MaxChildren
	return report
}

// sendReport sends a report to the parent: immediately if the subtree's version
// changed, at the observation interval if there are observations, and otherwise
// at the report interval.
func (core *Core) sendReport(now time.Time) {
	if core.parent == nil || core.parent.role != RoleParent {
		return
	}
	report := core.SubtreeReport()
	urgent := report.Version != core.lastReport.Version
	observed := len(core.observations) > 0 && !now.Before(core.nextObservations)
	if !urgent && !observed && now.Before(core.nextReport) {
		return
	}
	core.nextReport = now.Add(core.settings.Timing.Report)
	core.nextObservations = now.Add(core.settings.Timing.Observe)
	core.lastReport = report
	report.Observations = core.TakeObservations()
	core.send(core.parent, Message{Report: &report})
}
