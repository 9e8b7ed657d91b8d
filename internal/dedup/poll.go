package dedup

// Poll counts the witnesses' answers to one attempt, for every placement that
// is active.
type Poll struct {
	placements [][]string
	answers    map[string]Answer
}

// NewPoll returns a poll among the key's witnesses in each placement.
func NewPoll(key Key, placements [][]string) *Poll {
	poll := &Poll{answers: map[string]Answer{}}
	for _, nodes := range placements {
		poll.placements = append(poll.placements, ChooseWitnesses(key, nodes))
	}
	return poll
}

// Witnesses returns the nodes to ask, each once.
func (poll *Poll) Witnesses() []string {
	var nodes []string
	seen := map[string]bool{}
	for _, placement := range poll.placements {
		for _, node := range placement {
			if !seen[node] {
				seen[node] = true
				nodes = append(nodes, node)
			}
		}
	}
	return nodes
}

// Add counts a witness's answer.
func (poll *Poll) Add(node string, answer Answer) { poll.answers[node] = answer }

// Won reports whether a majority of the witnesses of every placement has
// granted the claim.
func (poll *Poll) Won() bool { return poll.majority(Granted) }

// Unclaimed reports whether a majority of the witnesses of every placement
// knows of no claim, so that no attempt has ever won one.
func (poll *Poll) Unclaimed() bool { return poll.majority(Free) }

func (poll *Poll) majority(grade Grade) bool {
	for _, placement := range poll.placements {
		count := 0
		for _, node := range placement {
			if answer, ok := poll.answers[node]; ok && answer.Grade == grade {
				count++
			}
		}
		if count <= len(placement)/2 {
			return false
		}
	}
	return len(poll.placements) > 0
}

// Holder returns another attempt that holds a claim, if any answer named one.
func (poll *Poll) Holder() (Attempt, bool) {
	for _, node := range poll.Witnesses() {
		if answer, ok := poll.answers[node]; ok && answer.Grade == Held {
			return answer.Holder, true
		}
	}
	return Attempt{}, false
}

// Decided reports whether further answers cannot change the outcome for the
// worse: the poll has a majority, or every witness has answered.
func (poll *Poll) Decided() bool {
	return poll.Won() || poll.Unclaimed() || len(poll.answers) >= len(poll.Witnesses())
}
