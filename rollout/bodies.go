package rollout

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// bodyPartBytes is the size of one chunk of a body on a link.
	bodyPartBytes = 1 << 20
	// maxQueuedBytes is the size of what may wait on a link when a chunk is sent. It leaves
	// room for the other messages of the link, among them those of the replicated log, in a
	// queue of 8 MB.
	maxQueuedBytes = 2 << 20
	// queuePollPeriod is the time between two checks of that size.
	queuePollPeriod = 5 * time.Millisecond
	// chunkTimeout bounds the wait for room on a link. It is below resendAfter and
	// fetchTimeout, so that a body is not sent twice at a time.
	chunkTimeout = 1 * time.Second
	// maxBodyBytes bounds the body of one group.
	maxBodyBytes = 256 << 20
	// maxAssemblies bounds the bodies that are received concurrently.
	maxAssemblies = 128
	// resendAfter is the time after which a body is sent again to a replica that
	// has not confirmed it.
	resendAfter = 2 * time.Second
	// fetchTimeout bounds the wait for a peer to send a body.
	fetchTimeout = 3 * time.Second
	// maxFetches bounds the concurrent fetches of bodies. A replica that lost its disk
	// fetches this many at each tick of the coordinator, 1,536 bodies in 3 s.
	maxFetches = 64
	// lossAfter is how long the leader tries to fetch a body that no connected replica
	// has before its group is generated again.
	lossAfter = 5 * time.Second
	// repairPeriod is the interval between checks for missing and unused bodies.
	repairPeriod = 1 * time.Second
)

func uintText(v uint64) string { return strconv.FormatUint(v, 10) }

// bodies is the state of body replication. The coordinator's goroutine owns it.
type bodies struct {
	replications map[wire.BodyKey]*replication
	assemblies   map[wire.BodyKey]*assembly
	fetches      map[wire.BodyKey]*fetch
	putWaiters   map[wire.BodyKey][]sender // replicas to notify when a put is durable
	sending      map[bodySend]bool         // bodies on their way to replicas
	repairAt     time.Time
}

// bodySend is a body that is being sent to a replica.
type bodySend struct {
	peer string
	key  wire.BodyKey
}

// replication is a body that is being stored on a majority of the replicas.
type replication struct {
	commit   CommitGroup
	data     []byte
	syncedOn map[string]bool
	sentAt   time.Time
	proposed bool
}

// assembly is a partially received body.
type assembly struct {
	data        []byte
	lastChunkAt time.Time
}

// fetch is the state of fetching a body that this replica lacks from its peers.
type fetch struct {
	since       time.Time
	peer        string
	requestedAt time.Time
	missing     map[string]bool // replicas without an intact copy
	lost        bool            // proposed as lost
}

func (b *bodies) init() {
	b.replications = map[wire.BodyKey]*replication{}
	b.assemblies = map[wire.BodyKey]*assembly{}
	b.fetches = map[wire.BodyKey]*fetch{}
	b.putWaiters = map[wire.BodyKey][]sender{}
	b.sending = map[bodySend]bool{}
}

// replicateGroup stores a complete group on this replica and its peers.
func (c *Coordinator) replicateGroup(now time.Time, s StoreGroup) {
	data, digest := encodeBody(s.Body)
	s.Commit.Key.Digest = digest
	s.Commit.Size = len(data)
	key := s.Commit.Key
	c.bodies.replications[key] = &replication{commit: s.Commit, data: data, syncedOn: map[string]bool{}, sentAt: now}
	c.put(key, data)
	for _, peer := range c.peers() {
		c.sendBody(peer, key, data)
	}
}

func (c *Coordinator) peers() []string {
	var peers []string
	for _, name := range c.options.Replicas() {
		if name != c.options.Name {
			peers = append(peers, name)
		}
	}
	return peers
}

// sendBody sends a body to a replica in a new goroutine, unless that is in progress: two
// bodies of a key that arrive at a time discard each other's chunks.
func (c *Coordinator) sendBody(peer string, key wire.BodyKey, data []byte) {
	conn, send := c.links.newest(peer), bodySend{peer, key}
	if conn == nil || c.bodies.sending[send] {
		return
	}
	c.bodies.sending[send] = true
	c.storeWork.Go(func() {
		sendChunks(conn, len(data), func(offset, end int) wire.Message {
			return &wire.PutBody{Key: key, Offset: offset, Size: len(data), Data: data[offset:end]}
		})
		c.enqueue(send)
	})
}

// sendChunks sends a body of the given size in chunks. It gives up if the link ends or has
// no room for chunkTimeout.
func sendChunks(conn sender, size int, chunk func(offset, end int) wire.Message) {
	for offset := 0; offset < size; offset += bodyPartBytes {
		if !awaitRoom(conn) || conn.Send(chunk(offset, min(offset+bodyPartBytes, size))) != nil {
			return
		}
	}
}

