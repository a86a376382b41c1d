package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// returned is the set of deposits that a node got back.
func returned(p *peer) map[string]bool {
	out := map[string]bool{}
	for _, e := range p.events {
		if e.Kind == Returned {
			out[string(e.Data)] = true
		}
	}
	return out
}

func (n *network) deposit(t *testing.T, p *peer, data string) uint64 {
	t.Helper()
	seq, packets, err := p.m.Deposit(n.now, n.rng, []byte(data), 2*time.Second)
	assert.NilError(t, err)
	n.send(p, packets)
	return seq
}

// deposited reports whether enough nodes hold a deposit.
func deposited(p *peer, seq uint64) bool {
	for _, e := range p.events {
		if e.Kind == Deposited && e.Version == seq {
			return true
		}
	}
	return false
}

// restart replaces a crashed node by a later process.
func (n *network) restart(p *peer, incarnation uint64, seeds ...string) *peer {
	node := p.m.self.node
	node.Incarnation, node.Version = incarnation, 1
	p.m, p.crashed, p.events = New(node, seeds, n.now, n.rng), false, nil
	return p
}

// Guards against a deposit that is reported as held and does not come back to the next
// process, with lost and repeated datagrams, after one holder has crashed too, and
// again to the process after that.
func TestDepositsReturnToTheNextProcess(t *testing.T) {
	for seed := range uint64(20) {
		n := fullNetwork(12, seed)
		n.loss, n.duplication = 0.2, 0.1
		owner := n.peers[3]
		var seqs []uint64
		for i := range 3 {
			seqs = append(seqs, n.deposit(t, owner, fmt.Sprintf("data-%d", i)))
		}
		_, ok := n.runUntil(2*time.Second, func() bool {
			return deposited(owner, seqs[0]) && deposited(owner, seqs[1]) && deposited(owner, seqs[2])
		})
		assert.Assert(t, ok, "seed %d: the deposits are not held", seed)
		owner.crashed = true
		for _, p := range n.peers {
			if len(p.m.held[owner.m.self.node.ID]) > 0 {
				p.crashed = true
				break
			}
		}
		for incarnation := range uint64(2) {
			n.restart(owner, 1764000000001+incarnation, n.peers[0].addr, n.peers[7].addr)
			took, ok := n.runUntil(5*time.Second, func() bool { return len(returned(owner)) == 3 })
			assert.Assert(t, ok, "seed %d: %d of 3 deposits are back after %v", seed, len(returned(owner)), took)
			owner.crashed = true
		}
	}
}

// Guards against returns without end, to a process that has acknowledged them or to
// the one that left the deposit.
func TestReturnsEnd(t *testing.T) {
	n := fullNetwork(5, 1)
	owner := n.peers[0]
	n.deposit(t, owner, "data")
	n.run(5 * time.Second)
	assert.Equal(t, len(returned(owner)), 0)
	owner.crashed = true
	n.restart(owner, 1764000000001, n.peers[1].addr)
	n.run(5 * time.Second)
	count := len(owner.events)
	n.run(5 * time.Second)
	assert.Equal(t, len(owner.events), count)
	n.run(DepositRetention)
	for _, p := range n.peers {
		assert.Equal(t, len(p.m.held)+len(p.m.placements), 0)
	}
}

// Guards against a deposit that counts as held although no other node has it, and
// against memory without bound for the deposits of others.
func TestDepositsAreBounded(t *testing.T) {
	alone := newNetwork(1)
	p := alone.add(testNode(0))
	seq := alone.deposit(t, p, "data")
	alone.run(3 * time.Second)
	assert.Assert(t, !deposited(p, seq))

	n := fullNetwork(3, 1)
	holder := n.peers[1].m
	for i := range 3 * maxHeldPerNode {
		n.deposit(t, n.peers[0], fmt.Sprint(i))
		n.run(time.Second)
		assert.Assert(t, len(holder.held["node-0000"]) <= maxHeldPerNode)
	}
	for i := range 2 * maxDepositors {
		holder.onDeposit(&message{kind: kindDeposit, from: fmt.Sprint("other-", i), data: []byte("data")})
	}
	assert.Equal(t, len(holder.held), maxDepositors)
	_, _, err := holder.Deposit(n.now, n.rng, make([]byte, MaxDepositBytes+1), time.Second)
	assert.ErrorContains(t, err, "512")
}

// Nodes that hold a deposit stop one after the other, and their owner is not there.
// Guards against a deposit that is held by nodes only until they stop, with lost
// datagrams.
func TestDepositsAreHandedOverByNodesThatStop(t *testing.T) {
	for seed := range uint64(20) {
		n := fullNetwork(8, seed)
		n.loss = 0.2
		owner := n.peers[3]
		seq := n.deposit(t, owner, "data")
		_, ok := n.runUntil(2*time.Second, func() bool { return deposited(owner, seq) })
		assert.Assert(t, ok, "seed %d: the deposit is not held", seed)
		owner.crashed = true
		for i, p := range n.peers {
			if p == owner {
				continue
			}
			for range 3 {
				n.send(p, p.m.HandOver(n.now, n.rng))
				n.run(100 * time.Millisecond)
			}
			p.crashed = true
			n.run(100 * time.Millisecond)
			n.restart(p, 1764000000001+uint64(i), n.peers[(i+1)%len(n.peers)].addr, n.peers[(i+2)%len(n.peers)].addr)
			n.run(time.Second)
		}
		n.restart(owner, 1764000000100, n.peers[0].addr, n.peers[7].addr)
		_, ok = n.runUntil(5*time.Second, func() bool { return len(returned(owner)) == 1 })
		assert.Assert(t, ok, "seed %d: the deposit is not back", seed)
	}
}
