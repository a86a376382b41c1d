package membership

import (
	"cmp"
	"maps"
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
	// directTimeout is five round trips between regions, at 30 ms each way.
	directTimeout  = 300 * time.Millisecond
	indirectProbes = 3
	// minSuspicion is the shortest suspicion timeout. With 3.5 s, nodes of a
	// mesh of 14 sometimes declared a node lost before its refutation had
	// reached them.
	minSuspicion = 5 * time.Second
	// Lost nodes are probed at intervals of an eighth of the time since the last
	// loss, within minLostProbeInterval and lostProbeInterval: a node that could
	// only not be heard for a while is found again soon, and nodes that are gone
	// cost little.
	minLostProbeInterval = time.Second
	lostProbeInterval    = 10 * time.Second
	lostProbeAgeDivisor  = 8
	// lostProbes is the number of lost nodes that are probed at once.
	lostProbes        = 3
	seedProbeInterval = 30 * time.Second
	firstSeedDelay    = time.Second / 2
	syncInterval      = 30 * time.Second
	fastSyncInterval  = 5 * time.Second
	cleanupInterval   = time.Minute
	leftRetention     = 2 * time.Hour
	// lostRetention is how long the record of a lost node is kept. It exceeds the
	// longest expected outage of an availability zone.
	lostRetention = 24 * time.Hour
	// pauseThreshold is the gap between calls above which the process is taken
	// to have been paused, so that responses to its probes were not processed
	// in time.
	pauseThreshold        = 2 * time.Second
	versionReportInterval = time.Second

	// announceFanout is the number of random nodes to which a node sends its own
	// changes at once.
	announceFanout = 4
	bucketCount    = 256
)

// Packet is a datagram to be sent to a gossip address.
type Packet struct {
	To   string
	Data []byte
}

// EventKind identifies what an Event reports.
type EventKind uint8

// Kinds of events.
const (
	// StateChanged: a node was added or its state or incarnation changed.
	StateChanged EventKind = iota
	// ConfigVersion: a peer has a higher configuration version.
	ConfigVersion
	// Superseded: a later process runs under this node's ID. This process
	// should stop, because the other nodes ignore its updates.
	Superseded
	// Resumed: the process was paused, and the deadlines of suspicions were
	// extended by the length of the pause.
	Resumed
	// Deposited: enough other nodes hold a deposit of this node.
	Deposited
	// Returned: another node has returned a deposit of an earlier process that ran
	// under this node's ID.
	Returned
)

// Event reports a change to the caller.
type Event struct {
	Kind EventKind
	Node Node
	// Version is the configuration version of a ConfigVersion event, and the sequence
	// number of the deposit of a Deposited event.
	Version uint64
	// Data is the deposit of a Returned event.
	Data []byte
}

// entry is a node of the view.
type entry struct {
	node Node
	// hash covers ID, incarnation and version; its top byte is the bucket.
	// It is zero while the node is not live: each node removes lost and left
	// nodes at a different time, and that must not make views differ.
	hash       uint64
	stateSince time.Duration
}

// Machine is the membership state machine of one node. It is not safe for
// concurrent use.
type Machine struct {
	self  *entry
	seeds []string
	// fixedSeeds is the number of seeds given to New.
	fixedSeeds int
	entries    map[string]*entry
	// ids holds the IDs of all entries in order, including this node's.
	ids       []string
	buckets   [bucketCount][]*entry
	digest    [bucketCount]uint64
	interned  map[string]string
	liveCount int
	// suspects holds the time at which each suspected node becomes lost.
	suspects map[string]time.Duration
	notLive  map[string]struct{}
	// ownSuspects holds the nodes that this node suspects after its own probe
	// failed, with the time of the next ping that lets them refute.
	ownSuspects map[string]time.Duration
	queue       *updateQueue
	// placements has the deposits of this node that are being sent, by sequence
	// number, and held those of other nodes, by node ID.
	placements map[uint64]*placement
	held       map[string][]*held

	probeRound []string
	probe      probe
	relays     map[uint64]relay
	pull       pull
	// joined is set once the full state has been received.
	joined bool
	// supersededBy is the highest incarnation of a later process under this
	// node's ID, or zero.
	supersededBy    uint64
	seq             uint64
	configVersion   uint64
	reportedVersion uint64
	reportAgainAt   time.Duration
	// rechecks is the number of calls of recheck since the last tick.
	rechecks int
	// bulkTokens is the number of bytes of bulk data that may be sent, as of
	// bulkRefilledAt.
	bulkTokens     int
	bulkRefilledAt time.Duration
	nextProbe      time.Duration
	nextLostProbe  time.Duration
	nextSeedProbe  time.Duration
	// seedDelay is the mean time until the next seed probe. It doubles from
	// firstSeedDelay up to seedProbeInterval.
	seedDelay   time.Duration
	nextSync    time.Duration
	lastSync    time.Duration
	nextCleanup time.Duration
	lastCall    time.Duration
	// ticked is set by the first Tick. The time before it does not count as a
	// pause.
	ticked bool

	// now and rng are the arguments of the current call.
	now        time.Duration
	rng        *rand.Rand
	w          *writer
	out        []Packet
	events     []Event
	generation uint64
}

