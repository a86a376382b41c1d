package responsecheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against alarms for requests that the node itself ended, and against a counter
// that names another reason than the log.
func TestCount(t *testing.T) {
	for _, c := range []struct {
		err  error
		want [3]uint64 // reset, truncated, invalid
	}{
		{fmt.Errorf("read: %w: %w", ErrReset, syscall.ECONNRESET), [3]uint64{1, 0, 0}},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, [3]uint64{1, 0, 0}},
		{fmt.Errorf("read: %w", io.ErrUnexpectedEOF), [3]uint64{0, 1, 0}},
		{io.EOF, [3]uint64{0, 1, 0}},
		{fmt.Errorf("%w: status", ErrInvalidHead), [3]uint64{0, 0, 1}},
		{ErrHeadTooLarge, [3]uint64{0, 0, 1}},
		{errors.New("malformed chunked encoding"), [3]uint64{0, 0, 1}},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, [3]uint64{}},
		{fmt.Errorf("read: %w", context.Canceled), [3]uint64{}},
		{context.DeadlineExceeded, [3]uint64{}},
	} {
		counts := func() [3]uint64 {
			return [3]uint64{resetResponses.Get(), truncatedResponses.Get(), invalidResponses.Get()}
		}
		before := counts()
		Count(c.err)
		after := counts()
		for i := range after {
			assert.Equal(t, after[i]-before[i], c.want[i], "%v: counter %d", c.err, i)
		}
	}
}
