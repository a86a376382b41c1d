package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against bytes that are lost, repeated or read beyond the limit, whatever the
// declared length, and against bytes that stay counted.
func TestReadReturnsTheBody(t *testing.T) {
	body := []byte(strings.Repeat("0123456789", 2000))
	for _, length := range []int{0, 1, 511, minBuffer - 1, minBuffer, minBuffer + 1, len(body)} {
		for _, size := range []int64{-1, 0, int64(length), int64(length) + 100} {
			for _, limit := range []int64{0, 1, minBuffer, 10_000, 100_000} {
				b := New(1 << 20)
				data, free, err := b.Read(iotest.HalfReader(bytes.NewReader(body[:length])), size, limit)
				assert.NilError(t, err)
				want := body[:min(int64(length), limit)]
				assert.Assert(t, bytes.Equal(data, want), "length %d, size %d, limit %d: %d bytes", length, size, limit, len(data))
				assert.Assert(t, b.Used() >= int64(len(data)))
				free()
				free()
				assert.Equal(t, b.Used(), int64(0))
			}
		}
	}
}

// Guards against bodies that take more than the budget together, and against a budget
// that is not whole again after refusals and errors.
func TestBudgetIsKept(t *testing.T) {
	b := New(100_000)
	var mu sync.Mutex
	var frees []func()
	var running sync.WaitGroup
	refused := 0
	for range 50 {
		running.Go(func() {
			data, free, err := b.Read(strings.NewReader(strings.Repeat("a", 20_000)), -1, 1<<20)
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, ErrExhausted) {
				refused++
				return
			}
			assert.Check(t, err == nil && len(data) == 20_000)
			frees = append(frees, free)
		})
	}
	running.Wait()
	assert.Assert(t, refused > 0 && len(frees) > 0 && len(frees) <= 5, "%d refused, %d read", refused, len(frees))
	assert.Assert(t, b.Used() <= 100_000)
	for _, free := range frees {
		free()
	}
	broken := io.MultiReader(strings.NewReader("some"), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, _, err := b.Read(broken, -1, 1<<20)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against a buffer that two bodies get, and against idle buffers that take more
// memory than the budget or stay when no body is in memory.
func TestBuffersAreUsedByOneBody(t *testing.T) {
	const limit = 1 << 20
	b := New(limit)
	var running sync.WaitGroup
	for i := range 64 {
		running.Go(func() {
			want := bytes.Repeat([]byte{byte(i)}, 1000*(i+1))
			for n := range 100 {
				size := int64(-1)
				if n%2 == 0 {
					size = int64(len(want))
				}
				var r io.Reader = bytes.NewReader(want)
				if n%5 == 0 {
					r = io.MultiReader(r, iotest.ErrReader(io.ErrUnexpectedEOF))
				}
				data, free, err := b.Read(r, size, limit)
				b.mu.Lock()
				assert.Check(t, b.used+b.idleBytes <= limit)
				b.mu.Unlock()
				if err == nil {
					runtime.Gosched()
					assert.Check(t, bytes.Equal(data, want))
				}
				free()
			}
		})
	}
	running.Wait()
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, b.idleBytes, int64(0))
	assert.Equal(t, len(b.idle), 0)
}

// Guards against bytes that are no longer counted while an execution that was left by
// its caller still uses them.
func TestHoldEndsWithItsLastUser(t *testing.T) {
	b := New(1 << 20)
	_, free, err := b.Read(strings.NewReader("body"), -1, 100)
	assert.NilError(t, err)
	ctx, hold := NewHold(t.Context())
	Attach(ctx, free)
	end := Join(ctx)
	hold.End()
	assert.Assert(t, b.Used() > 0)
	end()
	assert.Equal(t, b.Used(), int64(0))
	Join(t.Context())()
}
