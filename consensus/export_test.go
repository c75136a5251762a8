package consensus

// Fault names a rule that a test switches off to show that its loss is caught.
type Fault string

// Planted faults.
const (
	FaultLearnerInQuorum Fault = "learner counted in the quorum"
	FaultCommitOldTerm   Fault = "older term committed by counting"
	FaultDropPreVote     Fault = "pre-vote dropped"
	FaultForgetVote      Fault = "vote not persisted"
	FaultIsolatedRead    Fault = "isolated leader reads without confirmation"
	FaultVoteInLease     Fault = "vote granted within the lease"
	FaultVoteAtStart     Fault = "vote granted right after a restart"
	FaultEchoStale       Fault = "clock and round of an ended term returned"
	FaultReuseRound      Fault = "read round used again"
	FaultChangeEarly     Fault = "members changed before an own commit"
	FaultLeadOn          Fault = "leader acts on after a handover"
)

// Plant switches a rule off.
func (c *Config) Plant(f Fault) {
	switch f {
	case FaultLearnerInQuorum:
		c.faults.learnerInQuorum = true
	case FaultCommitOldTerm:
		c.faults.commitOldTerm = true
	case FaultDropPreVote:
		c.faults.dropPreVote = true
	case FaultForgetVote:
		c.faults.forgetVote = true
	case FaultIsolatedRead:
		c.faults.unconfirmedRead = true
		c.faults.ignoreLease = true
	case FaultVoteInLease:
		c.faults.voteInLease = true
	case FaultVoteAtStart:
		c.faults.voteAtStart = true
	case FaultChangeEarly:
		c.faults.changeEarly = true
	case FaultLeadOn:
		c.faults.leadOn = true
	case FaultReuseRound:
		c.faults.reuseRound = true
	case FaultEchoStale:
		c.faults.echoStale = true
	}
}
