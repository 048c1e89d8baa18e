package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	callerHost = "soak.example"
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 80 * time.Millisecond
	// lookupEvery is how long a caller keeps the answer to a look-up.
	lookupEvery = 1500 * time.Millisecond
	// objects is the number of objects that requests are about.
	objects = 40
	// stickyShare is the share of callers that keep their connection for as long
	// as it works, whatever a look-up says.
	stickyShare = 0.4
	dialTimeout = time.Second
)

// caller sends requests one after the other.
type caller struct {
	soak     *soak
	number   int
	random   *rand.Rand
	client   *http.Client
	isSticky bool
	// named are the addresses of the last look-up, current the one in use.
	named   []string
	namedAt time.Time
	current string
	sent    int
}

func newCaller(s *soak, number int, random *rand.Rand) *caller {
	return &caller{
		soak:     s,
		number:   number,
		random:   random,
		isSticky: random.Float64() < stickyShare,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 2,
		}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.once(ctx)
		sleep(ctx, time.Duration(c.random.Int64N(int64(2*callerPause))))
	}
}

// once sends one request.
func (c *caller) once(ctx context.Context) {
	p := c.choose(ctx)
	if p == nil {
		return
	}
	s := c.soak.ledger.begin(c.attempt(p), p)
	// The caller hears the whole answer also when the run ends meanwhile.
	reply := imitator.Send(context.WithoutCancel(ctx), c.client, s.Attempt)
	c.soak.ledger.end(s, reply)
	if c.soak.ledger.isOwed(s.Attempt) {
		c.soak.countCalm(reply)
	}
	if p.isStoppingCalmly(s) {
		c.soak.ledger.cutByStop(s, reply)
	}
	if reply.Err != nil || reply.PromisesNotRun() {
		c.current = ""
	}
	if reply.PromisesNotRun() {
		sleep(ctx, reply.RetryAfter)
	}
}

// choose returns the instance to ask, after a look-up if the last one is old.
func (c *caller) choose(ctx context.Context) *process {
	isOld := time.Since(c.namedAt) > lookupEvery
	if isOld && (!c.isSticky || c.current == "") {
		c.lookUp(ctx)
	}
	if c.current == "" && len(c.named) > 0 {
		c.current = c.named[c.random.IntN(len(c.named))]
	}
	return c.soak.instanceAt(c.current)
}

// lookUp asks up to three instances where to connect.
func (c *caller) lookUp(ctx context.Context) {
	const tries = 3
	domain := c.soak.domains[c.number%len(c.soak.domains)]
	for i := range tries {
		p := c.soak.instances[(c.number+i)%len(c.soak.instances)]
		askCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		named, err := imitator.Lookup(askCtx, c.client, imitator.LookupURL(p.ip, c.soak.regionOf[domain], domain))
		cancel()
		if err == nil && len(named) > 0 {
			c.named, c.namedAt = named, time.Now()
			if !c.isSticky {
				c.current = ""
			}
			return
		}
	}
}

// instanceAt returns the instance that takes requests at an address.
func (s *soak) instanceAt(address string) *process {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	for _, p := range s.instances {
		if p.ip == host {
			return p
		}
	}
	return nil
}

// attempt makes the next request.
func (c *caller) attempt(p *process) imitator.Attempt {
	c.sent++
	a := imitator.Attempt{
		ID:        fmt.Sprintf("%d-%d-%d", c.soak.config.Seed, c.number, c.sent),
		Address:   c.current,
		Host:      callerHost,
		ObjectKey: fmt.Sprint(c.random.IntN(objects)),
		Timeout:   3 * time.Second,
	}
	newest := c.soak.ledger.newestVersion()
	switch c.random.IntN(5) {
	case 0:
		a.Path, a.IsNonIdempotent = "/order/", true
	case 1:
		a.Path = "/urgent/"
	case 2:
		a.Path = fmt.Sprintf("/v%d/", newest)
	case 3:
		a.Path = fmt.Sprintf("/v%d/", max(newest, 3)-2)
	default:
		a.Path = "/lookup/"
	}
	a.Path += a.ObjectKey
	return a
}
