package prober

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

// Verdict is whether an instance counts as dead.
type Verdict struct {
	// Instance is the ID of the instance, and Incarnation the start of it that is meant.
	Instance    string
	Incarnation uint64
	IsDead      bool
}

const (
	// maxDisputes is the number of instances that wait to be probed because of verdicts of
	// others. Further ones are probed when their verdict arrives again.
	maxDisputes = 64
	// checkPause is the shortest time between two probes of an instance because of
	// verdicts of others.
	checkPause = 2 * time.Second
	// checkTimeout is the timeout of such a probe. It is short, since the news waits for it,
	// and others have made several probes before it.
	checkTimeout = 500 * time.Millisecond
	// checkRounds is the number of rounds in which an instance is probed again after such a
	// probe was not answered: it may have been the prober that stood still.
	checkRounds = 3
)

// dispute is an instance on which another one has a different verdict.
type dispute struct {
	namer.Instance
	reportedBy string
	isDead     bool
}

// Receive handles verdicts of another instance: the instances on which this one has another
// verdict are probed.
func (p *Prober) Receive(from string, verdicts []Verdict) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range verdicts {
		i, isListed := p.find(v.Instance)
		if !isListed || v.Instance == p.config.Self || v.Incarnation < i.Incarnation || p.isDead(i) == v.IsDead {
			continue
		}
		if checkedAt, isChecked := p.checkedAt[i.ID]; isChecked && now.Sub(checkedAt) < checkPause {
			continue
		}
		select {
		case p.disputes <- dispute{Instance: i, reportedBy: from, isDead: v.IsDead}:
			p.checkedAt[i.ID] = now
		default:
			return
		}
	}
}

// Holds reports whether this instance has a verdict on an instance that is listed.
func (p *Prober) Holds(v Verdict) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, isListed := p.find(v.Instance)
	return isListed && v.Incarnation >= i.Incarnation && p.isDead(i) == v.IsDead
}

// find returns the listed instance with an ID. The lock is held.
func (p *Prober) find(id string) (namer.Instance, bool) {
	n, isListed := slices.BinarySearchFunc(p.instances, id, func(i namer.Instance, id string) int {
		return strings.Compare(i.ID, id)
	})
	if !isListed {
		return namer.Instance{}, false
	}
	return p.instances[n], true
}

// isDead reports whether an incarnation of an instance counts as dead. The lock is held.
func (p *Prober) isDead(i namer.Instance) bool {
	incarnation, isDead := p.dead[i.ID]
	return isDead && incarnation == i.Incarnation
}

// Reaches probes an instance once more, and reports whether it serves. A missing answer
// does not count.
func (p *Prober) Reaches(ctx context.Context, i namer.Instance) bool {
	return p.check(ctx, dispute{Instance: i})
}

// check probes an instance once because of another's verdict, and reports whether it serves.
func (p *Prober) check(ctx context.Context, d dispute) bool {
	probeCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	state, err := p.config.Probe(probeCtx, d.Instance)
	isServing := err == nil && state.isServing(d.Instance)
	switch {
	case ctx.Err() != nil:
		return false
	case isServing && d.isDead:
		p.config.Log.Info("an instance that another one takes for dead answers", recorder.EventVerdictRefuted.Attr(),
			slog.String("instance", d.ID), slog.String("reportedBy", d.reportedBy))
		p.recordAnswer(d.Instance, state, d.reportedBy)
	case isServing:
		p.recordAnswer(d.Instance, state, d.reportedBy)
	case d.isDead:
		p.setDead(d.Instance, cause{reportedBy: d.reportedBy, isStopping: err == nil && state.IsStopping})
	}
	return isServing
}

