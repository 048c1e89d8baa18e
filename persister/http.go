package persister

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank"
)

// Paths and durations of the store protocol.
const (
	ObjectsPath = "/v1/objects/"
	ListPath    = "/v1/list"

	// watchDuration is the time that the store is asked to wait for a change.
	watchDuration = 20 * time.Second
	// watchGrace is the time after watchDuration in which the answer must arrive.
	// Without an answer the connection is assumed to be lost without an error.
	watchGrace = 2 * time.Second
)

// HTTPConfig is the configuration of an HTTP store client.
type HTTPConfig struct {
	// BaseURL is the address of the store, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout limits every call except Watch. The default is 2 s.
	Timeout time.Duration
	// Transport sends the requests. The default is a new http.Transport.
	Transport http.RoundTripper
}

// HTTP is a client of a Store that is accessed over HTTP.
type HTTP struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client for the store at the configured address.
func NewHTTP(config HTTPConfig) (*HTTP, error) {
	const defaultTimeout = 2 * time.Second
	parsed, err := url.Parse(config.BaseURL)
	if err != nil || parsed.Host == "" {
		return nil, fmt.Errorf("store address %q is not a valid URL with a host", config.BaseURL)
	}
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Transport == nil {
		config.Transport = &http.Transport{MaxIdleConnsPerHost: 2}
	}
	return &HTTP{
		base:    strings.TrimSuffix(config.BaseURL, "/"),
		timeout: config.Timeout,
		client:  &http.Client{Transport: config.Transport},
	}, nil
}

// Get implements Store.
func (s *HTTP) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.call(ctx, http.MethodGet, key, nil, nil)
}

// Put implements Store.
func (s *HTTP) Put(ctx context.Context, key string, value []byte, version uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", FormatVersion(version))
	}
	object, err := s.call(ctx, http.MethodPut, key, value, header)
	if err != nil {
		return Object{}, setConflictVersion(err, version)
	}
	object.Value = value
	return object, nil
}

// Delete implements Store.
func (s *HTTP) Delete(ctx context.Context, key string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	header := http.Header{"If-Match": {FormatVersion(version)}}
	_, err := s.call(ctx, http.MethodDelete, key, nil, header)
	return setConflictVersion(err, version)
}

// Watch implements Store.
func (s *HTTP) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchDuration+watchGrace)
	defer cancel()
	header := http.Header{}
	header.Set("If-None-Match", FormatVersion(after))
	header.Set("Prefer", fmt.Sprintf("wait=%d", int(watchDuration.Seconds())))
	return s.call(ctx, http.MethodGet, key, nil, header)
}

// List implements Store.
func (s *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	address := s.base + ListPath + "?prefix=" + url.QueryEscape(prefix)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	response, err := s.send(request)
	if err != nil {
		return nil, &UnavailableError{Operation: "list " + prefix, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Operation: "list " + prefix, Cause: fmt.Errorf("status %s", response.Status)}
	}
	var objects []Object
	if err := json.NewDecoder(response.Body).Decode(&objects); err != nil {
		return nil, &UnavailableError{Operation: "list " + prefix, Cause: err}
	}
	return objects, nil
}

// send sends a request and returns its answer, or an error if the field names of the answer are
// malformed.
func (s *HTTP) send(request *http.Request) (*http.Response, error) {
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	if err := pollencrank.CheckFieldNames(response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (s *HTTP) call(ctx context.Context, method, key string, value []byte, header http.Header) (Object, error) {
	operation := strings.ToLower(method) + " " + key
	address := s.base + ObjectsPath + url.PathEscape(key)
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return Object{}, fmt.Errorf("%s: %w", operation, err)
	}
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := s.send(request)
	if err != nil {
		return Object{}, callError(method, operation, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, callError(method, operation, err)
	}
	return parseResponse(response, operation, key, body)
}

// callError classifies the error of a call: a failed read changes nothing, but a failed
// update may have taken effect.
func callError(method, operation string, cause error) error {
	if method == http.MethodGet {
		return &UnavailableError{Operation: operation, Cause: cause}
	}
	return &OutcomeUnknownError{Operation: operation, Cause: cause}
}

func parseResponse(response *http.Response, operation, key string, body []byte) (Object, error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		version, err := ParseVersion(response.Header.Get("ETag"))
		if err != nil && response.Request.Method != http.MethodDelete {
			return Object{}, &OutcomeUnknownError{Operation: operation, Cause: err}
		}
		return Object{Key: key, Value: body, Version: version}, nil
	case http.StatusNotModified:
		return Object{}, &NotChangedError{Key: key}
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Key: key}
	case http.StatusPreconditionFailed:
		return Object{}, &ConflictError{Key: key}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Object{}, &UnavailableError{Operation: operation, Cause: fmt.Errorf("status %s", response.Status)}
	default:
		return Object{}, callError(response.Request.Method, operation, fmt.Errorf("status %s", response.Status))
	}
}

// setConflictVersion adds the expected version to a ConflictError.
func setConflictVersion(err error, version uint64) error {
	if conflict, ok := err.(*ConflictError); ok {
		conflict.ExpectedVersion = version
	}
	return err
}

// FormatVersion formats a version as an entity tag.
func FormatVersion(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

// ParseVersion parses the version in an entity tag.
func ParseVersion(tag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q is not a version number", tag)
	}
	return version, nil
}
