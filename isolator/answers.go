package isolator

import "time"

// AnswerMemory is how long an answer shows that its request crashes no servers.
const AnswerMemory = 30 * time.Second

// maxAnswers bounds the requests that are remembered in one generation.
const maxAnswers = 4096

// answers remembers which requests were answered lately, in two generations: the older one is
// dropped when the newer one is full or old.
type answers struct {
	newer, older map[Fingerprint]time.Time
	// since is when the newer generation began.
	since time.Time
}

// add adds a request that was answered.
func (a *answers) add(f Fingerprint, now time.Time) {
	if a.newer == nil || len(a.newer) >= maxAnswers || now.Sub(a.since) >= AnswerMemory {
		a.older, a.newer, a.since = a.newer, map[Fingerprint]time.Time{}, now
	}
	a.newer[f] = now
}

// has reports whether a request was answered within AnswerMemory.
func (a *answers) has(f Fingerprint, now time.Time) bool {
	at, isKnown := a.newer[f]
	if !isKnown {
		at, isKnown = a.older[f]
	}
	return isKnown && now.Sub(at) < AnswerMemory
}
