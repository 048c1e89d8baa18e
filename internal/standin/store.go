package standin

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/persister"
)

// StoreCounts are numbers of calls to a store stand-in.
type StoreCounts struct {
	Reads   int64
	Writes  int64
	Watches int64
	// Watching is the number of watches in progress.
	Watching int64
	// Refused is the number of calls that failed at their start because of an
	// outage.
	Refused int64
}

// Store is an in-memory stand-in for the platform's object store.
type Store struct {
	mu      sync.Mutex
	objects map[string]persister.Object
	// changed is closed and replaced at each change of an object or an outage.
	changed chan struct{}

	reads, writes, watches, watching, refused atomic.Int64

	down          atomic.Bool
	delay         atomic.Int64
	answersToLose atomic.Int64
}

var _ persister.Store = (*Store)(nil)

var errDown = errors.New("stand-in is down")

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]persister.Object{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage. During an outage all calls fail, including
// the watches in progress.
func (s *Store) SetDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcast()
}

// SetDelay sets the delay before each call is performed.
func (s *Store) SetDelay(delay time.Duration) { s.delay.Store(int64(delay)) }

// LoseAnswers makes the next n updates take effect but return an error of unknown
// outcome, as if their answers were lost.
func (s *Store) LoseAnswers(n int) { s.answersToLose.Store(int64(n)) }

// Counts returns the numbers of calls so far.
func (s *Store) Counts() StoreCounts {
	return StoreCounts{
		Reads:    s.reads.Load(),
		Writes:   s.writes.Load(),
		Watches:  s.watches.Load(),
		Watching: s.watching.Load(),
		Refused:  s.refused.Load(),
	}
}

// Get implements persister.Store.
func (s *Store) Get(ctx context.Context, key string) (persister.Object, error) {
	s.reads.Add(1)
	if err := s.admit(ctx, "get "+key); err != nil {
		return persister.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return persister.Object{}, &persister.NotFoundError{Key: key}
	}
	return object, nil
}

// Put implements persister.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, version uint64) (persister.Object, error) {
	s.writes.Add(1)
	if err := s.admit(ctx, "put "+key); err != nil {
		return persister.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return persister.Object{}, &persister.ConflictError{Key: key, ExpectedVersion: version}
	}
	if len(value) > persister.MaxValueBytes {
		return persister.Object{}, &persister.UnavailableError{Operation: "put " + key, Cause: errors.New("value too large")}
	}
	object := persister.Object{Key: key, Value: append([]byte(nil), value...), Version: version + 1}
	s.objects[key] = object
	s.broadcast()
	return object, s.lostAnswer("put " + key)
}

// Delete implements persister.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	s.writes.Add(1)
	if err := s.admit(ctx, "delete "+key); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return &persister.NotFoundError{Key: key}
	}
	if object.Version != version {
		return &persister.ConflictError{Key: key, ExpectedVersion: version}
	}
	delete(s.objects, key)
	s.broadcast()
	return s.lostAnswer("delete " + key)
}

// List implements persister.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]persister.Object, error) {
	s.reads.Add(1)
	if err := s.admit(ctx, "list "+prefix); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []persister.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, nil
}

// Watch implements persister.Store.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (persister.Object, error) {
	s.watches.Add(1)
	s.watching.Add(1)
	defer s.watching.Add(-1)
	if err := s.admit(ctx, "watch "+key); err != nil {
		return persister.Object{}, err
	}
	for {
		s.mu.Lock()
		object, changed := s.objects[key], s.changed
		s.mu.Unlock()
		if s.down.Load() {
			return persister.Object{}, &persister.UnavailableError{Operation: "watch " + key, Cause: errDown}
		}
		if object.Version > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return persister.Object{}, &persister.NotChangedError{Key: key}
		}
	}
}

// broadcast wakes all watches. The lock is held.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit applies the delay and returns an error during an outage.
func (s *Store) admit(ctx context.Context, operation string) error {
	if delay := time.Duration(s.delay.Load()); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return &persister.UnavailableError{Operation: operation, Cause: ctx.Err()}
		}
	}
	if s.down.Load() {
		s.refused.Add(1)
		return &persister.UnavailableError{Operation: operation, Cause: errDown}
	}
	return nil
}

// lostAnswer returns an error if the answer of a completed update is to be lost.
func (s *Store) lostAnswer(operation string) error {
	if s.answersToLose.Load() <= 0 || s.answersToLose.Add(-1) < 0 {
		return nil
	}
	return &persister.OutcomeUnknownError{Operation: operation, Cause: errors.New("answer lost")}
}
