package standin

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// maxBufferedBytes is the number of bytes in flight in one direction of a connection at which a
// write blocks. Messages between processes are smaller, since a writer that blocked while it holds
// a lock would stop the fake time.
const maxBufferedBytes = 64 << 10

// segment is a part of a write in flight.
type segment struct {
	data    []byte
	arrival time.Time
}

// memoryConn is one end of a connection in memory.
type memoryConn struct {
	host    *Host
	peer    *memoryConn
	address netip.AddrPort

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change of this end
	incoming      []segment
	bufferedBytes int
	isClosed      bool // this end is closed
	isPeerClosed  bool // the peer is closed; segments in flight can still be read
	readDeadline  time.Time
	writeDeadline time.Time
}

func connect(from, to *Host, address netip.AddrPort) (local, remote *memoryConn) {
	local = &memoryConn{host: from, address: address, changed: make(chan struct{})}
	remote = &memoryConn{host: to, address: address, changed: make(chan struct{})}
	local.peer, remote.peer = remote, local
	for _, c := range []*memoryConn{local, remote} {
		c.host.mu.Lock()
		c.host.conns[c] = true
		c.host.mu.Unlock()
	}
	return local, remote
}

// update calls its argument with the lock held and wakes the goroutines that wait for this end.
func (c *memoryConn) update(update func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update()
	close(c.changed)
	c.changed = make(chan struct{})
}

// wait blocks until this end changes, the first of the deadlines passes or the partitions change.
// A zero deadline means none.
func wait(changed, partitionsChanged <-chan struct{}, deadlines ...time.Time) {
	var expired <-chan time.Time
	var earliest time.Time
	for _, t := range deadlines {
		if !t.IsZero() && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	if !earliest.IsZero() {
		timer := time.NewTimer(time.Until(earliest))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-partitionsChanged:
	case <-expired:
	}
}

func isPast(t time.Time) bool {
	return !t.IsZero() && !time.Now().Before(t)
}

// Read returns data that has arrived, and io.EOF after the last data of a peer that is closed.
func (c *memoryConn) Read(p []byte) (int, error) {
	for {
		isPartitioned, partitionsChanged := c.host.network.isPartitioned(c.host.domain, c.peer.host.domain)
		c.mu.Lock()
		var arrival time.Time
		switch {
		case c.isClosed:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case isPast(c.readDeadline):
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(c.incoming) > 0 && !isPartitioned && isPast(c.incoming[0].arrival):
			n := c.consume(p)
			c.mu.Unlock()
			return n, nil
		case len(c.incoming) > 0 && !isPartitioned:
			arrival = c.incoming[0].arrival
		case len(c.incoming) == 0 && c.isPeerClosed && !isPartitioned:
			c.mu.Unlock()
			return 0, io.EOF
		}
		changed, readDeadline := c.changed, c.readDeadline
		c.mu.Unlock()
		wait(changed, partitionsChanged, arrival, readDeadline)
	}
}

// consume copies data that has arrived to p and wakes a writer that waits for buffer space. The
// lock must be held.
func (c *memoryConn) consume(p []byte) int {
	n := copy(p, c.incoming[0].data)
	c.incoming[0].data = c.incoming[0].data[n:]
	if len(c.incoming[0].data) == 0 {
		c.incoming = c.incoming[1:]
	}
	c.bufferedBytes -= n
	close(c.changed)
	c.changed = make(chan struct{})
	return n
}

// Write sends p in segments. The links between the hosts determine when they arrive; Write blocks
// only while the peer's buffer is full.
func (c *memoryConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), maxSegmentBytes)]
		if err = c.writePart(part); err != nil {
			return written, err
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

func (c *memoryConn) writePart(part []byte) error {
	if err := c.awaitRoom(); err != nil {
		return err
	}
	arrival := c.host.network.transfer(c.host, c.peer.host, len(part))
	c.peer.update(func() {
		c.peer.incoming = append(c.peer.incoming, segment{data: append([]byte(nil), part...), arrival: arrival})
		c.peer.bufferedBytes += len(part)
	})
	return nil
}

// awaitRoom waits until the peer's buffer has space.
func (c *memoryConn) awaitRoom() error {
	for {
		c.mu.Lock()
		isClosed, writeDeadline, ownChanged := c.isClosed, c.writeDeadline, c.changed
		c.mu.Unlock()
		c.peer.mu.Lock()
		isRemoteClosed, bufferedBytes, changed := c.peer.isClosed, c.peer.bufferedBytes, c.peer.changed
		c.peer.mu.Unlock()
		switch {
		case isClosed || isRemoteClosed:
			return net.ErrClosed
		case isPast(writeDeadline):
			return os.ErrDeadlineExceeded
		case bufferedBytes < maxBufferedBytes:
			return nil
		}
		wait(changed, ownChanged, writeDeadline)
	}
}

// Close closes this end. The peer can read the data in flight and then gets io.EOF.
func (c *memoryConn) Close() error {
	c.update(func() { c.isClosed = true })
	c.peer.update(func() { c.peer.isPeerClosed = true })
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return nil
}

// LocalAddr returns the address that was dialled; both ends have the same.
func (c *memoryConn) LocalAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.address)
}

// RemoteAddr returns the address that was dialled; both ends have the same.
func (c *memoryConn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.address)
}

// SetDeadline sets the deadline of reads and writes, also of those that are blocked.
func (c *memoryConn) SetDeadline(t time.Time) error {
	c.update(func() { c.readDeadline, c.writeDeadline = t, t })
	return nil
}

// SetReadDeadline sets the deadline of reads, also of those that are blocked.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.update(func() { c.readDeadline = t })
	return nil
}

// SetWriteDeadline sets the deadline of writes, also of those that are blocked.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.update(func() { c.writeDeadline = t })
	return nil
}
