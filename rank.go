package pollencrank

import "fmt"

// Rank is the priority class of a request. A lower value is served first.
type Rank uint8

// Ranks of requests.
const (
	RankUrgent Rank = iota
	RankOrdinary
	RankBackground
)

// RankCount is the number of ranks.
const RankCount = 3

var rankNames = [RankCount]string{"urgent", "ordinary", "background"}

// Ranks returns every rank, the most urgent first.
func Ranks() [RankCount]Rank {
	return [RankCount]Rank{RankUrgent, RankOrdinary, RankBackground}
}

// ParseRank returns the rank with the given name.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q: want urgent, ordinary or background", name)
}

// String returns the name of r.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// MarshalText implements encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(text []byte) error {
	parsed, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}
