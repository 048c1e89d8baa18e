package versioner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pollencrank/pollencrank"
)

// Kinds of items.
const (
	KindRegion        = "region"
	KindFailureDomain = "failureDomain"
	KindLink          = "link"
	KindSite          = "site"
	KindLocation      = "location"
	KindBlocks        = "clientBlocks"
	KindWorkload      = "workload"
	KindServer        = "server"
	KindPreset        = "preset"
	KindInForce       = "presetInForce"
	KindDrain         = "drain"
	KindPlan          = "plan"
)

// itemWriter collects encoded items. After the first error it ignores further
// items.
type itemWriter struct {
	items map[string][]byte
	err   error
}

func (w *itemWriter) put(kind, name string, value any) {
	if w.err != nil {
		return
	}
	key := kind + "/" + name
	encoded, err := json.Marshal(value)
	if err != nil {
		w.err = fmt.Errorf("encode %s: %w", key, err)
		return
	}
	w.items[key] = encoded
}

// Encode returns the state with the contents of a configuration.
func Encode(c *pollencrank.Configuration, generation pollencrank.Generation) (*State, error) {
	w := &itemWriter{items: map[string][]byte{}}
	for _, v := range c.Regions {
		w.put(KindRegion, v.Name, v)
	}
	for _, v := range c.FailureDomains {
		w.put(KindFailureDomain, v.Name, v)
	}
	for _, v := range c.Links {
		w.put(KindLink, v.From+"/"+v.To, v)
	}
	for _, v := range c.Sites {
		w.put(KindSite, v.Name, v)
	}
	for _, v := range c.Locations {
		w.put(KindLocation, v.Name, v)
	}
	for _, v := range c.Workloads {
		w.put(KindWorkload, v.Name, v)
	}
	for _, v := range c.Servers {
		w.put(KindServer, v.Name, v)
	}
	for _, v := range c.Presets {
		w.put(KindPreset, v.Name, v)
	}
	for _, v := range c.Drains {
		target := v.Target()
		w.put(KindDrain, string(target.Kind)+"/"+target.Name, v)
	}
	w.put(KindInForce, "", c.PresetInForce)
	if c.Plan != nil {
		w.put(KindPlan, "", c.Plan)
	}
	if w.err != nil {
		return nil, w.err
	}
	if err := encodeBlocks(w.items, c.ClientBlocks); err != nil {
		return nil, err
	}
	return NewState(generation, w.items), nil
}

// Decode returns the configuration that s holds, without its client blocks. The
// list of all blocks is large; DecodeBlocks decodes a single group, and
// DecodeAll returns them all.
func (s *State) Decode() (*pollencrank.Configuration, error) {
	c := &pollencrank.Configuration{}
	for _, key := range slices.Sorted(maps.Keys(s.Items)) {
		if err := decodeItem(c, key, s.Items[key]); err != nil {
			return nil, fmt.Errorf("decode item %s of generation %d: %w", key, s.Generation, err)
		}
	}
	return c, nil
}

func decodeItem(c *pollencrank.Configuration, key string, value []byte) error {
	switch Kind(key) {
	case KindRegion:
		return appendDecoded(&c.Regions, value)
	case KindFailureDomain:
		return appendDecoded(&c.FailureDomains, value)
	case KindLink:
		return appendDecoded(&c.Links, value)
	case KindSite:
		return appendDecoded(&c.Sites, value)
	case KindLocation:
		return appendDecoded(&c.Locations, value)
	case KindWorkload:
		return appendDecoded(&c.Workloads, value)
	case KindServer:
		return appendDecoded(&c.Servers, value)
	case KindPreset:
		return appendDecoded(&c.Presets, value)
	case KindDrain:
		return appendDecoded(&c.Drains, value)
	case KindPlan:
		return json.Unmarshal(value, &c.Plan)
	case KindInForce:
		return json.Unmarshal(value, &c.PresetInForce)
	default:
		// Client blocks are decoded separately. Kinds that a newer version of
		// the program adds are ignored, so that instances can be upgraded one at
		// a time.
		return nil
	}
}

func appendDecoded[T any](list *[]T, value []byte) error {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}

// DecodeAll returns the configuration that s holds, with its client blocks.
func (s *State) DecodeAll() (*pollencrank.Configuration, error) {
	c, err := s.Decode()
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(s.Items)) {
		if !strings.HasPrefix(key, KindBlocks+"/") {
			continue
		}
		blocks, err := DecodeBlocks(s.Items[key])
		if err != nil {
			return nil, fmt.Errorf("decode item %s of generation %d: %w", key, s.Generation, err)
		}
		c.ClientBlocks = append(c.ClientBlocks, blocks...)
	}
	return c, nil
}
