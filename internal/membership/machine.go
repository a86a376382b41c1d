package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of the protocol.
const (
	// TickInterval is how often Tick should be called.
	TickInterval = 100 * time.Millisecond

	probeInterval = time.Second
	// directTimeout is five round trips between regions of 30 ms each way.
	directTimeout  = 300 * time.Millisecond
	indirectProbes = 3
	// minSuspicion: with 3.5 s, 14 nodes sometimes declared a node lost
	// before its refutation had reached them.
	minSuspicion    = 5 * time.Second
	lostInterval    = 10 * time.Second
	seedInterval    = 30 * time.Second
	firstSeedProbe  = time.Second / 2
	syncInterval    = 30 * time.Second
	fastSync        = 5 * time.Second
	forgetInterval  = time.Minute
	forgetLeftAfter = 2 * time.Hour
	// forgetLostAfter outlasts the outage of an availability zone.
	forgetLostAfter = 24 * time.Hour
	// pauseLimit is the gap between calls after which the process must have
	// been paused: answers to its probes were not processed in time.
	pauseLimit     = 2 * time.Second
	reportInterval = time.Second

	eagerFanout = 4
	bucketCount = 256
)

// Packet is a datagram to send to a gossip address.
type Packet struct {
	To   string
	Data []byte
}

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	// StateChanged: a node was added or its state or incarnation changed.
	StateChanged EventKind = iota
	// ConfigVersion: a peer has a higher configuration version.
	ConfigVersion
	// Superseded: a later process runs under this node's id. The node should
	// stop, as its own updates are ignored by the others.
	Superseded
	// Resumed: the process was paused; suspicions were extended.
	Resumed
)

// Event is a change that the caller may act on.
type Event struct {
	Kind EventKind
	Node Node
	// Version is the configuration version of a ConfigVersion event.
	Version uint64
}

// entry is what is known about one node.
type entry struct {
	node Node
	// hash covers id, incarnation and version; its top byte is the bucket.
	// It is zero while the node is not live: lost and left nodes are
	// forgotten at different times and must not make views differ.
	hash  uint64
	since time.Duration
}

// Machine is the membership of one node. It is not safe for concurrent use.
type Machine struct {
	self  *entry
	seeds []string
	// fixedSeeds is the number of seeds given to New.
	fixedSeeds int
	entries    map[string]*entry
	// ids holds the ids of all entries in order, this node's included.
	ids      []string
	buckets  [bucketCount][]*entry
	digest   [bucketCount]uint64
	names    map[string]string
	live     int
	suspects map[string]time.Duration
	dead     map[string]struct{}
	// accused holds the nodes that this node suspects by its own probe, with
	// the time of the next ping that lets them refute.
	accused map[string]time.Duration
	queue   *updateQueue

	round  []string
	probe  probe
	relays map[uint64]relay
	pull   pull
	// joined is set once the full state was obtained.
	joined bool
	// superseded is the highest incarnation of a later process under this
	// node's id; zero if there is none.
	superseded uint64
	seq        uint64
	config     uint64
	reported   uint64
	reportAt   time.Duration
	recheck    int
	// bulk is the number of bytes that may be sent in bulk as of bulkAt.
	bulk      int
	bulkAt    time.Duration
	nextProbe time.Duration
	nextLost  time.Duration
	nextSeed  time.Duration
	// seedWait grows from firstSeedProbe to seedInterval.
	seedWait time.Duration
	nextSync time.Duration
	lastSync time.Duration
	nextTidy time.Duration
	last     time.Duration
	// ticked is set by the first Tick; the time before is no pause.
	ticked bool

	// now and rng are the arguments of the call in progress.
	now        time.Duration
	rng        *rand.Rand
	w          *writer
	out        []Packet
	events     []Event
	generation uint64
}

