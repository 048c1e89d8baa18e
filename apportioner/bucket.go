package apportioner

import (
	"math"
	"time"
)

const (
	// ranks is the number of ranks that are told apart; less urgent ones count as the
	// last of them.
	ranks = 4
	// demandTime is the time constant with which the observed demand decays.
	demandTime = 2 * time.Second
	// maxNextDelay is returned as the time to the next token if it is not foreseeable.
	maxNextDelay = time.Minute
)

// bucket is this instance's share of one server's limit. The Apportioner's lock guards it.
type bucket struct {
	// perSecond is the limit of the server.
	perSecond float64
	// isChosen says that the holders have been chosen, for the version of the members.
	isChosen bool
	version  uint64
	// isAmongHolders says that this instance is chosen as a holder, and isHolder that it
	// holds its share: it may have lost touch with the others.
	isAmongHolders bool
	isHolder       bool
	// wasUsed says that isHolder has been set before.
	wasUsed bool
	// lenders are the other holders.
	lenders []Member
	// lendersEmptyUntil is when another loan may be requested.
	lendersEmptyUntil time.Time

	// rate is the number of tokens a second, and capacity the largest number of them.
	rate, capacity float64
	tokens         float64
	filledAt       time.Time
	demand         demand
	// spare holds, for each rank, the tokens that more urgent requests leave to it.
	spare [ranks]float64
}

// demand is the number of requests a second, by rank.
type demand [ranks]float64

func (d *demand) count(rank int) { d[clampRank(rank)] += 1 / demandTime.Seconds() }

func (d *demand) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	for i := range d {
		d[i] *= factor
	}
}

func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }

// setShare sets this instance's share of the limit, for the time in which it holds one.
func (b *bucket) setShare(holders int) {
	b.isChosen = true
	b.rate = max(limitShare*b.perSecond, minFleetRate) / float64(max(holders, 1))
	b.capacity = max((burstFactor*b.perSecond+burstBase)/float64(max(holders, 1)), 1)
}

// isOutdated reports whether another instance may have held this share since the bucket was
// last used: this one may have held nothing for a while, or more than one change of the
// members has passed.
func (b *bucket) isOutdated(m *Membership) bool {
	if !b.isChosen {
		return false
	}
	return b.filledAt.Before(m.holdsFrom()) || m.currentVersion() > b.version+1
}

// empty empties the bucket, as of a time.
func (b *bucket) empty(at time.Time) {
	b.tokens = 0
	b.spare = [ranks]float64{}
	b.filledAt = at
}

// setHolder sets whether this instance holds a share. One that has not held it before
// begins with an empty bucket.
func (b *bucket) setHolder(isHolder bool, now time.Time) {
	if isHolder && !b.isHolder && b.wasUsed {
		b.empty(now)
	}
	b.isHolder = isHolder
	b.wasUsed = true
}

// fill adds the tokens since the last call.
func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	b.tokens = min(b.capacity, b.tokens+elapsed.Seconds()*b.rate)
	left := b.rate
	for rank := range b.spare {
		b.spare[rank] = min(b.capacity, b.spare[rank]+elapsed.Seconds()*max(left, 0))
		left -= b.demand[rank]
	}
	b.demand.decay(elapsed)
}

// has reports whether there is a token for a rank. A less urgent request gets one only if
// more urgent ones leave it.
func (b *bucket) has(rank int) bool {
	return b.tokens >= 1 && (rank <= 0 || b.spare[clampRank(rank)] >= 1)
}

// take takes a token if there is one for a rank.
func (b *bucket) take(rank int) bool {
	b.demand.count(rank)
	if !b.has(rank) {
		return false
	}
	b.tokens--
	if rank > 0 {
		b.spare[clampRank(rank)]--
	}
	return true
}

// nextAt returns when there will be a token for a rank.
func (b *bucket) nextAt(rank int, now time.Time) time.Time {
	if b.has(rank) {
		return now
	}
	delay := (1 - b.tokens) / b.rate
	if rank > 0 {
		left := b.rate
		for _, perSecond := range b.demand[:clampRank(rank)] {
			left -= perSecond
		}
		delay = max(delay, (1-b.spare[clampRank(rank)])/max(left, 1/maxNextDelay.Seconds()))
	}
	return now.Add(time.Duration(max(delay, 0) * float64(time.Second)))
}
