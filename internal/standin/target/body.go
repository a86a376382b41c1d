package target

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Body is a reader of the deterministic response body for a seed and a request
// ID. It never ends; the caller limits the number of bytes.
type Body struct {
	source *rand.PCG
	word   [8]byte
	unread int
}

// NewBody returns a reader at the first byte of the body for a request ID.
func NewBody(seed uint64, requestID string) *Body {
	return &Body{source: rand.NewPCG(seed, xxhash.Sum64String(requestID))}
}

// Read fills p and never returns an error.
func (b *Body) Read(p []byte) (int, error) {
	n := len(p)
	for len(p) > 0 {
		if b.unread == 0 && len(p) >= 8 {
			binary.LittleEndian.PutUint64(p, b.source.Uint64())
			p = p[8:]
			continue
		}
		if b.unread == 0 {
			binary.LittleEndian.PutUint64(b.word[:], b.source.Uint64())
			b.unread = 8
		}
		c := copy(p, b.word[8-b.unread:])
		b.unread -= c
		p = p[c:]
	}
	return n, nil
}

// newTextBody returns a readable body of n bytes: a JSON object and filler. The
// object is truncated if it is longer than n.
func newTextBody(service, method, path, requestID string, n int64) io.Reader {
	head, _ := json.Marshal(map[string]string{"service": service, "request": method + " " + path, "request_id": requestID})
	head = append(head, '\n')
	fillerLine := []byte(strings.Repeat("-", 63) + "\n")
	fillerBytes := max(n-int64(len(head)), 0)
	return io.LimitReader(io.MultiReader(bytes.NewReader(head), bytes.NewReader(bytes.Repeat(fillerLine, int(fillerBytes)/len(fillerLine)+1))), n)
}

// serviceTime returns the service time of a request and whether it is a
// straggler. Besides the faults it depends only on the seed, the request ID and
// the route, so every system under test gets the same workload and a retry
// of a long request is long again.
func (r *Route) serviceTime(seed uint64, requestID string, f *Faults) (d time.Duration, straggler bool) {
	rng := rand.New(rand.NewPCG(seed^xxhash.Sum64String(r.PathPrefix), xxhash.Sum64String(requestID)))
	straggler = rng.Float64() < f.StragglerShare
	ms := r.TimeMS
	switch r.Distribution {
	case "exponential":
		ms *= rng.ExpFloat64()
	case "lognormal":
		// The shift by sigma²/2 keeps the mean at TimeMS.
		ms *= math.Exp(r.Sigma*rng.NormFloat64() - r.Sigma*r.Sigma/2)
	}
	if straggler {
		ms *= f.StragglerFactor
	}
	return time.Duration(ms * float64(time.Millisecond)), straggler
}
