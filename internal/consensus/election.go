package consensus

// campaign starts a pre-vote, which leaves terms alone, or an election.
func (c *core) campaign(as role) { c.requestVotes(as, false) }

// requestVotes campaigns. With transfer, voters do not refuse because they hear
// a leader.
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
	c.countVote(c.id, true)
	if c.role != as {
		return
	}
	request.Index = c.log.lastIndex()
	request.LogTerm = c.log.lastTerm()
	voting := c.voting()
	for _, slot := range sortedSlots(voting) {
		if slot != c.id.Slot && voting[slot] != 0 {
			request.To = MemberID{Slot: slot, Incarnation: voting[slot]}
			c.send(request)
		}
	}
}

func (c *core) stepVote(m message) {
	response := message{Type: msgVoteResp, To: m.From, Term: m.Term}
	free := c.vote == m.From || c.vote == MemberID{} && c.leader == MemberID{}
	if m.Type == msgPreVote {
		response.Type = msgPreVoteResp
		free = m.Term > c.term
	}
	if !free || c.role == leader || !c.log.upToDate(m.Index, m.LogTerm) {
		response.Term = c.term
		response.Reject = true
		c.send(response)
		return
	}
	if m.Type == msgVote {
		c.vote = m.From
		c.resetElection()
	}
	c.send(response)
}

func (c *core) stepVoteResp(m message) {
	wanted := preCandidate
	if m.Type == msgVoteResp {
		wanted = candidate
	}
	granted := !m.Reject
	if m.Type == msgPreVoteResp && granted && m.Term != c.term+1 {
		return
	}
	if c.role == wanted && c.voting().names(m.From) {
		c.countVote(m.From, granted)
	}
}

func (c *core) countVote(from MemberID, granted bool) {
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
	c.appendOwn(Entry{Kind: entryNoop})
	c.broadcastAppend()
}

func (c *core) becomeLeader() {
	c.role = leader
	c.leader = c.id
	c.votes = nil
	c.transfer = transferState{}
	c.peers = map[string]*progress{}
	c.learners = map[string]*progress{}
	c.setPeers()
	for _, entry := range c.log.slice(c.log.applied+1, c.log.lastIndex()) {
		if entry.changesMembers() {
			c.pendingReplace = entry.Index
		}
	}
	c.heartbeatDue = c.now
}

// setPeers makes the progress records agree with the configuration.
func (c *core) setPeers() {
	voting := c.voting()
	for slot := range c.peers {
		if voting[slot] == 0 {
			delete(c.peers, slot)
		}
	}
	for slot, incarnation := range voting {
		id := MemberID{Slot: slot, Incarnation: incarnation}
		if p := c.peers[slot]; p != nil && p.id != id {
			delete(c.peers, slot)
		}
		if slot == c.id.Slot || incarnation == 0 || c.peers[slot] != nil {
			continue
		}
		if p := c.learners[slot]; p != nil && p.id == id {
			c.peers[slot] = p
			delete(c.learners, slot)
			continue
		}
		c.peers[slot] = newProgress(id, c.log.lastIndex()+1, c.now)
	}
}
