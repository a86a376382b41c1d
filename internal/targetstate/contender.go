package targetstate

import "time"

const (
	// contenderHeartbeats is the number of announcements in a row, and of heartbeat
	// intervals that they must span, after which they outlast one in force that has
	// not been renewed for unrenewedHeartbeats intervals.
	contenderHeartbeats = 5
	unrenewedHeartbeats = 10
)

// contender follows announcements that the one in force outranks. One from another
// writer can claim a later order than the target will ever reach; it shows by not
// being renewed, while the target goes on. Announcements that are late end, and do
// not go on for long.
type contender struct {
	last  Announcement
	since time.Duration
	count int
}

// outlasts records an announcement and reports whether it replaces the one in force,
// which was last renewed at renewed.
func (c *contender) outlasts(a *Announcement, now, renewed, interval time.Duration) bool {
	if c.count == 0 || a.ID != c.last.ID || a.StartedAtMillis != c.last.StartedAtMillis || a.Sequence <= c.last.Sequence {
		c.since, c.count = now, 0
	}
	c.last = *a
	c.count++
	return c.count >= contenderHeartbeats && now-c.since >= (contenderHeartbeats-1)*interval && now-renewed > unrenewedHeartbeats*interval
}