// New returns a machine whose view holds only self. seeds are the gossip
// addresses of nodes to join.
func New(self Node, seeds []string, now time.Duration, rng *rand.Rand) *Machine {
	m := &Machine{
		entries: make(map[string]*entry), interned: make(map[string]string),
		suspects: make(map[string]time.Duration), notLive: make(map[string]struct{}), ownSuspects: make(map[string]time.Duration),
		placements: make(map[uint64]*placement), held: make(map[string][]*held),
		queue: newUpdateQueue(), bulkTokens: bulkBurstBytes, bulkRefilledAt: now, relays: make(map[uint64]relay), w: newWriter(), lastCall: now, now: now, rng: rng,
	}
	self.State = Alive
	m.self = m.insert(self)
	m.SetDiscoveredSeeds(seeds)
	m.fixedSeeds = len(m.seeds)
	m.queue.add(self.ID)
	m.nextProbe = now + m.jitter(probeInterval)
	m.nextLostProbe = now + m.jitter(lostProbeInterval)
	m.seedDelay = firstSeedDelay
	m.nextSeedProbe = now + m.seedDelay + m.jitter(m.seedDelay)
	m.nextSync = now + m.jitter(syncInterval)
	m.nextCleanup = now + m.jitter(cleanupInterval)
	m.events = nil
	return m
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// beginCall stores the arguments of a call and detects whether the process was
// paused since the previous call.
func (m *Machine) beginCall(now time.Duration, rng *rand.Rand) {
	m.now, m.rng = now, rng
	gap := now - m.lastCall
	m.lastCall = max(now, m.lastCall)
	if gap <= pauseThreshold || !m.ticked {
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

func (m *Machine) endCall() []Packet {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) event(e Event) { m.events = append(m.events, e) }

// Events returns and clears the events since the previous call of Events.
func (m *Machine) Events() []Event {
	e := m.events
	m.events = nil
	return e
}

// Generation returns a number that increases whenever a record of the view is
// added, changed or removed.
func (m *Machine) Generation() uint64 { return m.generation }

// Self returns the record of this node.
func (m *Machine) Self() Node { return m.self.node }

// Live returns the number of live nodes, including this one.
func (m *Machine) Live() int { return m.liveCount }

// Node returns the record of a node of the view, whatever its state.
func (m *Machine) Node(id string) (Node, bool) {
	if e := m.entries[id]; e != nil {
		return e.node, true
	}
	return Node{}, false
}

// Nodes returns all nodes of the view, whatever their state: this node first,
// then the others in the order of their IDs.
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

// SetDiscoveredSeeds replaces the gossip addresses that are tried in addition
// to the seeds given to New. Only the first 256 are used. If the node has not
// joined or sees no other live node, the next Tick tries to join, unless a
// transfer of the full state has begun.
func (m *Machine) SetDiscoveredSeeds(addresses []string) {
	const maxDiscovered = 256
	m.seeds = m.seeds[:m.fixedSeeds]
	for _, a := range addresses[:min(len(addresses), maxDiscovered)] {
		if a != m.self.node.GossipAddr && !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
		}
	}
	if m.pull.cursor == "" {
		m.pull.deadline, m.pull.backoff = 0, 0
	}
}

// Update changes this node's own record and sends the new record at once to
// four random nodes. The fields ID, Incarnation, Version and State cannot be
// changed. A change that fails Node.Validate is not applied, because other
// nodes would reject the record as malformed.
func (m *Machine) Update(now time.Duration, rng *rand.Rand, change func(n *Node)) ([]Packet, error) {
	m.beginCall(now, rng)
	n := m.self.node
	change(&n)
	if err := n.Validate(); err != nil {
		return m.endCall(), err
	}
	old := m.self.node
	n.ID, n.Incarnation, n.State, n.Version = old.ID, old.Incarnation, old.State, old.Version
	if n != old {
		n.Version++
		m.set(m.self, n)
		m.announce()
	}
	return m.endCall(), nil
}

// ReclaimID gives this node an incarnation above that of the process that
// superseded it. It is meant for a node whose ID no other process can use:
// after the clock was set back, a restarted process has a lower incarnation
// than the process before it.
func (m *Machine) ReclaimID(now time.Duration, rng *rand.Rand) []Packet {
	m.beginCall(now, rng)
	if n := m.self.node; m.supersededBy >= n.Incarnation {
		n.Incarnation = m.supersededBy + 1
		n.Version++
		m.set(m.self, n)
		m.announce()
	}
	return m.endCall()
}

// AnnounceConfig sets the configuration version of this node. A version higher
// than the previous one is sent at once to four random nodes; others are
// ignored.
func (m *Machine) AnnounceConfig(now time.Duration, rng *rand.Rand, version uint64) []Packet {
	m.beginCall(now, rng)
	if version > m.configVersion {
		m.configVersion = version
		m.notifyRandom()
	}
	return m.endCall()
}

// Leave announces that this node leaves. Calling it again repeats the
// announcement.
func (m *Machine) Leave(now time.Duration, rng *rand.Rand) []Packet {
	m.beginCall(now, rng)
	if n := m.self.node; n.State != Left {
		n.State = Left
		n.Version++
		m.set(m.self, n)
	}
	m.announce()
	return m.endCall()
}

// announce queues the record of this node and sends it to announceFanout random
// nodes.
func (m *Machine) announce() {
	m.queue.add(m.self.node.ID)
	m.notifyRandom()
}

func (m *Machine) notifyRandom() {
	for _, e := range m.randomLive(announceFanout, "") {
		m.send(e.node.GossipAddr, &message{kind: kindNotice}, e)
	}
}

// sortedKeys returns the keys of a map in order, so that runs with the same seed are
// identical.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// randomLive returns up to n different live nodes other than this node and
// exclude.
func (m *Machine) randomLive(n int, exclude string) []*entry {
	var out []*entry
	eligible := func(e *entry) bool {
		return e != m.self && e.node.State.Live() && e.node.ID != exclude && !slices.Contains(out, e)
	}
	for attempt := 0; attempt < 8*n && len(out) < n; attempt++ {
		if e := m.entries[m.ids[m.rng.IntN(len(m.ids))]]; eligible(e) {
			out = append(out, e)
		}
	}
	// Random picks found too few: few nodes are live, or the view is small.
	offset := m.rng.IntN(len(m.ids))
	for i := 0; i < len(m.ids) && len(out) < n; i++ {
		if e := m.entries[m.ids[(offset+i)%len(m.ids)]]; eligible(e) {
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

// intern returns a shared copy of a string that many records have in common.
func (m *Machine) intern(s string) string {
	const maxInterned = 4096
	if known, ok := m.interned[s]; ok {
		return known
	}
	if len(m.interned) < maxInterned {
		m.interned[s] = s
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

// set replaces the record of an entry and updates all data derived from it.
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
			m.liveCount++
		} else {
			m.liveCount--
		}
	}
	delete(m.suspects, n.ID)
	delete(m.notLive, n.ID)
	switch {
	case n.State == Suspect:
		m.suspects[n.ID] = m.now + m.suspicionTimeout()
	case !n.State.Live():
		m.notLive[n.ID] = struct{}{}
	}
	m.generation++
	if old.State != n.State || old.Incarnation != n.Incarnation {
		e.stateSince = m.now
		m.event(Event{Kind: StateChanged, Node: n})
	}
}

func (m *Machine) remove(id string) {
	e := m.entries[id]
	delete(m.entries, id)
	delete(m.notLive, id)
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

// suspicionTimeout grows with the logarithm of the number of nodes, as does
// the time that a suspicion takes to reach its subject: 5 s for up to 45 nodes,
// 10.4 s for 3,000.
func (m *Machine) suspicionTimeout() time.Duration {
	t := 3 * math.Log10(float64(m.liveCount+1)) * float64(probeInterval)
	return max(minSuspicion, time.Duration(t))
}

// transmissions returns how many times an update is piggybacked. At 2 ln(n),
// the expected number of nodes that never receive it is about 1/n.
func (m *Machine) transmissions() int {
	return max(4, int(math.Ceil(2*math.Log(float64(m.liveCount+1)))))
}
