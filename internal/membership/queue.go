package membership

// updateQueue holds the IDs of the nodes whose records are to be piggybacked.
// The records that were sent the fewest times go first, so that old updates do
// not delay new ones.
type updateQueue struct {
	// levels holds the items by the number of times they were sent.
	levels  [][]*queuedUpdate
	current map[string]*queuedUpdate
}

type queuedUpdate struct {
	id string
	// stale is set when the ID was removed or queued again.
	stale bool
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{current: make(map[string]*queuedUpdate)}
}

// add queues an ID and resets its count of transmissions.
func (q *updateQueue) add(id string) {
	if old := q.current[id]; old != nil {
		old.stale = true
	}
	item := &queuedUpdate{id: id}
	q.current[id] = item
	q.push(0, item)
}

func (q *updateQueue) remove(id string) {
	if old := q.current[id]; old != nil {
		old.stale = true
		delete(q.current, id)
	}
}

func (q *updateQueue) push(level int, item *queuedUpdate) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], item)
}

// sendPending calls send for queued IDs until it returns false, which means
// that the datagram is full. It removes an ID after limit transmissions.
func (q *updateQueue) sendPending(limit int, send func(id string) bool) {
	if len(q.current) == 0 {
		return
	}
	type move struct {
		level int
		item  *queuedUpdate
	}
	var sent []move
	full := false
	for level := 0; level < len(q.levels) && !full; level++ {
		items := q.levels[level]
		i := 0
		for ; i < len(items); i++ {
			if items[i].stale {
				continue
			}
			if full = !send(items[i].id); full {
				break
			}
			sent = append(sent, move{level + 1, items[i]})
		}
		q.levels[level] = items[i:]
		if i == len(items) {
			q.levels[level] = nil
		}
	}
	for _, m := range sent {
		if m.level >= limit {
			delete(q.current, m.item.id)
		} else {
			q.push(m.level, m.item)
		}
	}
}
