package consensus

import (
	"time"

	"merlinhall/actor"
)

// transfer is the state of a snapshot transfer to one follower. At most one chunk is
// in flight.
type transfer struct {
	snapshot Snapshot
	offset   uint64
	sent     bool // the chunk at offset is in flight
	sentAt   time.Duration
}

// chunkTimeout is the time after which an unacknowledged chunk is sent again. Until
// then, heartbeats carry no data.
const chunkTimeout = 500 * time.Millisecond

// maxSnapshotPreallocBytes limits the memory that is allocated for a snapshot before
// its data arrives.
const maxSnapshotPreallocBytes = 64 << 20

func newTransfer(s Snapshot) *transfer { return &transfer{snapshot: s} }

// incomingSnapshot is a partly received snapshot from the leader.
type incomingSnapshot struct {
	term, index uint64
	received    []byte
}

func (n *Node) sendChunk(to Member, p *progress, force bool) {
	if p.transfer.snapshot.Index != n.log.snapshot.Index {
		p.transfer = newTransfer(n.log.snapshot) // only the newest snapshot is on disk
	}
	t := p.transfer
	if t.sent && !force {
		return
	}
	total, read := t.snapshot.Size, uint64(0)
	if !t.sent || n.now >= t.sentAt+chunkTimeout {
		t.sent = true
		t.sentAt = n.now
		read = min(total-t.offset, uint64(n.cfg.SnapshotChunk))
	}
	n.send(to, Message{
		Kind:      MsgSnapshot,
		Term:      n.term,
		Index:     t.snapshot.Index,
		LogTerm:   t.snapshot.Term,
		Members:   t.snapshot.Members,
		Offset:    t.offset,
		Total:     total,
		ReadBytes: read,
		Sent:      n.now,
		Round:     n.lead.round,
	})
}

// handleChunkReply continues the transfer at the offset that the follower expects.
func (n *Node) handleChunkReply(m *Message, p *progress) {
	t := p.transfer
	if t == nil || m.Index != t.snapshot.Index || m.Offset > t.snapshot.Size {
		return
	}
	if m.Offset != t.offset {
		t.offset = m.Offset
		t.sent = false
		p.progressAt = n.now
	}
}

func (n *Node) handleSnapshot(m *Message) {
	if !n.followLeader(m) {
		return
	}
	if m.Index <= n.commit {
		n.incoming = nil
		n.reply(m, Message{Kind: MsgAppendReply, Index: n.commit})
		return
	}
	in := n.incomingFor(m)
	if m.Offset == uint64(len(in.received)) {
		in.received = append(in.received, m.Data...)
	}
	if uint64(len(in.received)) < m.Total {
		n.reply(m, Message{Kind: MsgSnapshotReply, Index: m.Index, Offset: uint64(len(in.received))})
		return
	}
	n.incoming = nil
	n.install(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.received})
	n.reply(m, Message{Kind: MsgAppendReply, Index: m.Index})
}

// incomingFor returns the partly received snapshot that m belongs to. Snapshots of
// different leaders at the same index may have different bytes, so the transfer
// restarts with a new term.
func (n *Node) incomingFor(m *Message) *incomingSnapshot {
	if n.incoming == nil || n.incoming.index != m.Index || n.incoming.term != m.Term {
		n.incoming = &incomingSnapshot{term: m.Term, index: m.Index, received: make([]byte, 0, min(m.Total, maxSnapshotPreallocBytes))}
	}
	return n.incoming
}

func (n *Node) install(s Snapshot) {
	actor.Invariant(s.Index > n.commit, "snapshot at entry %d is not newer than commit index %d", s.Index, n.commit)
	n.log.install(s)
	n.setCommit(s.Index)
	n.deliveredIndex = s.Index
	n.savedIndex = s.Index
	n.syncedIndex = min(n.syncedIndex, s.Index)
	n.members, n.memberIndex = s.Members, s.Index
	n.out.Install = &s
	n.out.Compacted = nil
}
