package distributor

import (
	"context"
	"slices"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// HandlePush takes changes that a peer pushes and passes them on.
func (d *Distributor) HandlePush(ctx context.Context, request *peerpb.PushChangesRequest, from string) *peerpb.PushChangesResponse {
	complete := d.ApplyChanges(request.Changes)
	if !complete && from != "" {
		d.PullInBackground(ctx, from)
	}
	if d.isFirstPush(request) {
		d.passOn(ctx, request.Root, request.Changes)
	}
	return &peerpb.PushChangesResponse{Generation: uint64(d.Generation())}
}

// isFirstPush reports whether changes come down a root's tree for the first
// time. An instance that has learned of a change in another way passes it on
// all the same, because those below it in the tree may not have.
func (d *Distributor) isFirstPush(request *peerpb.PushChangesRequest) bool {
	if len(request.Changes) == 0 {
		return false
	}
	newest := request.Changes[len(request.Changes)-1].Generation
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passed[request.Root] >= newest {
		return false
	}
	const maxRoots = 64
	if len(d.passed) > maxRoots {
		clear(d.passed)
	}
	d.passed[request.Root] = newest
	return true
}

// passOn pushes changes to this instance's children in the tree under root.
// The pushes go on after ctx ends.
func (d *Distributor) passOn(ctx context.Context, root string, changes []*peerpb.Change) {
	ctx = context.WithoutCancel(ctx)
	request := &peerpb.PushChangesRequest{From: d.config.Fleet.Self().PeerAddress, Root: root, Changes: changes}
	ring := d.config.Fleet.Neighbours()
	for _, child := range children(ring, root, d.config.Fleet.Self().ID) {
		go d.push(ctx, ring, child, request)
	}
}

// push pushes changes to a member. If that fails, it pushes to the member's
// own children in its place.
func (d *Distributor) push(ctx context.Context, ring []pollencrank.Instance, to pollencrank.Instance, request *peerpb.PushChangesRequest) {
	pushCtx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := d.config.Peer.PushChanges(pushCtx, to.PeerAddress, request); err == nil {
		return
	}
	for _, child := range children(ring, request.Root, to.ID) {
		go d.push(ctx, ring, child, request)
	}
}

// children returns the members that self passes changes to in the tree under
// root. The tree is binomial over the ring of neighbours: a member at distance
// d from the root passes on to d+1, d+2, d+4, ... for the powers of two above
// d. Its edges are those that heartbeats use, so it needs no connections of its
// own.
func children(ring []pollencrank.Instance, root, self string) []pollencrank.Instance {
	rootAt := slices.IndexFunc(ring, func(m pollencrank.Instance) bool { return m.ID == root })
	selfAt := slices.IndexFunc(ring, func(m pollencrank.Instance) bool { return m.ID == self })
	if rootAt < 0 || selfAt < 0 {
		return nil
	}
	distance := (selfAt - rootAt + len(ring)) % len(ring)
	step := 1
	for step <= distance {
		step *= 2
	}
	var list []pollencrank.Instance
	for ; distance+step < len(ring); step *= 2 {
		list = append(list, ring[(selfAt+step)%len(ring)])
	}
	return list
}