// New returns the membership of a node that knows only itself and the gossip
// addresses of its seeds.
func New(self Node, seeds []string, now time.Duration, rng *rand.Rand) *Machine {
	m := &Machine{
		entries: make(map[string]*entry), names: make(map[string]string),
		suspects: make(map[string]time.Duration), dead: make(map[string]struct{}), accused: make(map[string]time.Duration),
		queue: newUpdateQueue(), bulk: bulkBurst, bulkAt: now, relays: make(map[uint64]relay), w: newWriter(), last: now, now: now, rng: rng,
	}
	self.State = Alive
	m.self = m.insert(self)
	m.SetDiscoveredSeeds(seeds)
	m.fixedSeeds = len(m.seeds)
	m.queue.add(self.ID)
	m.nextProbe = now + m.jitter(probeInterval)
	m.nextLost = now + m.jitter(lostInterval)
	m.seedWait = firstSeedProbe
	m.nextSeed = now + m.seedWait + m.jitter(m.seedWait)
	m.nextSync = now + m.jitter(syncInterval)
	m.nextTidy = now + m.jitter(forgetInterval)
	m.events = nil
	return m
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// begin takes the arguments of a call and detects that the process was
// paused since the call before.
func (m *Machine) begin(now time.Duration, rng *rand.Rand) {
	m.now, m.rng = now, rng
	gap := now - m.last
	m.last = max(now, m.last)
	if gap <= pauseLimit || !m.ticked {
		return
	}
	for id, deadline := range m.suspects {
		m.suspects[id] = deadline + gap
	}
	m.probe = probe{}
	clear(m.relays)
	m.nextProbe = now + m.jitter(probeInterval)
	m.nextSync = now
	m.event(Event{Kind: Resumed})
}

func (m *Machine) finish() []Packet {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) event(e Event) { m.events = append(m.events, e) }

// Events returns what happened since the last call.
func (m *Machine) Events() []Event {
	e := m.events
	m.events = nil
	return e
}

// Generation changes whenever a record of the view changes.
func (m *Machine) Generation() uint64 { return m.generation }

// Self returns this node.
func (m *Machine) Self() Node { return m.self.node }

// Live returns the number of live nodes, this one included.
func (m *Machine) Live() int { return m.live }

// Node returns a known node in any state.
func (m *Machine) Node(id string) (Node, bool) {
	if e := m.entries[id]; e != nil {
		return e.node, true
	}
	return Node{}, false
}

// Nodes returns all known nodes in any state: this one first, the others in
// the order of their ids.
func (m *Machine) Nodes() []Node {
	out := make([]Node, 0, len(m.ids))
	out = append(out, m.self.node)
	for _, id := range m.ids {
		if e := m.entries[id]; e != m.self {
			out = append(out, e.node)
		}
	}
	return out
}

// SetDiscoveredSeeds replaces the gossip addresses to try besides the seeds given to
// New, and tries one of them at once if the node has not joined.
func (m *Machine) SetDiscoveredSeeds(addresses []string) {
	const maxLearned = 256
	m.seeds = m.seeds[:m.fixedSeeds]
	for _, a := range addresses[:min(len(addresses), maxLearned)] {
		if a != m.self.node.GossipAddr && !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
		}
	}
	if m.pull.cursor == "" {
		m.pull.deadline, m.pull.backoff = 0, 0
	}
}

// Update changes what the node announces of itself and sends it at once to a
// few random nodes. Identity and version cannot be changed. A change that does
// not pass Node.Check is not made: its record would be malformed to others.
func (m *Machine) Update(now time.Duration, rng *rand.Rand, change func(n *Node)) ([]Packet, error) {
	m.begin(now, rng)
	n := m.self.node
	change(&n)
	if err := n.Validate(); err != nil {
		return m.finish(), err
	}
	old := m.self.node
	n.ID, n.Incarnation, n.State, n.Version = old.ID, old.Incarnation, old.State, old.Version
	if n != old {
		n.Version++
		m.set(m.self, n)
		m.announce()
	}
	return m.finish(), nil
}

// ReclaimID gives this node an incarnation above that of a process that
// superseded it. It is for a node whose id nobody else can use: a restart after
// a step back of the clock then looks older than the process before.
func (m *Machine) ReclaimID(now time.Duration, rng *rand.Rand) []Packet {
	m.begin(now, rng)
	if n := m.self.node; m.superseded >= n.Incarnation {
		n.Incarnation = m.superseded + 1
		n.Version++
		m.set(m.self, n)
		m.announce()
	}
	return m.finish()
}

// AnnounceConfig makes version the configuration version of this node. If it
// is higher than before, it is sent at once to four random nodes.
func (m *Machine) AnnounceConfig(now time.Duration, rng *rand.Rand, version uint64) []Packet {
	m.begin(now, rng)
	if version > m.config {
		m.config = version
		m.notifyRandom()
	}
	return m.finish()
}

// Leave announces that the node departs. Calling it again repeats the
// announcement.
func (m *Machine) Leave(now time.Duration, rng *rand.Rand) []Packet {
	m.begin(now, rng)
	if n := m.self.node; n.State != Left {
		n.State = Left
		n.Version++
		m.set(m.self, n)
	}
	m.announce()
	return m.finish()
}

// announce queues the record of this node and sends it to random nodes.
func (m *Machine) announce() {
	m.queue.add(m.self.node.ID)
	m.notifyRandom()
}

