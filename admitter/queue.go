package admitter

import "time"

const (
	// maxServers is the number of servers at which a request can wait for room.
	maxServers = 2
	// workBits is the number of bits of an order that hold the work, in microseconds.
	workBits = 40
	maxWork  = 1<<workBits - 1
	// maxCompared is the number of waiting requests that are compared, the one that is next by
	// its order among them. They are the first of the heap's array: the upper levels of the
	// heap, which need not be those that come next. Finding those would cost a search each time.
	maxCompared = 8
)

// Bounds bound what waits at an instance.
type Bounds struct {
	// PerPriority is the number of requests of one priority that may wait, so that those of
	// one priority leave room for the others.
	PerPriority int
	// Bytes is the number of bytes that the waiting requests may hold together.
	Bytes int64
}

// Ticket is a request that waits.
type Ticket struct {
	Request *Request
	// Bytes is the memory that the request holds.
	Bytes int64
	// Woken receives a value once the request may run, or can't be answered by its deadline
	// any more. Its capacity is one.
	Woken chan struct{}

	servers   [maxServers]*heap
	positions [maxServers]int
	count     int
	order     uint64
	arrival   uint64
	// inTimeUntil and lostAt are when the request must have begun to be in time, and to be
	// answered by its deadline.
	inTimeUntil, lostAt time.Time
	isWaiting           bool
}

// Queue holds the requests that wait for room, for each server those that it could take. It
// is not safe for concurrent use.
type Queue[Server comparable] struct {
	bounds   Bounds
	servers  map[Server]*heap
	waiting  [maxPriorities]int
	bytes    int64
	arrivals uint64
}

// NewQueue returns an empty Queue.
func NewQueue[Server comparable](bounds Bounds) *Queue[Server] {
	return &Queue[Server]{bounds: bounds, servers: map[Server]*heap{}}
}

// Len returns the number of requests that wait.
func (q *Queue[Server]) Len() int {
	n := 0
	for _, waiting := range q.waiting {
		n += waiting
	}
	return n
}

// Add makes a request wait for room at some servers. It reports false if as many requests
// wait as may.
func (q *Queue[Server]) Add(t *Ticket, standing Standing, servers []Server) bool {
	priority := rankOf(t.Request.Priority)
	if q.waiting[priority] >= q.bounds.PerPriority || q.bytes+t.Bytes > q.bounds.Bytes {
		return false
	}
	q.waiting[priority]++
	q.bytes += t.Bytes
	q.arrivals++
	t.arrival = q.arrivals
	ownTime := t.Request.Expected - t.Request.Wait
	t.inTimeUntil, t.lostAt = t.Request.ObjectiveAt.Add(-ownTime), t.Request.Deadline.Add(-ownTime)
	if t.Request.ObjectiveAt.IsZero() {
		t.inTimeUntil = t.lostAt
	}
	t.order = orderOf(t.Request, standing)
	t.isWaiting = true
	t.count = 0
	for _, server := range servers[:min(len(servers), maxServers)] {
		h := q.servers[server]
		if h == nil {
			h = &heap{}
			q.servers[server] = h
		}
		t.servers[t.count] = h
		t.count++
		h.push(t)
	}
	return true
}

// Remove ends the wait of a request. It does nothing if the request does not wait.
func (q *Queue[Server]) Remove(t *Ticket) {
	if !t.isWaiting {
		return
	}
	t.isWaiting = false
	q.waiting[rankOf(t.Request.Priority)]--
	q.bytes -= t.Bytes
	for i := range t.count {
		t.servers[i].remove(t.positions[i])
	}
}

// Next removes and returns the request that runs next in room that a server has, or nil if
// none waits for it. A request that is returned although it cannot be answered by its
// deadline takes no room: Next is to be called again.
func (q *Queue[Server]) Next(server Server, now time.Time) (t *Ticket, isLost bool) {
	h := q.servers[server]
	if h == nil || len(h.tickets) == 0 {
		return nil, false
	}
	for {
		t = h.tickets[0]
		if now.After(t.lostAt) {
			q.Remove(t)
			return t, true
		}
		if t.order&lateBit != 0 || !now.After(t.inTimeUntil) {
			break
		}
		t.order |= lateBit
		for i := range t.count {
			t.servers[i].fix(t.positions[i])
		}
	}
	t = h.firstOfMost(t, now)
	q.Remove(t)
	return t, false
}

// deadlineEntry is a request and the time that is left until it must have ended.
type deadlineEntry struct {
	ticket     *Ticket
	left, work time.Duration
}

