package raft

import "time"

// ReadIndex starts a linearizable read by asking a quorum to confirm this
// replica's leadership. A later Ready contains a ReadResult with the same token.
func (core *Core) ReadIndex(now time.Time, token uint64) error {
	if core.role != RoleLeader {
		return &NotLeaderError{Leader: core.leader}
	}
	if core.log.term(core.commit) != core.hardState.Term {
		core.deferredReads = append(core.deferredReads, token)
		return nil
	}
	core.startReads(now, token)
	return nil
}

// startReads starts a new confirmation round for the reads with the given tokens
// and sends its number to every other member.
func (core *Core) startReads(now time.Time, tokens ...uint64) {
	core.round++
	for _, token := range tokens {
		core.reads = append(core.reads, pendingRead{token: token, index: core.commit, round: core.round})
	}
	core.broadcast(now)
	core.finishReads()
}

// finishReads completes the pending reads whose round a quorum has confirmed.
func (core *Core) finishReads() {
	for len(core.reads) > 0 {
		read := core.reads[0]
		confirmed := core.hasQuorum(func(id string) bool {
			return id == core.id || core.progress[id].round >= read.round
		})
		if !confirmed {
			return
		}
		core.readResults = append(core.readResults, ReadResult{Token: read.token, Index: read.index, OK: true})
		core.reads = core.reads[1:]
	}
}
