package intake

import "time"

// Intake keeps account of connections and of the bytes that their large requests hold; create it with New.
type Intake struct {
	limits  Limits
	conns   map[uint64]*conn
	addrs   map[string]int // connections of each address
	last    uint64
	bytes   int64
	ending  int64 // held by requests that were given up and haven't released them yet
	serving int   // connections whose request is served
	// closing is the number of connections that were closed for new ones and that the process hasn't released yet.
	closing int
	// framedUntil is when the processor time that was reserved for framing ends.
	framedUntil time.Time
}

// conn is an open connection.
type conn struct {
	addr    string
	serving bool
	since   time.Time // when it was opened or its last answer was sent
	bytes   int64
	held    time.Time // since when it holds bytes
	expired bool      // its request was given up
	ending  int64     // what that held, until it is released
	closing bool      // it was closed for a new one
}

// New returns an Intake without connections.
func New(l Limits) *Intake {
	return &Intake{limits: l, conns: make(map[uint64]*conn), addrs: make(map[string]int)}
}

// Open records a new connection from an address and returns its number. If there are too many, it returns in victim another one that has
// to be closed, or false if there is none, and then the new one has to be closed: each serves a request, or as many as are admitted were
// closed and haven't been released by Close, until which they hold what they held.
func (i *Intake) Open(now time.Time, addr string) (id, victim uint64, ok bool) {
	if i.limits.Conns > 0 && i.Conns() >= i.limits.Conns {
		if i.closing < i.limits.Conns {
			victim = i.dispensable()
		}
		if victim == 0 {
			return 0, 0, false
		}
		i.GiveUp(victim)
		i.conns[victim].closing = true
		i.closing++
	}
	i.last++
	i.conns[i.last] = &conn{addr: addr, since: now}
	i.addrs[addr]++
	return i.last, victim, true
}

// dispensable returns the connection to be closed in favour of a new one, 0 if there is none: of the address with most connections, the
// one that has waited longest for a request that was read.
func (i *Intake) dispensable() uint64 {
	var victim uint64
	for id, c := range i.conns {
		if !c.serving && !c.closing && (victim == 0 || i.before(id, victim)) {
			victim = id
		}
	}
	return victim
}

// before reports whether connection a is closed before b.
func (i *Intake) before(a, b uint64) bool {
	x, y := i.conns[a], i.conns[b]
	if n, m := i.addrs[x.addr], i.addrs[y.addr]; n != m {
		return n > m
	}
	if !x.since.Equal(y.since) {
		return x.since.Before(y.since)
	}
	return a < b
}

// Close records the end of a connection; it does nothing if that is known.
func (i *Intake) Close(id uint64) {
	c := i.conns[id]
	if c == nil {
		return
	}
	i.release(c)
	i.endService(c)
	delete(i.conns, id)
	if c.closing {
		i.closing--
	}
	if i.addrs[c.addr]--; i.addrs[c.addr] == 0 {
		delete(i.addrs, c.addr)
	}
}

// Serve records that the request of a connection has been read, so that the connection isn't closed before the answer. It returns false
// if the connection or its request was given up. If full is true, the request can't be served since too many are: some connections are
// kept for requests that are answered at once, and for callers other than the one with most connections.
func (i *Intake) Serve(id uint64) (ok, full bool) {
	c := i.conns[id]
	switch {
	case c == nil || c.expired:
		return false, false
	case c.serving:
		return true, false
	case i.limits.Conns > 0 && i.serving >= i.limits.Conns-i.limits.Conns/unservedShare && i.hasMost(c.addr):
		return false, true
	}
	c.serving = true
	i.serving++
	return true, false
}

// hasMost reports whether no address has more connections than the given one.
func (i *Intake) hasMost(addr string) bool {
	own := i.addrs[addr]
	for _, n := range i.addrs {
		if n > own {
			return false
		}
	}
	return true
}

// endService records that the request of a connection was answered or has lost its connection.
func (i *Intake) endService(c *conn) {
	if c.serving {
		i.serving--
	}
}

// Await records that a connection's answer was sent and that its next request is awaited, which holds no bytes yet.
func (i *Intake) Await(now time.Time, id uint64) {
	c := i.conns[id]
	if c == nil || c.closing {
		return
	}
	i.release(c)
	i.endService(c)
	*c = conn{addr: c.addr, since: now}
}

func (i *Intake) release(c *conn) {
	i.bytes -= c.bytes
	i.ending -= c.ending
	c.bytes, c.ending = 0, 0
}

// Hold records how many bytes the request of a connection holds, and returns the connections whose requests have to be given up as all
// hold too many. The request may be among them, and then doesn't hold more than before. One that is alone is never given up.
//
// Requests that were given up hold their bytes until they release them, which takes a while on a busy host. If all together would hold
// more than twice the limit, wait is true: nothing was recorded, and the request has to ask again.
func (i *Intake) Hold(now time.Time, id uint64, bytes int64) (victims []uint64, wait bool) {
	c := i.conns[id]
	switch {
	case c == nil:
		return nil, false
	case bytes == 0:
		i.release(c)
		return nil, false
	case c.expired:
		return []uint64{id}, false
	case c.bytes == 0:
		c.held = now
	}
	before := c.bytes
	i.bytes += bytes - before
	c.bytes = bytes
	if bytes <= before || i.limits.Bytes <= 0 {
		return nil, false
	}
	for i.bytes > i.limits.Bytes && i.bytes > c.bytes && !c.expired {
		victim := i.costliest(now, id)
		i.GiveUp(victim)
		victims = append(victims, victim)
	}
	switch {
	case c.expired:
		// What it asked for isn't allocated.
		i.ending -= c.ending - before
		c.ending = before
	case i.ending > 0 && i.bytes+i.ending > 2*i.limits.Bytes:
		i.bytes -= bytes - before
		c.bytes = before
		wait = true
	}
	return victims, wait
}

// GiveUp gives up the request of a connection, which holds its bytes until it releases them.
func (i *Intake) GiveUp(id uint64) {
	c := i.conns[id]
	if c == nil || c.expired {
		return
	}
	i.bytes -= c.bytes
	i.ending += c.bytes
	c.bytes, c.ending, c.expired = 0, c.bytes, true
}

// costliest returns the connection whose request has held most bytes for the longest time, by their product, which is the largest
// and the slowest at once. It is id if the others with bytes are served.
func (i *Intake) costliest(now time.Time, id uint64) uint64 {
	victim, most := id, i.conns[id].cost(now)
	for other, c := range i.conns {
		if c.serving || c.bytes == 0 {
			continue
		}
		if cost := c.cost(now); cost > most || cost == most && other < victim {
			victim, most = other, cost
		}
	}
	return victim
}

// cost returns the product of the bytes and of the time for which they were held.
func (c *conn) cost(now time.Time) float64 {
	return float64(c.bytes) * float64(now.Sub(c.held)+time.Millisecond)
}

// Bytes returns how many bytes the requests hold.
func (i *Intake) Bytes() int64 { return i.bytes + i.ending }

// Conns returns the number of connections that weren't closed for others.
func (i *Intake) Conns() int { return len(i.conns) - i.closing }
