package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
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
	// holdPollInterval is the interval at which held data checks whether the link is
	// restored.
	holdPollInterval = 20 * time.Millisecond
)

// proxy forwards connections to a target over loopback and applies the fault of its link
// state to them.
type proxy struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	state       linkState
	connections map[net.Conn]struct{}
}

func startProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, connections: map[net.Conn]struct{}{}}
	go p.run()
	return p, nil
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
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.connections)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) serve(conn net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.track(conn, upstream)
	var ended sync.WaitGroup
	ended.Go(func() { p.copy(upstream, conn, func(s linkState) bool { return s.HoldsForward }) })
	ended.Go(func() { p.copy(conn, upstream, func(s linkState) bool { return s.HoldsBackward }) })
	ended.Wait()
	p.untrack(conn, upstream)
}

func (p *proxy) track(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range connections {
		p.connections[c] = struct{}{}
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

// copy forwards the data of one direction, and the end of its stream.
func (p *proxy) copy(to, from net.Conn, isHeld func(linkState) bool) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.deliver(to, buffer[:n], isHeld) {
			return
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close()
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
		_, isOpen := p.connections[to]
		p.mu.Unlock()
		if !isOpen {
			return false
		}
		if !isHeld(state) {
			time.Sleep(state.Delay)
			break
		}
		time.Sleep(holdPollInterval)
	}
	_, err := to.Write(data)
	return err == nil
}
