// Package persister reads, writes and watches versioned objects in the object store of
// the platform. Updates are conditional on the version of the object.
//
// The Store interface covers all operations of the store that the system uses, so that
// support for another store protocol only takes another implementation. HTTP is the
// client for stores with an HTTP interface that has versions as entity tags.
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

// MaxValueBytes is the size of the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version. Versions start at 1 and increase with
// every change of the object.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// Store is the platform's object store.
type Store interface {
	// Get returns an object, or a NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is still the given one, and otherwise
	// returns a ConflictError. Version 0 means that the object must not exist yet.
	Put(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete deletes an object if its version is still the given one.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns the objects whose keys start with prefix, in the order of their
	// keys.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's version is greater than after and
	// returns the object. It returns a NotChangedError if the store ends the wait
	// before that.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}

// ConflictError says that an object did not have the version that a conditional update
// expected.
type ConflictError struct {
	Key             string
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

// NotChangedError says that a watch ended without a change of the object.
type NotChangedError struct {
	Key string
}

// Error implements error.
func (e *NotChangedError) Error() string {
	return fmt.Sprintf("object %s did not change", e.Key)
}

// UnavailableError says that a call failed as the store is unavailable, and that nothing
// changed.
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

// OutcomeUnknownError says that an update was sent without a valid answer, so that it
// may have taken effect.
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