// probe probes an instance and counts the result.
func (p *Prober) probe(ctx context.Context, t target) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	beganAt := time.Now()
	state, err := p.config.Probe(probeCtx, t.Instance)
	if ctx.Err() != nil {
		return
	}
	if !t.isDistantDead {
		p.recordResult(t.Instance, err == nil)
	}
	if err == nil && state.isServing(t.Instance) {
		p.recordAnswer(t.Instance, state, "")
		return
	}
	p.recordMiss(t.Instance, beganAt, err == nil && state.IsStopping)
}

// recordAnswer records that an instance serves. reportedBy is the instance whose verdict
// caused the probe, if one did.
func (p *Prober) recordAnswer(i namer.Instance, state State, reportedBy string) {
	p.mu.Lock()
	delete(p.misses, i.ID)
	_, wasDead := p.dead[i.ID]
	delete(p.dead, i.ID)
	delete(p.rechecks, i.ID)
	if wasDead && state.Incarnation == i.Incarnation {
		p.recheckDead()
	}
	before, hasAnswered := p.readyByID[i.ID]
	p.readyByID[i.ID] = readiness{state.IsReady, time.Now()}
	p.mu.Unlock()
	if wasDead {
		p.config.Log.Info("an instance that counted as dead answers again", recorder.EventInstanceBack.Attr(),
			slog.String("instance", i.ID), slog.String("reportedBy", reportedBy))
		p.config.OnVerdict(Verdict{Instance: i.ID, Incarnation: i.Incarnation})
	}
	if wasDead || !hasAnswered || before.isReady != state.IsReady {
		p.config.OnChange()
	}
}

// forgetUnready takes instances for ready again that said otherwise and were not probed since
// for a while: they may have come to be neighbours of others only.
func (p *Prober) forgetUnready(now time.Time) {
	p.mu.Lock()
	hasChanged := false
	for id, r := range p.readyByID {
		if _, isDead := p.dead[id]; !isDead && !r.isReady && now.Sub(r.saidAt) >= unreadyMemory {
			p.readyByID[id] = readiness{true, now}
			hasChanged = true
		}
	}
	p.mu.Unlock()
	if hasChanged {
		p.config.OnChange()
	}
}

// recordMiss counts a failed probe. Rounds can be woken one right after the other; their
// probes tell no more than one. An instance that reports that it is stopping counts as dead
// at once.
func (p *Prober) recordMiss(i namer.Instance, beganAt time.Time, isStopping bool) {
	p.mu.Lock()
	missed := p.misses[i.ID]
	if missed.count == 0 || beganAt.Sub(missed.lastBeganAt) >= minMissInterval {
		missed = misses{missed.count + 1, beganAt}
		p.misses[i.ID] = missed
	}
	p.mu.Unlock()
	if missed.count >= deadAfterMisses || isStopping {
		p.setDead(i, cause{isStopping: isStopping, misses: missed.count})
	}
}

// cause is why an instance counts as dead.
type cause struct {
	// reportedBy is the instance whose verdict a probe has confirmed.
	reportedBy string
	isStopping bool
	misses     int
}

// setDead makes an instance count as dead, unless it does already or is not listed any more.
func (p *Prober) setDead(i namer.Instance, because cause) {
	p.mu.Lock()
	listed, isListed := p.find(i.ID)
	isNew := isListed && listed.Incarnation == i.Incarnation && !p.isDead(i)
	if isNew {
		p.dead[i.ID] = i.Incarnation
	}
	if isNew && because.reportedBy != "" {
		p.rechecks[i.ID] = checkRounds
	}
	p.mu.Unlock()
	if !isNew {
		return
	}
	p.config.Log.Warn("an instance counts as dead: it is stopping or does not answer probes", recorder.EventInstanceUnreachable.Attr(),
		slog.String("instance", i.ID), slog.Bool("stopping", because.isStopping), slog.Int("misses", because.misses),
		slog.String("reportedBy", because.reportedBy))
	p.config.OnChange()
	p.config.OnVerdict(Verdict{Instance: i.ID, Incarnation: i.Incarnation, IsDead: true})
}
