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

// StoreCounts are the calls that a store stand-in has taken.
type StoreCounts struct {
	Reads   int64
	Writes  int64
	Watches int64
	// Watching is the number of watches that wait now.
	Watching int64
	// Refused counts calls refused during an outage.
	Refused int64
}

// Store is an in-memory stand-in for the platform's object store.
type Store struct {
	mu      sync.Mutex
	objects map[string]persister.Object
	changed chan struct{}

	reads, writes, watches, watching, refused atomic.Int64

	down       atomic.Bool
	delay      atomic.Int64
	loseAnswer atomic.Int64
}

var _ persister.Store = (*Store)(nil)

var errDown = errors.New("stand-in is down")

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]persister.Object{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcast()
}

// SetDelay delays every call.
func (s *Store) SetDelay(delay time.Duration) { s.delay.Store(int64(delay)) }

// LoseAnswers makes the next n updates take effect and lose their answers.
func (s *Store) LoseAnswers(n int) { s.loseAnswer.Store(int64(n)) }

// Counts returns the calls taken so far.
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

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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

func (s *Store) lostAnswer(operation string) error {
	if s.loseAnswer.Load() <= 0 || s.loseAnswer.Add(-1) < 0 {
		return nil
	}
	return &persister.OutcomeUnknownError{Operation: operation, Cause: errors.New("answer lost")}
}
