package replica

import (
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/consensus"
	"merlinhall/storage"
	"merlinhall/wire"
)

// Refusals of ForceNewGroup.
var (
	ErrNoGroup      = eris.New("replica: the data folder belongs to no group")
	ErrNotConfirmed = eris.New("replica: the confirmed position is not that of the data folder")
)

// forcedTermStep is added to the term of a forced group. The lost replicas may
// have seen terms that this one has not; orders of the new group must carry
// higher fences than theirs.
const forcedTermStep = 1 << 20

// Position is how far a replica's log reaches. Positions compare by term, then
// index.
type Position struct {
	Term  uint64 // of the last entry
	Index uint64 // of the last entry
}

// Less reports whether a log that ends at p is less complete than one that ends
// at q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// FolderInfo describes the data folder of a stopped replica.
type FolderInfo struct {
	ID      uint64
	Group   uint64
	State   consensus.HardState
	Last    Position
	Members []consensus.Member
}

// Inspect reads the data folder of a stopped replica. Errors wrap
// storage.ErrLocked while the replica runs, and storage.ErrCorrupt.
func Inspect(fs storage.FS) (FolderInfo, error) {
	store, recovered, err := openExisting(fs)
	if err != nil {
		return FolderInfo{}, err
	}
	defer store.Close()
	return describe(store, &recovered)
}

// openExisting opens a data folder that has a log. It does not create one: a
// mistyped path must not become a new replica.
func openExisting(fs storage.FS) (*storage.Store, consensus.Recovered, error) {
	exists, err := storage.HasLog(fs)
	if err != nil {
		return nil, consensus.Recovered{}, eris.Wrap(err, "replica: read the data folder")
	}
	if !exists {
		return nil, consensus.Recovered{}, ErrNoGroup
	}
	return storage.Open(fs, randomID)
}

func describe(store *storage.Store, r *consensus.Recovered) (FolderInfo, error) {
	info := FolderInfo{ID: store.ID(), Group: r.Group, State: r.State}
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
			return info, eris.Wrapf(err, "replica: members in entry %d", e.Index)
		}
	}
	return info, nil
}

// ForceNewGroup makes the stopped replica the only member of a new group, with
// all entries of its log, committed or not. It is the last resort after a
// majority has lost its disks: entries that only the lost replicas had are lost.
// The operator compares the positions of all remaining replicas, confirms the
// highest, and empties the folders of the others, which then join as learners.
// A replica of the former group ignores the new one, so two former members that
// are left running with their folders may go on beside it.
func ForceNewGroup(fs storage.FS, name string, confirmed Position, log *logrus.Entry) (FolderInfo, error) {
	store, recovered, err := openExisting(fs)
	if err != nil {
		return FolderInfo{}, err
	}
	defer store.Close()
	info, err := describe(store, &recovered)
	if err != nil {
		return info, err
	}
	if info.Group == 0 {
		return info, ErrNoGroup
	}
	if info.Last != confirmed {
		return info, eris.Wrapf(ErrNotConfirmed, "confirmed %+v, the log ends at %+v", confirmed, info.Last)
	}
	log.Warnf("forcing a new group: group %x, members %+v, last entry %+v", info.Group, info.Members, info.Last)
	next, err := forced(name, info)
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

// forced returns what makes the folder that of a group of one. It is saved as
// one batch, so an interruption leaves the former group or the new one.
func forced(name string, info FolderInfo) (*consensus.Output, error) {
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
