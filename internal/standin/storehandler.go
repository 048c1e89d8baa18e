package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank/persister"
)

// NewStoreHandler returns a handler that serves a store over the HTTP protocol of
// persister.HTTP.
func NewStoreHandler(store persister.Store) http.Handler {
	h := &storeHandler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc(persister.ListPath, h.list)
	mux.HandleFunc(persister.ObjectsPath, h.object)
	return mux
}

type storeHandler struct {
	store persister.Store
}

func (h *storeHandler) list(w http.ResponseWriter, r *http.Request) {
	objects, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	_ = json.NewEncoder(w).Encode(objects)
}

func (h *storeHandler) object(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), persister.ObjectsPath))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object, err := h.perform(r, key)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set("ETag", persister.FormatVersion(object.Version))
	if r.Method == http.MethodGet {
		_, _ = w.Write(object.Value)
	}
}

func (h *storeHandler) perform(r *http.Request, key string) (persister.Object, error) {
	switch r.Method {
	case http.MethodPut:
		value, err := io.ReadAll(io.LimitReader(r.Body, persister.MaxValueBytes+1))
		if err != nil {
			return persister.Object{}, &persister.UnavailableError{Operation: "put", Cause: err}
		}
		version, _ := persister.ParseVersion(r.Header.Get("If-Match"))
		return h.store.Put(r.Context(), key, value, version)
	case http.MethodDelete:
		version, _ := persister.ParseVersion(r.Header.Get("If-Match"))
		return persister.Object{}, h.store.Delete(r.Context(), key, version)
	default:
		seconds, isWatch := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
		if !isWatch {
			return h.store.Get(r.Context(), key)
		}
		wait, _ := strconv.Atoi(seconds)
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Second)
		defer cancel()
		after, _ := persister.ParseVersion(r.Header.Get("If-None-Match"))
		return h.store.Watch(ctx, key, after)
	}
}

// writeStoreError writes the answer to a failed call. If the outcome is unknown,
// it aborts the connection without an answer.
func writeStoreError(w http.ResponseWriter, err error) {
	var (
		conflict   *persister.ConflictError
		notFound   *persister.NotFoundError
		notChanged *persister.NotChangedError
		unknown    *persister.OutcomeUnknownError
	)
	switch {
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	case errors.As(err, &conflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.As(err, &notFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &notChanged):
		w.WriteHeader(http.StatusNotModified)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
