package consensus

import "time"

// campaignHeartbeats is the number of heartbeat intervals within which a campaign
// ends if all messages arrive.
const campaignHeartbeats = 2

// campaign starts a pre-vote, which changes no term, or an election.
func (c *core) campaign(as role) { c.requestVotes(as, false) }

// requestVotes starts a campaign. With transfer set, voters grant their votes
// even if they have contact with a leader.
func (c *core) requestVotes(as role, transfer bool) {
	c.becomeFollower(c.term)
	c.role = as
	c.votes = map[string]bool{}
	request := message{Type: msgPreVote, Term: c.term + 1, Transfer: transfer}
	if as == candidate {
		c.term++
		c.vote = c.id
		request.Type = msgVote
		request.Term = c.term
	}
	c.recordVote(c.id, true)
	if c.role != as {
		return
	}
	request.Index = c.log.lastIndex()
	request.LogTerm = c.log.lastTerm()
	c.voteRequest = request
	c.sendVoteRequests()
}

// sendVoteRequests sends the request of the current campaign to the voters that
// have not responded to it.
func (c *core) sendVoteRequests() {
	c.voteRequestsDue = c.now.Add(c.heartbeatInterval)
	request := c.voteRequest
	config := c.votingConfig()
	for _, slot := range sortedSlots(config) {
		_, responded := c.votes[slot]
		if !responded && config[slot] != 0 {
			request.To = MemberID{Slot: slot, Incarnation: config[slot]}
			c.send(request)
		}
	}
}

func (c *core) stepVote(m message) {
	response := message{Type: msgVoteResp, To: m.From, Term: m.Term}
	canVote := c.vote == m.From || c.vote == MemberID{} && c.leader == MemberID{}
	if m.Type == msgPreVote {
		response.Type = msgPreVoteResp
		canVote = m.Term > c.term
	}
	if !canVote || c.role == leader || !c.log.upToDate(m.Index, m.LogTerm) {
		response.Term = c.term
		response.Reject = true
		c.send(response)
		return
	}
	if m.Type == msgVote {
		c.vote = m.From
		c.resetElection()
	} else {
		c.deferCampaign(m)
	}
	c.send(response)
}

// deferCampaign puts off this member's campaign, or ends one that has not won, for
// that of another member which has just asked for a pre-vote: both together would
// split the votes. It does so once in a term, since the other member may be one that
// receives no responses.
func (c *core) deferCampaign(preVote message) {
	sameLog := preVote.Index == c.log.lastIndex() && preVote.LogTerm == c.log.lastTerm()
	precedes := c.role != preCandidate || !sameLog || preVote.From.Slot > c.id.Slot
	if preVote.Term <= c.deferredTerm || !precedes {
		return
	}
	c.deferredTerm = preVote.Term
	c.role = follower
	if earliest := c.now.Add(campaignHeartbeats * c.heartbeatInterval); c.electionDeadline.Before(earliest) {
		c.electionDeadline = earliest
	}
}

func (c *core) stepVoteResp(m message) {
	expectedRole := preCandidate
	if m.Type == msgVoteResp {
		expectedRole = candidate
	}
	granted := !m.Reject
	if m.Type == msgPreVoteResp && granted && m.Term != c.term+1 {
		return
	}
	if c.role == expectedRole && c.votingConfig().contains(m.From) {
		c.recordVote(m.From, granted)
	}
}

func (c *core) recordVote(from MemberID, granted bool) {
	c.votes[from.Slot] = granted
	count := 0
	for _, yes := range c.votes {
		if yes {
			count++
		}
	}
	if count < c.quorum() {
		return
	}
	if c.role == preCandidate {
		c.campaign(candidate)
		return
	}
	c.becomeLeader()
	c.appendEntry(Entry{Kind: entryNoop})
	c.broadcastAppend()
}

func (c *core) becomeLeader() {
	c.role = leader
	c.leader = c.id
	c.votes = nil
	c.transfer = transferState{}
	c.voters = map[string]*progress{}
	c.learners = map[string]*progress{}
	c.leavers = map[MemberID]time.Time{}
	c.updateVoters()
	for _, entry := range c.log.slice(c.log.applied+1, c.log.lastIndex()) {
		if entry.changesMembership() {
			c.pendingChangeIndex = entry.Index
		}
	}
	c.heartbeatDue = c.now
}

// updateVoters brings the progress records in line with the voting
// configuration. An admitted learner keeps its record.
func (c *core) updateVoters() {
	config := c.votingConfig()
	for slot := range c.voters {
		if config[slot] == 0 {
			delete(c.voters, slot)
		}
	}
	for slot, incarnation := range config {
		id := MemberID{Slot: slot, Incarnation: incarnation}
		if p := c.voters[slot]; p != nil && p.id != id {
			delete(c.voters, slot)
		}
		if slot == c.id.Slot || incarnation == 0 || c.voters[slot] != nil {
			continue
		}
		if p := c.learners[slot]; p != nil && p.id == id {
			c.voters[slot] = p
			delete(c.learners, slot)
			continue
		}
		c.voters[slot] = newProgress(id, c.log.lastIndex()+1, c.now)
	}
}
