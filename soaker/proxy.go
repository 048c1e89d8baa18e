package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkState is what a proxy does to the connections through it.
type linkState struct {
	// Delay is added to every piece of data.
	Delay time.Duration
	// DropsForward and DropsBackward hold back what goes to the target or comes
	// from it. Nothing is lost: it goes on once the link is whole.
	DropsForward, DropsBackward bool
}

const (
	copyBytes = 32 << 10
	// heldPoll is how often a held link looks whether it is whole again.
	heldPoll = 20 * time.Millisecond
)

// proxy passes connections on to a target over loopback and disturbances them as told.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]struct{}
}

func startProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
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
			go p.pass(conn)
		}
	}
}

// set changes the state of the link.
func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// reset resets every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) pass(conn net.Conn) {
	forward, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.track(conn, forward)
	var ended sync.WaitGroup
	ended.Go(func() { p.copy(forward, conn, func(s linkState) bool { return s.DropsForward }) })
	ended.Go(func() { p.copy(conn, forward, func(s linkState) bool { return s.DropsBackward }) })
	ended.Wait()
	p.untrack(conn, forward)
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// copy passes one direction on, and its end.
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

// deliver writes a piece of data once the link lets it through.
func (p *proxy) deliver(to net.Conn, data []byte, isHeld func(linkState) bool) bool {
	for {
		p.mu.Lock()
		state := p.state
		_, isOpen := p.conns[to]
		p.mu.Unlock()
		if !isOpen {
			return false
		}
		if !isHeld(state) {
			time.Sleep(state.Delay)
			break
		}
		time.Sleep(heldPoll)
	}
	_, err := to.Write(data)
	return err == nil
}
