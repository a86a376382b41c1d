package bootstrap

import "time"

// ages determines the age of rows without relying on synchronized clocks.
//
// A row is fresh if its time of day differs from the reader's by at most
// maxAge in either direction. Rows are written every 30 s, so the clocks of
// writer and reader may differ by 90 s. If they differ by more, the row is
// fresh once the reader has seen it change, and for maxAge after the last
// change on the reader's monotonic clock.
//
// Deletion depends only on the monotonic clock, so that a VM whose time of day
// is wrong cannot delete the rows of other nodes.
type ages map[string]observation

// observation is the last change of a row that this node observed.
type observation struct {
	etag string
	// since is when the node first saw the row with this ETag.
	since time.Duration
	// changed is set if the node saw the row with another ETag before.
	changed bool
}

// observe records which rows have changed, and removes those that no longer
// exist among the keys that the read covered.
func (a ages) observe(rows []keyedRow, now time.Duration, covered func(key string) bool) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.key] = true
		if s, ok := a[r.key]; !ok || s.etag != r.etag {
			a[r.key] = observation{r.etag, now, ok}
		}
	}
	for key := range a {
		if !present[key] && covered(key) {
			delete(a, key)
		}
	}
}

// fresh reports whether the address in the row should be tried.
func (a ages) fresh(r keyedRow, wall time.Time, now time.Duration) bool {
	if r.malformed {
		return false
	}
	s, ok := a[r.key]
	if ok && now-s.since > maxAge {
		return false
	}
	age := wall.Sub(time.UnixMilli(r.value.WrittenMS))
	return age.Abs() <= maxAge || (ok && s.changed)
}

// expired reports whether the row has not changed for more than maxAge.
func (a ages) expired(r keyedRow, now time.Duration) bool {
	s, ok := a[r.key]
	return ok && now-s.since > maxAge
}
