package disseminator_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/disseminator"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
)

const (
	// deathBound is the time after which no look-up may name an instance that has ended.
	deathBound = 7 * time.Second
	// returnBound is the time after which an instance that answers again is named again.
	returnBound = 2 * time.Second
	// pollInterval is the time between two looks at who knows.
	pollInterval = 50 * time.Millisecond
	domains      = 4
	// startSpread is the time in which the instances start.
	startSpread = time.Second
	// delay is that of a message between two instances.
	delay = 35 * time.Millisecond
)

var errCut = errors.New("the two instances are cut off from each other")

// fleet is a fleet of instances that exchange messages, and have no store.
type fleet struct {
	all     []namer.Instance
	members map[string]*member

	mu      sync.Mutex
	isDown  map[string]bool
	isCut   map[[2]string]bool
	checked map[string]int
	// sent is the number of messages of verdicts.
	sent int
}

// member is one instance.
type member struct {
	*prober.Prober
	disseminator *disseminator.Disseminator
	incarnation  uint64
}

// play runs a fleet until the test returns.
func play(t *testing.T, n int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{members: map[string]*member{}, isDown: map[string]bool{}, isCut: map[[2]string]bool{}, checked: map[string]int{}}
		for i := range n {
			domain := i * domains / n
			f.all = append(f.all, namer.Instance{ID: fmt.Sprintf("entry-%03d", i), Incarnation: 1, FailureDomain: fmt.Sprintf("domain-%d", domain)})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		random := rand.New(rand.NewPCG(1, uint64(n)))
		for _, i := range f.all {
			f.add(i)
		}
		for _, m := range f.members {
			offset := time.Duration(random.Int64N(int64(startSpread)))
			running.Go(func() {
				time.Sleep(offset)
				_ = m.Run(ctx)
			})
			running.Go(func() {
				time.Sleep(offset)
				_ = m.disseminator.Run(ctx)
			})
		}
		time.Sleep(5 * time.Second)
		test(f)
		cancel()
		running.Wait()
	})
}

// add adds an instance.
func (f *fleet) add(i namer.Instance) {
	m := &member{incarnation: i.Incarnation}
	m.Prober = prober.New(prober.Config{
		Self: i.ID, Domain: i.FailureDomain, Log: slog.New(slog.DiscardHandler), OnChange: func() {},
		Probe:     func(ctx context.Context, to namer.Instance) (prober.State, error) { return f.probe(ctx, i, to) },
		OnVerdict: func(v prober.Verdict) { m.disseminator.Tell(v) },
	})
	m.disseminator = disseminator.New(disseminator.Config{
		Peers: func() []namer.Instance { return f.peers(i, m) }, Holds: m.Holds, Log: slog.New(slog.DiscardHandler),
		Send: func(ctx context.Context, to namer.Instance, verdicts []prober.Verdict) error {
			f.countMessage()
			if err := f.deliver(ctx, i, to); err != nil {
				return err
			}
			f.members[to.ID].Receive(i.ID, verdicts)
			return nil
		},
	})
	m.SetInstances(f.all)
	f.members[i.ID] = m
}

// peers returns the instances that serve requests in the view of one of them.
func (f *fleet) peers(self namer.Instance, m *member) []namer.Instance {
	var peers []namer.Instance
	for _, i := range f.all {
		if i.ID != self.ID && !m.IsDead(i) {
			peers = append(peers, i)
		}
	}
	return peers
}

// deliver takes a message to an instance. An instance that is down, or cut off, is silent.
func (f *fleet) deliver(ctx context.Context, from, to namer.Instance) error {
	time.Sleep(delay)
	f.mu.Lock()
	isLost := f.isDown[to.ID] || f.isDown[from.ID] || f.isCut[[2]string{from.ID, to.ID}]
	f.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return errCut
	}
	return nil
}

func (f *fleet) probe(ctx context.Context, from, to namer.Instance) (prober.State, error) {
	f.mu.Lock()
	f.checked[to.ID]++
	f.mu.Unlock()
	if err := f.deliver(ctx, from, to); err != nil {
		return prober.State{}, err
	}
	other := f.members[to.ID]
	f.members[from.ID].Receive(to.ID, other.disseminator.Shown())
	time.Sleep(delay)
	return prober.State{Incarnation: other.incarnation, IsReady: true}, nil
}

func (f *fleet) countMessage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
}

// setDown makes instances silent, or lets them answer again.
func (f *fleet) setDown(isDown bool, down ...namer.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range down {
		f.isDown[i.ID] = isDown
	}
}

// cutApart cuts what either side sends to the other.
func (f *fleet) cutApart(side, other []namer.Instance) {
	for _, a := range side {
		for _, b := range other {
			f.cut(a, b)
			f.cut(b, a)
		}
	}
}

// cut cuts what one instance sends to another.
func (f *fleet) cut(from, to namer.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut[[2]string{from.ID, to.ID}] = true
}

// mend ends all cuts.
func (f *fleet) mend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.isCut)
}

// probesOf returns how often an instance was probed.
func (f *fleet) probesOf(i namer.Instance) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checked[i.ID]
}

// believers returns how many of the instances that are up take another one for dead.
func (f *fleet) believers(dead namer.Instance) int {
	count := 0
	for _, i := range f.all {
		f.mu.Lock()
		isUp := !f.isDown[i.ID]
		f.mu.Unlock()
		if isUp && i.ID != dead.ID && f.members[i.ID].IsDead(dead) {
			count++
		}
	}
	return count
}

