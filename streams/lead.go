package streams

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/wire"
)

const (
	// minLifetime is the least time for which a record is kept, and lifetimeFactor the multiple
	// of the longest time limit of a route with streams: callers come back several times.
	minLifetime    = 30 * time.Second
	lifetimeFactor = 3
	// commitTimeout bounds one commit.
	commitTimeout = 900 * time.Millisecond
	// recordBytes is the memory of one record, with what the map needs.
	recordBytes = 64
	// intervalPerProcess is what each process that tells of streams adds to the time between two
	// tellings of one, so that all together send the leader 2,000 messages a second at most. It
	// takes some 50 µs for one (BenchmarkLeader, and the link).
	intervalPerProcess = 500 * time.Microsecond
	// tellingMemory is how long a process counts as one that tells.
	tellingMemory = 2 * time.Second
	// expiryInterval is the time between two looks whether records are to be dropped.
	expiryInterval = time.Second
)

// ErrFull is the error of records for which there is no memory.
var ErrFull = eris.New("streams: there are as many records as fit into memory")

// LeaderOptions configures a Leader.
type LeaderOptions struct {
	Ledger *ledger.Streams
	// Propose commits a command of the ledger.
	Propose func(ctx context.Context, body []byte) error
	// LongestLimit returns the longest time limit of a route whose streams may be taken up.
	LongestLimit func() time.Duration
	MemoryBytes  int64 // for records
	Directory    *directory.Directory
	Log          *logrus.Entry
}

// Leader is the part of a control process that answers the keepers of all processes while it
// leads.
type Leader struct {
	o LeaderOptions

	mu         sync.Mutex
	leading    bool
	keptSince  time.Time            // when the current generation began, as far as this leader knows
	telling    map[string]time.Time // processes, by when they last told of streams
	forgotAt   time.Time
	next       *commit // what is committed after the commit in progress
	committing bool
}

// commit is one command with the streams of many processes.
type commit struct {
	begun []ledger.StreamBeginning
	done  chan struct{}
	err   error // set before done is closed
}

// NewLeader returns the leader's part.
func NewLeader(o LeaderOptions) *Leader {
	return &Leader{o: o, telling: make(map[string]time.Time)}
}

// Lead tells whether this process leads. The age of the records at hand is not known to a new
// leader, which keeps them as long as new ones.
func (l *Leader) Lead(leading bool, _ uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading, l.keptSince = leading, time.Now()
}

// Handle answers the question of a process. The caller has made sure that this process leads
// and has applied all that was committed before.
func (l *Leader) Handle(ctx context.Context, in *Ask) *Answers {
	out := &Answers{Found: make([]wire.Software, 0, len(in.Keys))}
	for i, key := range in.Keys {
		software, found := wire.Software{}, false
		if len(key) == ledger.StreamKeyBytes {
			software, found = l.o.Ledger.Find(ledger.StreamKey(key))
		}
		if !found && i < len(in.Services) {
			software = l.sole(in.Services[i])
		}
		out.Found = append(out.Found, software)
	}
	if len(in.Begun) > 0 {
		out.Interval = l.interval(time.Now(), in.Process)
		out.Recorded = l.record(ctx, in.Begun) == nil
	}
	return out
}

// interval notes that a process tells of streams and returns how long it waits before it does
// so again.
func (l *Leader) interval(now time.Time, process string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.telling[process] = now
	if now.Sub(l.forgotAt) > tellingMemory {
		l.forgotAt = now
		maps.DeleteFunc(l.telling, func(_ string, last time.Time) bool { return now.Sub(last) > tellingMemory })
	}
	return time.Duration(len(l.telling)) * intervalPerProcess
}

// sole returns the software of a service if no stream that callers still have can have begun at
// another one.
func (l *Leader) sole(service string) wire.Software {
	if l.o.Directory == nil {
		return wire.Software{}
	}
	software, _ := l.o.Directory.Sole(time.Now(), service, l.lifetime())
	return software
}

// record commits streams. Those of all processes that ask during a commit go into the next one.
func (l *Leader) record(ctx context.Context, begun []ledger.StreamBeginning) error {
	if current, former := l.o.Ledger.Counts(); int64(current+former+len(begun))*recordBytes > l.o.MemoryBytes {
		return ErrFull
	}
	l.mu.Lock()
	if l.next == nil {
		l.next = &commit{done: make(chan struct{})}
	}
	c := l.next
	c.begun = append(c.begun, begun...)
	if !l.committing {
		l.committing = true
		go l.commitAll()
	}
	l.mu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Leader) commitAll() {
	for {
		l.mu.Lock()
		c := l.next
		l.next = nil
		l.committing = c != nil
		l.mu.Unlock()
		if c == nil {
			return
		}
		command, err := ledger.StreamsBegunCommand(c.begun)
		if err == nil {
			err = l.propose(command)
		}
		if err != nil {
			l.o.Log.WithField("streams", len(c.begun)).Infof("streams that begin are not recorded: %v", err)
		}
		c.err = err
		close(c.done)
	}
}

func (l *Leader) propose(command []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return l.o.Propose(ctx, command)
}

// Run drops old records while this process leads, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.expire(now)
		case <-ctx.Done():
			return
		}
	}
}

// lifetime returns the least time for which a record is kept.
func (l *Leader) lifetime() time.Duration { return Lifetime(l.o.LongestLimit()) }

// Lifetime returns the time within which callers come back for streams of routes with the given
// time limit.
func Lifetime(limit time.Duration) time.Duration { return max(minLifetime, lifetimeFactor*limit) }

func (l *Leader) expire(now time.Time) {
	l.mu.Lock()
	due := l.leading && now.Sub(l.keptSince) >= l.lifetime()
	if due {
		l.keptSince = now
	}
	l.mu.Unlock()
	current, former := l.o.Ledger.Counts()
	if !due || current+former == 0 {
		return
	}
	command, err := ledger.ExpireStreamsCommand()
	if err == nil {
		err = l.propose(command)
	}
	l.o.Log.WithFields(logrus.Fields{"current": current, "dropped": former, "failure": err}).Info("old records of streams are dropped")
}
