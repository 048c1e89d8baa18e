// Package versioner represents configurations as sets of items, so that a change
// transmits only the items that differ and not the whole document.
//
// A State is one generation: a map from item keys to encoded values with a
// digest that does not depend on the order of items. Applying a Change to the
// State of the generation before it gives the next State; the digest in the
// change verifies that both sides started from the same contents.
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

// State holds the contents of one generation. It is immutable.
type State struct {
	Generation pollencrank.Generation
	Items      map[string][]byte
	Digest     uint64
}

// GapError reports that a change does not follow the state to which it was
// applied.
type GapError struct {
	// Current is the generation of the state.
	Current pollencrank.Generation
	// Target is the generation to which the change leads.
	Target pollencrank.Generation
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("change leads to generation %d, state is at %d", e.Target, e.Current)
}

// DigestError reports that the contents of a state differ from the accepted
// contents of its generation.
type DigestError struct {
	Generation pollencrank.Generation
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("digest of generation %d does not match", e.Generation)
}

// NewState returns a state that holds items, and computes its digest. The caller
// must not modify items afterwards.
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
// does not lead to the next generation, and DigestError if the result differs
// from the accepted contents.
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

// set changes or removes one item and updates the digest. It must only be called
// on a state that nothing else refers to yet.
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

// Diff returns the change that turns the items of one state into those of
// another.
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

// Kind returns the kind of an item: the part of its key before the first slash.
func Kind(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// Parts splits the items of s, in key order, into parts of at most maxBytes
// each, for stores and messages that limit the size of a value. An item that is
// larger than maxBytes gets a part of its own.
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

// Join returns the state with the items of a snapshot. It returns DigestError if
// the digest does not match.
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