func (m *Machine) notifyRandom() {
	for _, e := range m.randomLive(eagerFanout, "") {
		m.send(e.node.GossipAddr, &message{kind: kindNotice}, e)
	}
}

// randomLive returns up to n different live nodes, without this one and skip.
func (m *Machine) randomLive(n int, skip string) []*entry {
	var out []*entry
	usable := func(e *entry) bool {
		return e != m.self && e.node.State.Live() && e.node.ID != skip && !slices.Contains(out, e)
	}
	for tries := 0; tries < 8*n && len(out) < n; tries++ {
		if e := m.entries[m.ids[m.rng.IntN(len(m.ids))]]; usable(e) {
			out = append(out, e)
		}
	}
	// Few nodes are live or there are few nodes at all.
	offset := m.rng.IntN(len(m.ids))
	for i := 0; i < len(m.ids) && len(out) < n; i++ {
		if e := m.entries[m.ids[(offset+i)%len(m.ids)]]; usable(e) {
			out = append(out, e)
		}
	}
	return out
}

func bucketOf(id string) uint8 { return uint8(xxhash.Sum64String(id)) }

func hashOf(n *Node) uint64 {
	var d [16]byte
	for i := range 8 {
		d[i], d[8+i] = byte(n.Incarnation>>(8*i)), byte(n.Version>>(8*i))
	}
	id := xxhash.Sum64String(n.ID)
	h := xxhash.NewWithSeed(id)
	_, _ = h.Write(d[:])
	return h.Sum64()>>8 | uint64(uint8(id))<<56
}

// intern shares the strings that many nodes have in common.
func (m *Machine) intern(s string) string {
	const maxNames = 4096
	if known, ok := m.names[s]; ok {
		return known
	}
	if len(m.names) < maxNames {
		m.names[s] = s
	}
	return s
}

func (m *Machine) insert(n Node) *entry {
	e := &entry{node: Node{ID: n.ID, State: Lost}}
	m.entries[n.ID] = e
	i := sort.SearchStrings(m.ids, n.ID)
	m.ids = slices.Insert(m.ids, i, n.ID)
	b := bucketOf(n.ID)
	m.buckets[b] = append(m.buckets[b], e)
	m.set(e, n)
	return e
}

// set replaces the record of an entry and keeps all that depends on it.
func (m *Machine) set(e *entry, n Node) {
	old := e.node
	n.ID = old.ID
	n.Region, n.Zone, n.Service = m.intern(n.Region), m.intern(n.Zone), m.intern(n.Service)
	e.node = n
	b := bucketOf(n.ID)
	m.digest[b] ^= e.hash
	e.hash = 0
	if n.State.Live() {
		e.hash = hashOf(&e.node)
	}
	m.digest[b] ^= e.hash
	if old.State.Live() != n.State.Live() {
		if n.State.Live() {
			m.live++
		} else {
			m.live--
		}
	}
	delete(m.suspects, n.ID)
	delete(m.dead, n.ID)
	switch {
	case n.State == Suspect:
		m.suspects[n.ID] = m.now + m.suspicionTimeout()
	case !n.State.Live():
		m.dead[n.ID] = struct{}{}
	}
	m.generation++
	if old.State != n.State || old.Incarnation != n.Incarnation {
		e.since = m.now
		m.event(Event{Kind: StateChanged, Node: n})
	}
}

func (m *Machine) forget(id string) {
	e := m.entries[id]
	delete(m.entries, id)
	delete(m.dead, id)
	m.queue.remove(id)
	if i, ok := slices.BinarySearch(m.ids, id); ok {
		m.ids = slices.Delete(m.ids, i, i+1)
	}
	b := bucketOf(id)
	if i := slices.Index(m.buckets[b], e); i >= 0 {
		m.buckets[b] = slices.Delete(m.buckets[b], i, i+1)
	}
	m.generation++
}

// suspicionTimeout grows with the logarithm of the number of nodes, as the
// time to hear of a suspicion does: 5 s up to 45 nodes, 10.4 s for 3,000.
func (m *Machine) suspicionTimeout() time.Duration {
	t := 3 * math.Log10(float64(m.live+1)) * float64(probeInterval)
	return max(minSuspicion, time.Duration(t))
}

// transmissions is how often an update is piggybacked. With 2 ln(n), the
// expected number of nodes that never receive one is about 1/n.
func (m *Machine) transmissions() int {
	return max(4, int(math.Ceil(2*math.Log(float64(m.live+1)))))
}
