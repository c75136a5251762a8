package consensus

// Fault names a rule that a test disables to show that the checks detect its absence.
type Fault string

// Faults that can be injected.
const (
	FaultCountLearners      Fault = "learner counted in the quorum"
	FaultCommitOldTerm      Fault = "older term committed by counting"
	FaultSkipPreVote        Fault = "pre-vote dropped"
	FaultForgetVote         Fault = "vote not persisted"
	FaultIsolatedRead       Fault = "isolated leader reads without confirmation"
	FaultVoteInLease        Fault = "vote granted within the lease"
	FaultVoteAtStart        Fault = "vote granted right after a restart"
	FaultEchoEndedTerm      Fault = "clock and round of an ended term echoed"
	FaultReuseRound         Fault = "read round reused"
	FaultChangeBeforeCommit Fault = "members changed before a commit in the own term"
	FaultLeadAfterHandover  Fault = "leader remains leader after a handover"
)

// InjectFault disables the rule that f names.
func (c *Config) InjectFault(f Fault) {
	switch f {
	case FaultCountLearners:
		c.faults.countLearners = true
	case FaultCommitOldTerm:
		c.faults.commitOldTerm = true
	case FaultSkipPreVote:
		c.faults.skipPreVote = true
	case FaultForgetVote:
		c.faults.forgetVote = true
	case FaultIsolatedRead:
		c.faults.unconfirmedRead = true
		c.faults.ignoreLease = true
	case FaultVoteInLease:
		c.faults.voteInLease = true
	case FaultVoteAtStart:
		c.faults.voteAtStart = true
	case FaultChangeBeforeCommit:
		c.faults.changeBeforeCommit = true
	case FaultLeadAfterHandover:
		c.faults.leadAfterHandover = true
	case FaultReuseRound:
		c.faults.reuseRound = true
	case FaultEchoEndedTerm:
		c.faults.echoEndedTerm = true
	}
}