// Guards against a death that only the neighbours in the ring know as long as the store does
// not tell the others.
func TestADeathIsKnownToAllWithoutTheStore(t *testing.T) {
	for _, n := range []int{12, 30, 300, 650} {
		play(t, n, func(f *fleet) {
			dead := f.all[n/2]
			f.setDown(true, dead)
			diedAt, questions := time.Now(), f.probesOf(dead)
			for f.believers(dead) < n-1 {
				time.Sleep(pollInterval)
				require.LessOrEqual(t, time.Since(diedAt), deathBound, "%d of %d know", f.believers(dead), n)
			}
			t.Logf("%d instances: known to all after %s, %d messages, %d questions to the dead one",
				n, time.Since(diedAt), f.sent, f.probesOf(dead)-questions)
		})
	}
}

// Guards against instances that fail together and that come to be probed eight at a time.
func TestTheLossOfADomainIsKnownToAllInTime(t *testing.T) {
	const n = 100
	play(t, n, func(f *fleet) {
		lost := f.all[n/domains : 2*n/domains]
		f.setDown(true, lost...)
		time.Sleep(deathBound)
		for _, dead := range lost {
			require.Equal(t, n-len(lost), f.believers(dead), dead.ID)
		}
	})
}

// Guards against look-ups that leave out a live instance because one other does not reach it.
func TestAWrongVerdictDoesNotSpread(t *testing.T) {
	play(t, 60, func(f *fleet) {
		accused := f.all[30]
		f.cut(f.all[29], accused)
		f.cut(f.all[28], accused)
		for range 40 {
			time.Sleep(time.Second / 2)
			require.LessOrEqual(t, f.believers(accused), 2)
		}
		require.Equal(t, 2, f.believers(accused))
	})
}

// Guards against a live instance that some leave out for long, because they did not reach it in
// the moment in which they learned of a wrong verdict.
func TestAWrongVerdictIsTakenBackSoon(t *testing.T) {
	const n, hasty = 300, 20
	play(t, n, func(f *fleet) {
		accused := f.all[n/2]
		for _, i := range f.all[:hasty] {
			f.cut(i, accused)
			f.members[i.ID].Receive("entry-299", []prober.Verdict{{Instance: accused.ID, Incarnation: accused.Incarnation, IsDead: true}})
		}
		time.Sleep(time.Second)
		require.Equal(t, hasty, f.believers(accused))
		f.mend()
		time.Sleep(returnBound)
		require.Zero(t, f.believers(accused))
	})
}

// Guards against an instance that is probed with each answer that takes it for dead, because
// some do not reach it: each other one checks it once in checkPause at most.
func TestAWrongVerdictCausesFewProbes(t *testing.T) {
	const (
		n, accusers = 60, 10
		span        = 20 * time.Second
		checkPause  = 2 * time.Second
	)
	play(t, n, func(f *fleet) {
		accused := f.all[n/2]
		before := f.probesOf(accused)
		time.Sleep(span)
		usual := f.probesOf(accused) - before
		for _, i := range f.all[n/2-accusers : n/2] {
			f.cut(i, accused)
		}
		before = f.probesOf(accused)
		time.Sleep(span)
		require.LessOrEqual(t, f.probesOf(accused)-before, usual+n*int(span/checkPause))
	})
}

// Guards against an instance that was paused, or has started again, and stays out of look-ups
// after it answers: the store does not show its start.
func TestAnInstanceThatAnswersAgainIsKnownToAll(t *testing.T) {
	const n = 100
	for _, incarnation := range []uint64{1, 2} {
		play(t, n, func(f *fleet) {
			paused := f.all[n/2]
			f.setDown(true, paused)
			time.Sleep(deathBound)
			require.Equal(t, n-1, f.believers(paused))
			f.members[paused.ID].incarnation = incarnation
			f.setDown(false, paused)
			time.Sleep(returnBound)
			require.Zero(t, f.believers(paused))
		})
	}
}

// Guards against a cut between domains that leaves either side dead to the other for good.
func TestADomainThatWasCutOffIsKnownToAllAgain(t *testing.T) {
	const n = 60
	play(t, n, func(f *fleet) {
		lost := f.all[:n/domains]
		f.setDown(true, lost...)
		time.Sleep(4 * deathBound)
		f.setDown(false, lost...)
		time.Sleep(2 * returnBound)
		for _, i := range f.all {
			require.Zero(t, f.believers(i), i.ID)
		}
	})
}

// Guards against a domain that was cut off and leaves out live instances of the others for
// minutes after it: nobody probed them for it, and the news that they live concerned too few.
func TestDomainsThatWereCutApartKnowEachOtherAgain(t *testing.T) {
	for _, n := range []int{60, 200} {
		play(t, n, func(f *fleet) {
			cutOff, others := f.all[:n/domains], f.all[n/domains:]
			f.cutApart(cutOff, others)
			time.Sleep(2 * deathBound)
			require.Equal(t, len(cutOff), f.believers(f.all[n/2]))
			f.mend()
			time.Sleep(2 * returnBound)
			for _, i := range f.all {
				require.Zero(t, f.believers(i), "%s of %d", i.ID, n)
			}
		})
	}
}
