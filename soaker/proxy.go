package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/discerner"
)

// linkState is the fault that a proxy applies to its connections.
type linkState struct {
	// Delay is added to every chunk of data.
	Delay time.Duration
	// HoldsForward and HoldsBackward hold back the data sent to the target or by it. No data
	// is lost: the proxy delivers it when the link is restored.
	HoldsForward, HoldsBackward bool
}

const (
	copyBytes = 32 << 10
	// queueBytes is the size of the kernel's queues towards the target, so that a target that
	// does not read blocks the sender.
	queueBytes = 64 << 10
	// holdPollInterval is the interval at which held data checks whether the link is
	// restored.
	holdPollInterval = 20 * time.Millisecond
)

// proxy forwards connections to a target over loopback and applies the fault of its link
// state to them.
type proxy struct {
	target   string
	listener net.Listener

	// owner, if set, returns the ID of the instance that has opened a connection, and cuts
	// are the instances that are cut off.
	owner func(conn connection) string
	cuts  *serverCuts

	mu    sync.Mutex
	state linkState
	// connections are the open connections.
	connections map[net.Conn]opener
}

// opener is who opened a connection, and when.
type opener struct {
	instance string
	at       time.Time
}

// connection is the part of a net.Conn that identifies it.
type connection interface {
	LocalAddr() net.Addr
	RemoteAddr() net.Addr
}

// serverCuts are the instances that are cut off from all servers. It is safe for concurrent
// use.
type serverCuts struct {
	mu         sync.Mutex
	byInstance map[string]startedCut
}

type startedCut struct {
	cut *serverCut
	at  time.Time
}

func newServerCuts() *serverCuts { return &serverCuts{byInstance: map[string]startedCut{}} }

func (c *serverCuts) set(instance string, cut *serverCut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byInstance[instance] = startedCut{cut: cut, at: time.Now()}
}

// of returns the cut of an instance, or nil, and when it began.
func (c *serverCuts) of(instance string) (*serverCut, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	started := c.byInstance[instance]
	return started.cut, started.at
}

func startProxy(ip, target string) (*proxy, error) { return startOwnedProxy(ip, target, nil, nil) }

// startOwnedProxy starts a proxy that tells instances apart.
func startOwnedProxy(ip, target string, owner func(connection) string, cuts *serverCuts) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, connections: map[net.Conn]opener{}, owner: owner, cuts: cuts}
	go p.run()
	return p, nil
}

// ownerOf returns the instance that has opened a connection, if instances are told apart.
func (p *proxy) ownerOf(conn net.Conn) string {
	if p.owner == nil {
		return ""
	}
	return p.owner(conn)
}

// isCut reports whether a connection carries no data because of its instance's cut.
func (p *proxy) isCut(by opener) bool {
	if p.cuts == nil || by.instance == "" {
		return false
	}
	cut, since := p.cuts.of(by.instance)
	return cut != nil && (!cut.keepsOpen || by.at.After(since))
}

// resetOwner resets the open connections of an instance.
func (p *proxy) resetOwner(owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, by := range p.connections {
		if by.instance == owner {
			_ = discerner.Reset(conn)
		}
	}
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(conn)
		}
	}
}

// setState changes the state of the link.
func (p *proxy) setState(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// reset resets every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		_ = discerner.Reset(conn)
	}
	clear(p.connections)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) serve(conn net.Conn) {
	owner := p.ownerOf(conn)
	dialed, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(queueBytes)
	_ = dialed.(*net.TCPConn).SetWriteBuffer(queueBytes)
	upstream := discerner.New(dialed)
	p.track(owner, conn, upstream)
	var ended sync.WaitGroup
	ended.Go(func() { p.copy(upstream, conn, func(s linkState) bool { return s.HoldsForward }) })
	ended.Go(func() { p.copy(conn, upstream, func(s linkState) bool { return s.HoldsBackward }) })
	ended.Wait()
	p.untrack(conn, upstream)
}

func (p *proxy) track(owner string, connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range connections {
		p.connections[c] = opener{instance: owner, at: time.Now()}
	}
}

func (p *proxy) untrack(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range connections {
		_ = c.Close()
		delete(p.connections, c)
	}
}

// copy forwards the data of one direction, and the end of its stream or a reset.
func (p *proxy) copy(to, from net.Conn, isHeld func(linkState) bool) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.deliver(to, buffer[:n], isHeld) {
			return
		}
		if errors.Is(err, io.EOF) {
			if half, ok := to.(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = discerner.Reset(to)
			return
		}
	}
}

// deliver writes a chunk of data as soon as the link does not hold it back. It reports
// whether the write succeeded.
func (p *proxy) deliver(to net.Conn, data []byte, isHeld func(linkState) bool) bool {
	for {
		p.mu.Lock()
		state := p.state
		by, isOpen := p.connections[to]
		p.mu.Unlock()
		if !isOpen {
			return false
		}
		if !isHeld(state) && !p.isCut(by) {
			time.Sleep(state.Delay)
			break
		}
		time.Sleep(holdPollInterval)
	}
	_, err := to.Write(data)
	return err == nil
}
