package replica

import (
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/consensus"
	"merlinhall/storage"
	"merlinhall/wire"
)

// Errors of ForceNewGroup. Inspect returns ErrNoGroup too.
var (
	ErrNoGroup      = eris.New("replica: the data directory belongs to no group")
	ErrNotConfirmed = eris.New("replica: the confirmed position does not match the end of the log")
)

// forcedTermStep is added to the term of a forced group. The lost replicas may have
// seen terms that this one has not, and orders of the new group must carry higher
// fencing tokens than theirs.
const forcedTermStep = 1 << 20

// Position is the position of the last entry of a replica's log. Positions are ordered
// by term, then by index.
type Position struct {
	Term  uint64
	Index uint64
}

// Less reports whether a log that ends at p is less complete than one that ends at q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// DataDirInfo describes the data directory of a stopped replica.
type DataDirInfo struct {
	ID      uint64
	Group   uint64
	State   consensus.HardState
	Last    Position
	Members []consensus.Member
}

// Inspect reads the data directory of a stopped replica. Errors wrap storage.ErrLocked
// while the replica runs, and storage.ErrCorrupt when the directory is damaged.
func Inspect(fs storage.FS) (DataDirInfo, error) {
	store, recovered, err := openExisting(fs)
	if err != nil {
		return DataDirInfo{}, err
	}
	defer store.Close()
	return describeDataDir(store, &recovered)
}

// openExisting opens a data directory that contains a log. It does not create one, so
// that a mistyped path does not become a new replica.
func openExisting(fs storage.FS) (*storage.Store, consensus.Recovered, error) {
	exists, err := storage.HasLog(fs)
	if err != nil {
		return nil, consensus.Recovered{}, eris.Wrap(err, "replica: read the data directory")
	}
	if !exists {
		return nil, consensus.Recovered{}, ErrNoGroup
	}
	return storage.Open(fs, randomID)
}

func describeDataDir(store *storage.Store, r *consensus.Recovered) (DataDirInfo, error) {
	info := DataDirInfo{ID: store.ID(), Group: r.Group, State: r.State}
	info.Last = Position{Term: r.Base.Term, Index: r.Base.Index}
	info.Members = r.Base.Members
	for i := range r.Entries {
		e := &r.Entries[i]
		info.Last = Position{Term: e.Term, Index: e.Index}
		if e.Kind != consensus.EntryMembers {
			continue
		}
		info.Members = nil
		if err := wire.Unmarshal(e.Data, &info.Members); err != nil {
			return info, eris.Wrapf(err, "replica: decode the membership in entry %d", e.Index)
		}
	}
	return info, nil
}

// ForceNewGroup makes the stopped replica the only member of a new group. The group
// keeps all entries of the replica's log, committed or not. This is the last resort
// after a majority has lost its disks: entries that only the lost replicas had are
// lost.
//
// The operator compares the positions of all remaining replicas, confirms the highest,
// and empties the data directories of the others, which then join as learners. A
// replica of the former group ignores the new one, so two former members that keep
// running with their data may continue as a second group.
func ForceNewGroup(fs storage.FS, name string, confirmed Position, log *logrus.Entry) (DataDirInfo, error) {
	store, recovered, err := openExisting(fs)
	if err != nil {
		return DataDirInfo{}, err
	}
	defer store.Close()
	info, err := describeDataDir(store, &recovered)
	if err != nil {
		return info, err
	}
	if info.Group == 0 {
		return info, ErrNoGroup
	}
	if info.Last != confirmed {
		return info, eris.Wrapf(ErrNotConfirmed, "confirmed %+v, the log ends at %+v", confirmed, info.Last)
	}
	log.Warnf("forcing a new group: current group %x, members %+v, last entry %+v", info.Group, info.Members, info.Last)
	next, err := forcedGroupOutput(name, info)
	if err != nil {
		return info, err
	}
	if err := store.Save(next); err != nil {
		return info, err
	}
	info.Group = next.Group
	info.State = *next.State
	info.Last = Position{Term: next.State.Term, Index: info.Last.Index + 1}
	info.Members = []consensus.Member{{ID: info.ID, Name: name}}
	log.Warnf("forced new group %x with %s (id %x) as its only member", info.Group, name, info.ID)
	return info, nil
}

// forcedGroupOutput returns the consensus output that makes the replica the only member
// of a new group. It is saved as one batch, so an interruption leaves either the former
// group or the new one.
func forcedGroupOutput(name string, info DataDirInfo) (*consensus.Output, error) {
	members, err := wire.Marshal([]consensus.Member{{ID: info.ID, Name: name}})
	if err != nil {
		return nil, err
	}
	term := max(info.State.Term, info.Last.Term) + forcedTermStep
	return &consensus.Output{
		Group:  randomID(),
		State:  &consensus.HardState{Term: term, Vote: info.ID},
		Append: []consensus.Entry{{Index: info.Last.Index + 1, Term: term, Kind: consensus.EntryMembers, Data: members}},
	}, nil
}
