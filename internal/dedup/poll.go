package dedup

// Poll counts the answers of the witnesses to one attempt, separately for each
// active placement.
type Poll struct {
	// placements lists the witnesses of the key in each active placement.
	placements [][]string
	answers    map[string]Answer
}

// NewPoll returns a poll of the key's witnesses in each placement.
func NewPoll(key Key, placements [][]string) *Poll {
	poll := &Poll{answers: map[string]Answer{}}
	for _, nodes := range placements {
		poll.placements = append(poll.placements, ChooseWitnesses(key, nodes))
	}
	return poll
}

// Witnesses returns the nodes to ask, without duplicates.
func (poll *Poll) Witnesses() []string {
	var nodes []string
	seen := map[string]bool{}
	for _, witnesses := range poll.placements {
		for _, node := range witnesses {
			if !seen[node] {
				seen[node] = true
				nodes = append(nodes, node)
			}
		}
	}
	return nodes
}

// Add records the answer of a witness.
func (poll *Poll) Add(node string, answer Answer) { poll.answers[node] = answer }

// Won reports whether a majority of the witnesses of every placement has
// granted the claim.
func (poll *Poll) Won() bool { return poll.majority(Granted) }

// Unclaimed reports whether a majority of the witnesses of every placement
// knows of no claim, which means that no attempt has ever won a poll.
func (poll *Poll) Unclaimed() bool { return poll.majority(Free) }

// majority reports whether a majority of the witnesses of every placement has
// given an answer of this grade.
func (poll *Poll) majority(grade Grade) bool {
	for _, witnesses := range poll.placements {
		count := 0
		for _, node := range witnesses {
			if answer, ok := poll.answers[node]; ok && answer.Grade == grade {
				count++
			}
		}
		if count <= len(witnesses)/2 {
			return false
		}
	}
	return len(poll.placements) > 0
}

// Holder returns an attempt that holds a claim, if any witness has answered
// Held. If the answers come from Witness.Claim, it is an attempt other than the
// requesting one.
func (poll *Poll) Holder() (Attempt, bool) {
	for _, node := range poll.Witnesses() {
		if answer, ok := poll.answers[node]; ok && answer.Grade == Held {
			return answer.Holder, true
		}
	}
	return Attempt{}, false
}

// Decided reports whether the poll is complete: it has a majority for a grant
// or for no claim, or every witness has answered. Once there is such a
// majority, further answers do not change the outcome.
func (poll *Poll) Decided() bool {
	return poll.Won() || poll.Unclaimed() || len(poll.answers) >= len(poll.Witnesses())
}
