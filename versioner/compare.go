package versioner

import (
	"bytes"
	"maps"
	"slices"
)

// DifferenceKind classifies how an item differs between two states.
type DifferenceKind string

// Kinds of differences.
const (
	DifferenceAdded   DifferenceKind = "added"
	DifferenceRemoved DifferenceKind = "removed"
	DifferenceChanged DifferenceKind = "changed"
)

// Difference describes an item that differs between two states.
type Difference struct {
	Kind DifferenceKind `json:"kind"`
	// Item is the key, such as "server/catalogue-01".
	Item string `json:"item"`
	// Before and After are the values as JSON. They are empty for client blocks.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Compare returns the differences between two states, ordered by item key. The
// plan is left out because the planner writes it, not an operator.
func Compare(from, to *State) []Difference {
	keys := maps.Clone(from.Items)
	maps.Copy(keys, to.Items)
	var differences []Difference
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if Kind(key) == KindPlan {
			continue
		}
		before, inFrom := from.Items[key]
		after, inTo := to.Items[key]
		if inFrom && inTo && bytes.Equal(before, after) {
			continue
		}
		d := Difference{Kind: DifferenceChanged, Item: key}
		switch {
		case !inFrom:
			d.Kind = DifferenceAdded
		case !inTo:
			d.Kind = DifferenceRemoved
		}
		if Kind(key) != KindBlocks {
			d.Before, d.After = string(before), string(after)
		}
		differences = append(differences, d)
	}
	return differences
}