// firstOfMost returns, of the compared requests that stand like the first one, the one that
// runs next if as many as possible are to end in time, or before their deadlines if the first
// one is late. It orders them by when they must have ended and leaves out the longest wherever they
// don't all fit, which is the algorithm of Moore and Hodgson.
func (h *heap) firstOfMost(first *Ticket, now time.Time) *Ticket {
	var buffer [maxCompared]deadlineEntry
	entries := h.entriesLike(first, now, buffer[:0])
	if len(entries) == 1 {
		return first
	}
	var total time.Duration
	kept := 0
	for _, entry := range entries {
		entries[kept] = entry
		kept++
		total += entry.work
		if total > entry.left {
			longest := 0
			for i := range kept {
				if entries[i].work >= entries[longest].work {
					longest = i
				}
			}
			total -= entries[longest].work
			copy(entries[longest:kept], entries[longest+1:kept])
			kept--
		}
	}
	if kept == 0 {
		return first
	}
	return entries[0].ticket
}

// entriesLike appends to entries those of the compared requests that stand like the first
// one, ordered by when they must have ended.
func (h *heap) entriesLike(first *Ticket, now time.Time, entries []deadlineEntry) []deadlineEntry {
	isLate := now.After(first.inTimeUntil)
	for _, t := range h.tickets[:min(len(h.tickets), maxCompared)] {
		if (t.order^first.order)&^lateBit>>overShift != 0 || now.After(t.inTimeUntil) != isLate {
			continue
		}
		until := t.inTimeUntil
		if isLate {
			until = t.lostAt
		}
		entry := deadlineEntry{ticket: t, left: until.Sub(now) + t.Request.Work, work: t.Request.Work}
		if entry.left < entry.work {
			continue
		}
		entries = append(entries, entry)
		for i := len(entries) - 1; i > 0 && entries[i].left < entries[i-1].left; i-- {
			entries[i], entries[i-1] = entries[i-1], entries[i]
		}
	}
	return entries
}

// Forget drops a server at which no request waits.
func (q *Queue[Server]) Forget(server Server) {
	if h := q.servers[server]; h != nil && len(h.tickets) == 0 {
		delete(q.servers, server)
	}
}

// Standing says how a request stands among the others.
type Standing struct {
	// GoesFirst says that its kind or its rank is served too little beside the others.
	GoesFirst bool
	// IsOverShare says that its tenant has had its fair share.
	IsOverShare bool
}

const (
	notFirstShift = 63
	rankShift     = 60
	lateBit       = 1 << 59
	overShift     = 58
	overBit       = 1 << overShift
)

// orderOf returns the order of a request: the lowest runs first. What goes first by its
// standing is before all else, then the more urgent, those that can be in time, those of
// tenants within their share, and of these the least work.
func orderOf(r *Request, standing Standing) uint64 {
	order := min(uint64(max(r.Work, 0).Microseconds()), maxWork)
	order |= uint64(rankOf(r.Priority)) << rankShift
	if !standing.GoesFirst {
		order |= 1 << notFirstShift
	}
	if standing.IsOverShare {
		order |= overBit
	}
	return order
}

func rankOf(priority int) int { return min(max(priority, 0), maxPriorities-1) }

// heap is a binary heap of the requests that wait for one server.
type heap struct{ tickets []*Ticket }

func (t *Ticket) isBefore(other *Ticket) bool {
	return t.order < other.order || (t.order == other.order && t.arrival < other.arrival)
}

func (h *heap) set(position int, t *Ticket) {
	h.tickets[position] = t
	for i := range t.count {
		if t.servers[i] == h {
			t.positions[i] = position
			return
		}
	}
}

func (h *heap) push(t *Ticket) {
	h.tickets = append(h.tickets, t)
	h.up(len(h.tickets) - 1)
}

func (h *heap) remove(position int) {
	last := len(h.tickets) - 1
	moved := h.tickets[last]
	h.tickets[last] = nil
	h.tickets = h.tickets[:last]
	if position == last {
		return
	}
	h.set(position, moved)
	h.fix(position)
}

func (h *heap) fix(position int) { h.down(h.up(position)) }

func (h *heap) up(position int) int {
	t := h.tickets[position]
	for position > 0 {
		parent := (position - 1) / 2
		if !t.isBefore(h.tickets[parent]) {
			break
		}
		h.set(position, h.tickets[parent])
		position = parent
	}
	h.set(position, t)
	return position
}

func (h *heap) down(position int) {
	t := h.tickets[position]
	for {
		child := 2*position + 1
		if child >= len(h.tickets) {
			break
		}
		if child+1 < len(h.tickets) && h.tickets[child+1].isBefore(h.tickets[child]) {
			child++
		}
		if !h.tickets[child].isBefore(t) {
			break
		}
		h.set(position, h.tickets[child])
		position = child
	}
	h.set(position, t)
}
