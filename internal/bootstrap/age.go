package bootstrap

import "time"

// rowObservations holds, by key, the last change of each row that this node
// observed. It tells which rows are current without relying on synchronized
// clocks.
//
// A row that has not changed for more than maxAge on the reader's monotonic
// clock is not fresh. Any other row is fresh if its timestamp differs from the
// reader's wall clock by at most maxAge in either direction, or if the reader
// has seen it change. Rows are written every 30 s, so the timestamp suffices
// while the clocks of writer and reader differ by less than about 90 s.
//
// Deletion depends only on the monotonic clock, so that a VM whose wall clock
// is wrong cannot delete the rows of other nodes.
type rowObservations map[string]observation

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
func (a rowObservations) observe(rows []keyedRow, now time.Duration, covered func(key string) bool) {
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
func (a rowObservations) fresh(r keyedRow, wall time.Time, now time.Duration) bool {
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
func (a rowObservations) expired(r keyedRow, now time.Duration) bool {
	s, ok := a[r.key]
	return ok && now-s.since > maxAge
}