// awaitRoom waits until less than maxQueuedBytes wait on a link. It returns false after
// chunkTimeout.
func awaitRoom(conn sender) bool {
	l, ok := conn.(interface{ QueuedBytes() int })
	for end := time.Now().Add(chunkTimeout); ok && l.QueuedBytes() > maxQueuedBytes; time.Sleep(queuePollPeriod) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// put stores a body in a new goroutine, because a sync may take long.
func (c *Coordinator) put(key wire.BodyKey, data []byte) {
	c.storeWork.Go(func() {
		err := c.store.Put(key, data)
		c.enqueue(putDone{key, err})
	})
}

func (c *Coordinator) putDone(m putDone) {
	if m.err != nil {
		c.options.Log.Errorf("storing the body of group %d of step %d failed: %v", m.key.Group, m.key.Step, m.err)
	}
	stored := &wire.BodyStored{Key: m.key}
	if m.err != nil {
		stored.Error = m.err.Error()
	}
	for _, conn := range c.bodies.putWaiters[m.key] {
		_ = conn.Send(stored)
	}
	delete(c.bodies.putWaiters, m.key)
	if m.err == nil {
		if c.bodies.fetches[m.key] != nil {
			delete(c.bodies.fetches, m.key)
			c.bodies.repairAt = time.Time{}
		}
		c.changes.notify()
		c.countCopy(c.options.Name, m.key)
	}
}

// countCopy records a replica's copy and proposes the commit once a majority has one.
func (c *Coordinator) countCopy(replica string, key wire.BodyKey) {
	s := c.bodies.replications[key]
	if s == nil || s.proposed {
		return
	}
	s.syncedOn[replica] = true
	replicas := c.options.Replicas()
	count := 0
	for _, name := range replicas {
		if s.syncedOn[name] {
			count++
		}
	}
	if count <= len(replicas)/2 && !c.skipMajority {
		return
	}
	s.proposed = true
	commit := s.commit
	c.propose(Command{CommitGroup: &commit}, func(o Outcome, err error) { c.enqueue(commitDone{key, o, err}) })
}

func (c *Coordinator) bodyMessage(now time.Time, m linkMessage) {
	switch msg := m.m.(type) {
	case *wire.PutBody:
		c.receiveBody(now, m.conn, msg)
	case *wire.BodyStored:
		if msg.Error == "" {
			c.countCopy(m.peer.Process, msg.Key)
		}
	case *wire.FetchBody:
		c.serveFetch(m.conn, msg.Key)
	case *wire.BodyPart:
		c.receivePart(now, m.peer.Process, msg)
	}
}

func (c *Coordinator) receiveBody(now time.Time, conn sender, m *wire.PutBody) {
	if c.store.Has(m.Key) {
		if m.Offset == 0 {
			c.confirmStored(conn, m.Key)
		}
		return
	}
	if data, complete := c.bodies.assemble(now, m.Key, m.Offset, m.Size, m.Data); complete {
		c.bodies.putWaiters[m.Key] = append(c.bodies.putWaiters[m.Key], conn)
		c.put(m.Key, data)
	}
}

// confirmStored confirms a body that is already stored after reading it back, because the
// copy may be corrupted.
func (c *Coordinator) confirmStored(conn sender, key wire.BodyKey) {
	c.storeWork.Go(func() {
		if _, err := c.store.Get(key); err == nil {
			_ = conn.Send(&wire.BodyStored{Key: key})
		}
	})
}

// assemble appends a chunk. A chunk out of order discards the partial body.
func (b *bodies) assemble(now time.Time, key wire.BodyKey, offset, size int, chunk []byte) ([]byte, bool) {
	if size <= 0 || size > maxBodyBytes {
		return nil, false
	}
	a := b.assemblies[key]
	if offset == 0 {
		if a == nil && len(b.assemblies) >= maxAssemblies {
			return nil, false
		}
		a = &assembly{}
		b.assemblies[key] = a
	}
	if a == nil || offset != len(a.data) || offset+len(chunk) > size {
		delete(b.assemblies, key)
		return nil, false
	}
	a.lastChunkAt = now
	a.data = append(a.data, chunk...)
	if len(a.data) < size {
		return nil, false
	}
	delete(b.assemblies, key)
	return a.data, digestOf(a.data) == key.Digest
}

// serveFetch sends a body, or reports that there is no intact copy.
func (c *Coordinator) serveFetch(conn sender, key wire.BodyKey) {
	c.storeWork.Go(func() {
		data, err := c.store.Get(key)
		if err != nil {
			_ = conn.Send(&wire.BodyPart{Key: key, Missing: true})
			return
		}
		sendChunks(conn, len(data), func(offset, end int) wire.Message {
			return &wire.BodyPart{Key: key, Offset: offset, Size: len(data), Data: data[offset:end]}
		})
	})
}

func (c *Coordinator) receivePart(now time.Time, peer string, m *wire.BodyPart) {
	f := c.bodies.fetches[m.Key]
	if f == nil {
		return
	}
	if m.Missing {
		f.missing[peer] = true
		f.peer = ""
		c.requestFromNext(now, m.Key, f)
		return
	}
	f.requestedAt = now
	if data, complete := c.bodies.assemble(now, m.Key, m.Offset, m.Size, m.Data); complete {
		c.put(m.Key, data)
	}
}

// requestFromNext requests the body from another connected replica that has not reported it
// missing.
func (c *Coordinator) requestFromNext(now time.Time, key wire.BodyKey, f *fetch) {
	for _, peer := range c.peers() {
		if f.missing[peer] || peer == f.peer || !c.links.connected(peer) {
			continue
		}
		if c.links.send(peer, &wire.FetchBody{Key: key}) == nil {
			f.peer, f.requestedAt = peer, now
			return
		}
	}
	f.peer = ""
}

// tickBodies resends unconfirmed bodies and runs the periodic repair.
func (c *Coordinator) tickBodies(now time.Time) {
	for key, s := range c.bodies.replications {
		if !s.proposed && now.Sub(s.sentAt) >= resendAfter {
			s.sentAt = now
			c.resend(key, s)
		}
	}
	if now.Before(c.bodies.repairAt) {
		return
	}
	c.bodies.repairAt = now.Add(repairPeriod)
	for key, a := range c.bodies.assemblies {
		if now.Sub(a.lastChunkAt) > fetchTimeout {
			delete(c.bodies.assemblies, key)
		}
	}
	// The view also depends on the configuration, whose changes the ledger does not
	// report.
	c.ledgerChanged(now)
	c.repair(now, c.options.Ledger.View())
}

func (c *Coordinator) resend(key wire.BodyKey, s *replication) {
	if !s.syncedOn[c.options.Name] && c.store.Err() == nil {
		c.put(key, s.data)
	}
	for _, peer := range c.peers() {
		if !s.syncedOn[peer] {
			c.sendBody(peer, key, s.data)
		}
	}
}

// repair fetches bodies that the ledger needs and this replica lacks. Every
// replica repairs itself, so that a second failure after a repair loses nothing.
func (c *Coordinator) repair(now time.Time, v View) {
	needed := map[wire.BodyKey]GroupState{}
	for _, t := range v.Trainers {
		for _, s := range t.Steps {
			for _, g := range s.Groups {
				if g.State == GroupComplete || g.State == GroupDrawn {
					needed[g.Key] = g.State
				}
			}
		}
	}
	for key := range c.bodies.fetches {
		if _, ok := needed[key]; !ok {
			delete(c.bodies.fetches, key)
		}
	}
	for key, state := range needed {
		if !c.store.Has(key) {
			c.repairOne(now, key, state)
		}
	}
}

func (c *Coordinator) repairOne(now time.Time, key wire.BodyKey, state GroupState) {
	f := c.bodies.fetches[key]
	if f == nil {
		if len(c.bodies.fetches) >= maxFetches || c.store.Err() != nil {
			return
		}
		f = &fetch{since: now, missing: map[string]bool{}}
		c.bodies.fetches[key] = f
	}
	if f.peer == "" || now.Sub(f.requestedAt) >= fetchTimeout {
		c.requestFromNext(now, key, f)
	}
	if c.leading && state == GroupComplete && !f.lost && now.Sub(f.since) >= c.lossAfter && c.allMissing(f) {
		f.lost = true
		c.proposeLostBody(key)
		return
	}
	if f.peer == "" && now.Sub(f.since) >= 2*lossAfter {
		delete(c.bodies.fetches, key)
	}
}

// allMissing reports whether every connected replica lacks the body and, with
// this one, they are a majority.
func (c *Coordinator) allMissing(f *fetch) bool {
	count := 1
	for _, peer := range c.peers() {
		if !c.links.connected(peer) {
			continue
		}
		if !f.missing[peer] {
			return false
		}
		count++
	}
	return count > len(c.options.Replicas())/2
}

func (c *Coordinator) proposeLostBody(key wire.BodyKey) {
	c.options.Log.Warnf("no connected replica has the body of group %d of step %d of trainer %s; generating the group again", key.Group, key.Step, key.Trainer)
	c.propose(Command{ReportLostBody: &ReportLostBody{Key: key}}, func(Outcome, error) {})
}

// deleteUnusedBodies deletes bodies that the ledger does not need.
func (c *Coordinator) deleteUnusedBodies() {
	for _, key := range c.store.Keys() {
		if c.options.Ledger.UseOf(key) == BodyUnused && c.bodies.replications[key] == nil {
			c.store.Delete(key)
		}
	}
}

// readBody returns a body, or ErrNoBody if this replica has no intact copy. The next
// repair fetches a missing body.
func (c *Coordinator) readBody(key wire.BodyKey) ([]byte, error) {
	if !c.store.Has(key) {
		return nil, eris.Wrapf(ErrNoBody, "group %d of step %d", key.Group, key.Step)
	}
	return c.store.Get(key)
}
