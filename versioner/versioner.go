// Package versioner represents configurations as items, so that a change
// travels as the items it alters and not as a whole document.
//
// A State is one generation: a map from item keys to encoded values with a
// digest that does not depend on order. Applying a Change to the State before
// it gives the next State; the digest in the change proves that both sides
// started from the same contents.
//
// # Usage
//
//	state, err := versioner.Encode(&configuration, 1)
//	change := versioner.Diff(state, next)
//	state, err = state.Apply(change)
//	configuration, err := state.Decode()
package versioner

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// State is the contents of one generation. It is immutable.
type State struct {
	Generation pollencrank.Generation
	Items      map[string][]byte
	Digest     uint64
}

// GapError says that a change does not follow the state it was applied to.
type GapError struct {
	Current pollencrank.Generation
	Target  pollencrank.Generation
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("change leads to generation %d, state is at %d", e.Target, e.Current)
}

// DigestError says that a state's contents differ from the accepted ones.
type DigestError struct {
	Generation pollencrank.Generation
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("digest of generation %d does not match", e.Generation)
}

// NewState returns a state over items and computes its digest.
func NewState(generation pollencrank.Generation, items map[string][]byte) *State {
	s := &State{Generation: generation, Items: items}
	for key, value := range items {
		s.Digest += itemHash(key, value)
	}
	return s
}

func itemHash(key string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}

// Apply returns the state after a change. It returns GapError if the change
// leads elsewhere than to the next generation, and DigestError if the result
// is not what was accepted.
func (s *State) Apply(change *peerpb.Change) (*State, error) {
	if pollencrank.Generation(change.Generation) != s.Generation+1 {
		return nil, &GapError{Current: s.Generation, Target: pollencrank.Generation(change.Generation)}
	}
	next := &State{
		Generation: s.Generation + 1,
		Items:      maps.Clone(s.Items),
		Digest:     s.Digest,
	}
	for _, item := range change.Items {
		next.set(item)
	}
	if next.Digest != change.Digest {
		return nil, &DigestError{Generation: next.Generation}
	}
	return next, nil
}

// set changes one item and keeps the digest. It is only used on a new state.
func (s *State) set(item *peerpb.Item) {
	if old, ok := s.Items[item.Key]; ok {
		s.Digest -= itemHash(item.Key, old)
		delete(s.Items, item.Key)
	}
	if item.Removed {
		return
	}
	s.Items[item.Key] = item.Value
	s.Digest += itemHash(item.Key, item.Value)
}

// Diff returns the change that leads from one state's items to another's.
func Diff(from, to *State) *peerpb.Change {
	change := &peerpb.Change{Generation: uint64(from.Generation) + 1, Digest: to.Digest}
	for _, key := range slices.Sorted(maps.Keys(to.Items)) {
		value := to.Items[key]
		if old, ok := from.Items[key]; !ok || !bytes.Equal(old, value) {
			change.Items = append(change.Items, &peerpb.Item{Key: key, Value: value})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(from.Items)) {
		if _, ok := to.Items[key]; !ok {
			change.Items = append(change.Items, &peerpb.Item{Key: key, Removed: true})
		}
	}
	return change
}

// Kind returns the part of an item key before its first slash.
func Kind(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// Parts splits the items of s into parts of at most maxBytes each, in key
// order, for stores and messages that limit the size of a value.
func (s *State) Parts(maxBytes int) []*peerpb.SnapshotPart {
	const itemOverheadBytes = 16
	var parts []*peerpb.SnapshotPart
	part, size := &peerpb.SnapshotPart{}, 0
	for _, key := range slices.Sorted(maps.Keys(s.Items)) {
		value := s.Items[key]
		itemBytes := len(key) + len(value) + itemOverheadBytes
		if size+itemBytes > maxBytes && size > 0 {
			parts = append(parts, part)
			part, size = &peerpb.SnapshotPart{}, 0
		}
		part.Items = append(part.Items, &peerpb.Item{Key: key, Value: value})
		size += itemBytes
	}
	return append(parts, part)
}

// Join builds a state from snapshot items and checks its digest.
func Join(generation pollencrank.Generation, digest uint64, items []*peerpb.Item) (*State, error) {
	contents := make(map[string][]byte, len(items))
	for _, item := range items {
		contents[item.Key] = item.Value
	}
	state := NewState(generation, contents)
	if state.Digest != digest {
		return nil, &DigestError{Generation: generation}
	}
	return state, nil
}
