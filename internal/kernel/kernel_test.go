package kernel

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type recorder struct {
	Base
	name     string
	calls    *[]string
	startErr error
}

func (r *recorder) Start(context.Context) error {
	*r.calls = append(*r.calls, "start "+r.name)
	return r.startErr
}

func (r *recorder) Stop(context.Context) error {
	*r.calls = append(*r.calls, "stop "+r.name)
	return nil
}

// Guards against a service that is stopped before the services that use it, and
// against a failed start that leaves other services running.
func TestServicesStopInReverseOrder(t *testing.T) {
	var calls []string
	k := New()
	assert.NilError(t, k.Register("a", &recorder{name: "a", calls: &calls}))
	assert.NilError(t, k.Register("b", &recorder{name: "b", calls: &calls}))
	assert.NilError(t, k.Register("c", &recorder{name: "c", calls: &calls, startErr: errors.New("in use")}))
	assert.ErrorContains(t, k.Register("a", &recorder{}), "twice")
	assert.ErrorContains(t, k.Start(context.Background()), `start service "c": in use`)
	assert.DeepEqual(t, calls, []string{"start a", "start b", "start c", "stop b", "stop a"})
}

// Guards against a lookup that succeeds with the wrong name or type.
func TestLookup(t *testing.T) {
	k := New()
	assert.NilError(t, k.Register("a", &recorder{}))
	_, err := Lookup[*recorder](k, "a")
	assert.NilError(t, err)
	_, err = Lookup[*recorder](k, "b")
	assert.ErrorContains(t, err, "not registered")
	_, err = Lookup[interface{ Missing() }](k, "a")
	assert.ErrorContains(t, err, "not the requested")
}

// Guards against a full queue that grows, drops the wrong item, or blocks Put
// after Close.
func TestFullQueue(t *testing.T) {
	rejecting := NewQueue[int](2, RejectNew)
	assert.Assert(t, rejecting.Put(1) && rejecting.Put(2) && !rejecting.Put(3))
	assert.Equal(t, rejecting.Dropped(), uint64(1))

	dropping := NewQueue[int](2, DropOldest)
	assert.Assert(t, dropping.Put(1) && dropping.Put(2) && dropping.Put(3))
	got, ok := dropping.TryGet()
	assert.Assert(t, ok)
	assert.Equal(t, got, 2)

	blocking := NewQueue[int](1, Block)
	assert.Assert(t, blocking.Put(1))
	put := make(chan bool)
	go func() { put <- blocking.Put(2) }()
	blocking.Close()
	assert.Assert(t, !<-put, "Put accepted an item after Close")
	got, ok = blocking.Get(context.Background())
	assert.Assert(t, ok && got == 1, "Get did not return the item queued before Close")
	_, ok = blocking.Get(context.Background())
	assert.Assert(t, !ok)
}

// Guards against a worker whose function is still called after Stop.
func TestStoppedWorkerDoesNotRun(t *testing.T) {
	var w Worker
	w.Stop() // before the start
	ticks := make(chan struct{}, 100)
	w.StartPeriodic(time.Millisecond, func() { ticks <- struct{}{} })
	<-ticks
	w.Stop()
	for len(ticks) > 0 {
		<-ticks
	}
	time.Sleep(5 * time.Millisecond)
	assert.Equal(t, len(ticks), 0)
}
