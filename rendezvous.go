package pollencrank

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// RendezvousScore returns the score of candidate for key. The candidate with the
// highest score is the home of the key (rendezvous hashing).
func RendezvousScore(key, candidate string) uint64 {
	k := xxhash.Sum64String(key)
	c := xxhash.Sum64String(candidate)
	return Mix(k ^ bits.RotateLeft64(c, 31))
}

// Mix is an integer hash function that lets each bit of x affect the whole word.
func Mix(x uint64) uint64 {
	const (
		multiplier1 = 0xbf58476d1ce4e5b9
		multiplier2 = 0x94d049bb133111eb
	)
	x ^= x >> 30
	x *= multiplier1
	x ^= x >> 27
	x *= multiplier2
	return x ^ x>>31
}

// Uniform maps a hash to the open interval from 0 to 1.
func Uniform(hash uint64) float64 {
	// With one more bit, the largest hash would be rounded up to 1.
	const bits = 52
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// RendezvousHome returns the index of the candidate with the highest score for
// key, or -1 if there are no candidates. Of candidates with equal scores, the
// lexicographically smaller one wins.
func RendezvousHome(key string, candidates []string) int {
	home := -1
	var best uint64
	for i, c := range candidates {
		score := RendezvousScore(key, c)
		if home < 0 || score > best || (score == best && c < candidates[home]) {
			home, best = i, score
		}
	}
	return home
}
