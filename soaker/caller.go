package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	callerHost = "soak.example"
	// meanCallerPause is the mean pause of a caller between two requests.
	meanCallerPause = 80 * time.Millisecond
	// lookupLifetime is how long a caller uses the answer to a look-up.
	lookupLifetime = 1500 * time.Millisecond
	// objectCount is the number of distinct objects that requests refer to.
	objectCount = 40
	// stickyShare is the share of callers that keep their connection for as long
	// as it works, regardless of look-ups.
	stickyShare = 0.4
	dialTimeout = time.Second
	// uploadShare is the share of orders with a long body, if there are any, and uploadBytes
	// the length of such a body: more than the kernel holds of what is not read.
	uploadShare = 0.3
	uploadBytes = 6_000_000
)

// caller sends requests sequentially.
type caller struct {
	soak     *soak
	number   int
	random   *rand.Rand
	client   *http.Client
	isSticky bool
	// addresses are those of the last look-up; currentAddress is the one in use.
	addresses      []string
	lookedUpAt     time.Time
	currentAddress string
	sentCount      int
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
		c.sendNext(ctx)
		sleep(ctx, time.Duration(c.random.Int64N(int64(2*meanCallerPause))))
	}
}

// sendNext sends one request and checks its outcome.
func (c *caller) sendNext(ctx context.Context) {
	instance := c.chooseInstance(ctx)
	if instance == nil {
		return
	}
	s := c.soak.ledger.beginAttempt(c.nextAttempt(instance), instance)
	// The caller reads the whole answer even if the run ends before it is complete.
	reply := imitator.Send(context.WithoutCancel(ctx), c.client, s.Attempt)
	c.soak.ledger.endAttempt(s, reply)
	if c.soak.ledger.hasRoute(s.Attempt) && c.soak.ledger.isServable(s.Attempt) {
		c.soak.countInFinalPhase(reply)
	}
	if instance.isInPlannedStop(s) {
		c.soak.ledger.checkPlannedStop(s, reply)
	}
	if reply.Err != nil || reply.PromisesNotRun() {
		c.currentAddress = ""
	}
	if reply.PromisesNotRun() {
		sleep(ctx, reply.RetryAfter)
	}
}

// chooseInstance returns the instance to send to, after a look-up if the last one has
// expired.
func (c *caller) chooseInstance(ctx context.Context) *process {
	isOld := time.Since(c.lookedUpAt) > lookupLifetime
	if isOld && (!c.isSticky || c.currentAddress == "") {
		c.lookUp(ctx)
	}
	if c.currentAddress == "" && len(c.addresses) > 0 {
		c.currentAddress = c.addresses[c.random.IntN(len(c.addresses))]
	}
	return c.soak.instanceByAddress(c.currentAddress)
}

// lookUp requests the addresses to connect to from up to three instances.
func (c *caller) lookUp(ctx context.Context) {
	const tries = 3
	domain := c.soak.domains[c.number%len(c.soak.domains)]
	for i := range tries {
		instance := c.soak.instances[(c.number+i)%len(c.soak.instances)]
		lookupCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		addresses, err := imitator.Lookup(lookupCtx, c.client, imitator.LookupURL(instance.ip, c.soak.regionOf[domain], domain))
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.lookedUpAt = addresses, time.Now()
			if !c.isSticky {
				c.currentAddress = ""
			}
			return
		}
	}
}

// instanceByAddress returns the instance that accepts requests at an address, or nil.
func (s *soak) instanceByAddress(address string) *process {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	for _, instance := range s.instances {
		if instance.ip == host {
			return instance
		}
	}
	return nil
}

// nextAttempt returns the next request, drawn at random.
func (c *caller) nextAttempt(instance *process) imitator.Attempt {
	c.sentCount++
	a := imitator.Attempt{
		ID:        fmt.Sprintf("%d-%d-%d", c.soak.config.Seed, c.number, c.sentCount),
		Address:   c.currentAddress,
		Host:      callerHost,
		ObjectKey: fmt.Sprint(c.random.IntN(objectCount)),
		Timeout:   3 * time.Second,
	}
	newest := c.soak.ledger.newestVersion()
	switch c.random.IntN(5) {
	case 0:
		a.Path, a.IsNonIdempotent = "/order/", true
		a.UploadBytes = c.nextUploadBytes()
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
	if c.soak.keys != nil {
		a.Key, a.ClaimedTenant = c.soak.keys.draw(c.random), claimedTenant
	}
	return a
}

// nextUploadBytes returns the length of the next order's body, or zero for a short one. Without
// long uploads nothing is drawn, so that each seed draws what it has drawn before.
func (c *caller) nextUploadBytes() int64 {
	hasUploads := slices.Contains(c.soak.config.Only, answersResetKind)
	if hasUploads && c.random.Float64() < uploadShare {
		return uploadBytes
	}
	return 0
}
