// Package persister talks to the platform's object store: versioned objects,
// conditional updates and watches.
//
// The Store interface is everything the system needs of the platform, so that
// another store protocol is one more implementation. HTTP is the client for
// stores that speak HTTP with versions as entity tags.
//
// # Usage
//
//	store, err := persister.NewHTTP(persister.HTTPConfig{BaseURL: "http://127.0.0.1:7000"})
//	if err != nil {
//		return err
//	}
//	object, err := store.Get(ctx, "config/head")
//	var missing *persister.NotFoundError
//	if errors.As(err, &missing) {
//		object, err = store.Put(ctx, "config/head", value, 0)
//	}
package persister

import (
	"context"
	"fmt"
)

// MaxValueBytes is the largest value that the platform's store takes.
const MaxValueBytes = 1 << 20

// Object is one stored value with its version. Versions start at 1 and grow
// with every change of the object.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// Store is the platform's object store.
type Store interface {
	// Get returns an object, or NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is still the given one. Version 0
	// means that the object must not exist yet.
	Put(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete removes an object if its version is still the given one.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns the objects whose keys begin with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's version is greater than after and
	// returns it. It returns NotChangedError if the store ends the wait first.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}

// ConflictError says that a conditional update found another version.
type ConflictError struct {
	Key  string
	ExpectedVersion uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s is not at version %d", e.Key, e.ExpectedVersion)
}

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s does not exist", e.Key)
}

// NotChangedError says that a watch ended without a change.
type NotChangedError struct {
	Key string
}

// Error implements error.
func (e *NotChangedError) Error() string {
	return fmt.Sprintf("object %s did not change", e.Key)
}

// UnavailableError says that the store did not take the call; nothing changed.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable for %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError says that an update was sent and its answer was lost.
type OutcomeUnknownError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }
