package follower

import "fmt"

// revisionBits is the number of bits of a Position that hold the revision. The era has
// the others.
const revisionBits = 40

// Position is a point in the sequence of the store's changes. It combines the store's
// revision with its era, which rises whenever the store comes back from an earlier copy
// and gives revisions out again. Positions are compared as numbers: a position of a later
// era is later, whatever its revision. Zero is before every change.
type Position uint64

// NewPosition returns the position of a revision in an era. It returns an error if either
// of them is too large.
func NewPosition(era, revision uint64) (Position, error) {
	if era >= 1<<(64-revisionBits) || revision >= 1<<revisionBits {
		return 0, fmt.Errorf("revision %d of era %d is out of range", revision, era)
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the era of the store.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the store's revision in the era.
func (p Position) Revision() uint64 { return uint64(p) & (1<<revisionBits - 1) }

// String implements fmt.Stringer.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Era(), p.Revision()) }
