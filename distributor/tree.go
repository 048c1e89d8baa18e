package distributor

import (
	"context"
	"slices"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// HandlePush applies changes that a peer pushes and pushes them to this
// instance's children in the tree. If it cannot apply all of them, it pulls
// from the peer.
func (d *Distributor) HandlePush(ctx context.Context, request *peerpb.PushChangesRequest, from string) *peerpb.PushChangesResponse {
	complete := d.ApplyChanges(request.Changes)
	if !complete && from != "" {
		d.PullInBackground(ctx, from)
	}
	if d.isFirstPush(request) {
		d.pushToChildren(ctx, request.Root, request.Changes)
	}
	return &peerpb.PushChangesResponse{Generation: uint64(d.Generation())}
}

// isFirstPush reports whether this instance receives the changes for the first
// time through the tree of their root. An instance that already received a
// change in another way still has to push it, because its children in the tree
// may not have the change.
func (d *Distributor) isFirstPush(request *peerpb.PushChangesRequest) bool {
	if len(request.Changes) == 0 {
		return false
	}
	newest := request.Changes[len(request.Changes)-1].Generation
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pushed[request.Root] >= newest {
		return false
	}
	const maxRoots = 64
	if len(d.pushed) > maxRoots {
		clear(d.pushed)
	}
	d.pushed[request.Root] = newest
	return true
}

// pushToChildren pushes changes to this instance's children in the tree under
// root. The pushes continue after ctx ends.
func (d *Distributor) pushToChildren(ctx context.Context, root string, changes []*peerpb.Change) {
	ctx = context.WithoutCancel(ctx)
	request := &peerpb.PushChangesRequest{From: d.config.Fleet.Self().PeerAddress, Root: root, Changes: changes}
	ring := d.config.Fleet.Neighbours()
	for _, child := range children(ring, root, d.config.Fleet.Self().ID) {
		go d.push(ctx, ring, child, request)
	}
}

// push pushes changes to a member. If that fails, it pushes the changes to the
// member's children instead.
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

// children returns the members to which self pushes changes in the tree under
// root. The tree is a binomial tree over the ring of neighbours: a member at
// distance d from the root pushes to d+1, d+2, d+4, ... for the powers of two
// above d. Its edges are those that heartbeats use, so the tree needs no further
// connections.
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
	var targets []pollencrank.Instance
	for ; distance+step < len(ring); step *= 2 {
		targets = append(targets, ring[(selfAt+step)%len(ring)])
	}
	return targets
}
