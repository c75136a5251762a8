package consensus

import (
	"time"
)

func (n *Node) resetElection() {
	spread := n.cfg.ElectionMax - n.cfg.ElectionMin
	n.electionAt = n.now + n.cfg.ElectionMin + time.Duration(n.cfg.Rand.Int64N(int64(spread)+1))
}

const (
	// splitVoteDivisor and splitVoteSpreadDivisor divide the minimum election timeout into the
	// least time, and the random time on top of it, after which a candidate whose vote was refused
	// campaigns again: 100 to 300 ms with the default. The least is several round trips, so that
	// votes on their way can still arrive.
	splitVoteDivisor       = 6
	splitVoteSpreadDivisor = 3
)

// retryElection has a candidate campaign again soon after another voter refused it the vote: two
// candidates have divided the votes, and neither can count on a majority. With the whole timeout
// the group would be without a leader for up to ElectionMax more.
func (n *Node) retryElection() {
	spread := int64(n.cfg.ElectionMin / splitVoteSpreadDivisor)
	at := n.now + n.cfg.ElectionMin/splitVoteDivisor + time.Duration(n.cfg.Rand.Int64N(spread+1))
	n.electionAt = min(n.electionAt, at)
}

func (n *Node) tickFollower() {
	if n.departing {
		return
	}
	n.requestReadmission()
	if n.now < n.electionAt || !n.isVoter(n.cfg.ID) {
		return
	}
	n.leader = 0
	if n.cfg.faults.skipPreVote {
		n.campaign(false)
		return
	}
	n.preCampaign()
}

// preCampaign asks the voters whether an election could be won, without starting a
// new term. A replica that returns from a partition thus does not disrupt the leader.
func (n *Node) preCampaign() {
	n.resetElection()
	n.role = RoleCandidate
	n.preVoting = true
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.askVotes(Message{Kind: MsgPreVote, Term: n.term + 1})
	n.countVotes()
}

// campaign starts an election in a new term. released is true if the leader of the
// previous term has released its lease.
func (n *Node) campaign(released bool) {
	n.resetElection()
	n.role = RoleCandidate
	n.preVoting = false
	n.term++
	n.vote = n.cfg.ID
	n.leader = 0
	n.termLeader = 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.askVotes(Message{Kind: MsgVote, Term: n.term, Released: released})
	n.countVotes()
}

func (n *Node) askVotes(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, v := range n.voters() {
		if v.ID == n.cfg.ID {
			continue
		}
		n.send(v, m)
	}
}

// countVotes starts the election or becomes the leader once a majority of the voters
// has granted its pre-vote or vote.
func (n *Node) countVotes() {
	granted := 0
	voters := n.voters()
	for _, v := range voters {
		if n.votes[v.ID] {
			granted++
		}
	}
	if granted <= len(voters)/2 {
		return
	}
	if n.preVoting {
		n.campaign(false)
		return
	}
	n.becomeLeader(EntryNoOp, nil)
}

// withholdsVote reports whether n must not vote for another leader, because it is the
// leader or had contact with one within the minimum election timeout. The leader's
// lease relies on this.
func (n *Node) withholdsVote() bool {
	if n.cfg.faults.voteInLease {
		return false
	}
	return n.role == RoleLeader || n.now-n.lastContact < n.cfg.ElectionMin
}

// upToDate reports whether the sender's log is at least as up to date as that of n.
func (n *Node) upToDate(m *Message) bool {
	own := n.log.lastTerm()
	return m.LogTerm > own || (m.LogTerm == own && m.Index >= n.log.last())
}

func (n *Node) handlePreVote(m *Message) {
	n.recordRejoinRequest(m)
	if n.withholdsVote() {
		return
	}
	answer := Message{Kind: MsgPreVoteReply, Reject: m.Term <= n.term || !n.upToDate(m)}
	n.reply(m, answer)
	if !answer.Reject {
		// A granted pre-vote carries the term in which the sender would campaign.
		n.out.Messages[len(n.out.Messages)-1].Term = m.Term
	}
}

func (n *Node) handlePreVoteReply(m *Message) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role != RoleCandidate || !n.preVoting || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

func (n *Node) handleVote(m *Message) {
	if n.withholdsVote() && !n.releasedBy(m) {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	grant := m.Term == n.term && (n.vote == 0 || n.vote == m.From) && n.upToDate(m)
	if grant {
		n.vote = m.From
		n.resetElection()
	}
	n.reply(m, Message{Kind: MsgVoteReply, Reject: !grant})
}

func (n *Node) handleVoteReply(m *Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
		return
	}
	if n.role != RoleCandidate || n.preVoting || m.Term != n.term {
		return
	}
	if m.Reject {
		n.retryElection()
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}
