// Package platformclient is the client of the platform's service: a
// transactional table and an object store over HTTP.
//
// A write whose response was lost may have taken effect. Such errors match
// ErrUnknownOutcome; the caller has to read back before it writes again.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// Errors of the platform, to be tested with errors.Is.
var (
	ErrNotFound = errors.New("not found in the platform")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition of the write does not hold; read the row again before retrying")
	// ErrUnavailable means that the platform rejected the request, could not
	// be connected to, or did not respond to a read; nothing was written.
	ErrUnavailable = errors.New("the platform is unavailable; try again later")
	// ErrUnknownOutcome means that no response, or an unexpected status, was
	// received; a write may have taken effect.
	ErrUnknownOutcome = errors.New("no usable response from the platform; read back before writing again")
	// ErrTooLarge means that a response is larger than the client accepts. The
	// error also matches ErrUnavailable after a read and ErrUnknownOutcome after
	// a write.
	ErrTooLarge = errors.New("response of the platform is too large")
)

const (
	// defaultMaxResponse suits tools, which read long lists.
	defaultMaxResponse = 64 << 20
	maxHeadBytes       = 32 << 10
	defaultTimeout     = 3 * time.Second
)

var (
	reads    = metrics.NewCounter(`parsley_platform_reads_total`)
	writes   = metrics.NewCounter(`parsley_platform_writes_total`)
	failures = metrics.NewCounter(`parsley_platform_errors_total`)
)

// Row is a row of a table. ETag changes with every write.
type Row struct {
	Key  string `json:"key"`
	Data []byte `json:"value"`
	ETag string `json:"etag"`
}

// Condition is the precondition of a write. The zero Condition always holds.
type Condition struct {
	// IfMatch is the ETag that the row must have, or empty.
	IfMatch string `json:"if_match,omitempty"`
	// IfNoneMatch requires that the row does not exist.
	IfNoneMatch bool `json:"if_none_match,omitempty"`
}

// Operation is the write of one row in a transaction.
type Operation struct {
	Table     string    `json:"table"`
	Key       string    `json:"key"`
	Condition Condition `json:"condition"`
	Value     []byte    `json:"value"`
}

// Transaction is a set of operations that take effect together or not at all.
type Transaction struct {
	Operations []Operation `json:"operations"`
}

// ConflictError identifies the operation whose condition did not hold.
type ConflictError struct {
	// Index is the position of the operation in Transaction.Operations.
	Index int    `json:"index"`
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s: %v", e.Table, e.Key, ErrConflict)
}

// Unwrap makes the error match ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Client is a client of the platform's service.
type Client struct {
	base        *url.URL
	http        *http.Client
	timeout     time.Duration
	maxResponse int64
}

// New returns a client for the service at the base URL.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, fmt.Errorf("platform URL %q is not absolute; use a URL such as http://10.0.0.9:9000", base)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{base: u, http: &http.Client{Transport: transport}, timeout: defaultTimeout, maxResponse: defaultMaxResponse}, nil
}

// SetLocalAddr sets the source address of connections to the platform. It must be
// an address of this VM.
func (c *Client) SetLocalAddr(ip net.IP) {
	d := net.Dialer{Timeout: c.timeout, LocalAddr: &net.TCPAddr{IP: ip}}
	c.http.Transport.(*http.Transport).DialContext = d.DialContext
}

// SetTimeout sets the timeout of one request. The default is 3 s.
func (c *Client) SetTimeout(d time.Duration) { c.timeout = d }

// SetMaxResponse sets the largest response that is accepted, in bytes. The default is
// 64 MiB.
func (c *Client) SetMaxResponse(n int64) { c.maxResponse = n }

type apiRequest struct {
	method string
	path   string
	query  url.Values
	header map[string]string
	body   []byte
}

type apiResponse struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) endpoint() endpoint.Endpoint {
	create := func(ctx context.Context, request any) (*http.Request, error) {
		in := request.(apiRequest)
		u := c.base.JoinPath(in.path)
		u.RawQuery = in.query.Encode()
		var body io.Reader
		if in.body != nil {
			// Without GetBody, net/http never retries a write.
			body = io.NopCloser(bytes.NewReader(in.body))
		}
		req, err := http.NewRequestWithContext(ctx, in.method, u.String(), body)
		if err != nil {
			return nil, fmt.Errorf("create platform request: %w", err)
		}
		if in.body != nil {
			req.ContentLength = int64(len(in.body))
		}
		for k, v := range in.header {
			req.Header.Set(k, v)
		}
		return req, nil
	}
	decode := func(_ context.Context, r *http.Response) (any, error) {
		body, err := io.ReadAll(io.LimitReader(r.Body, c.maxResponse+1))
		if err != nil {
			return nil, err
		}
		if int64(len(body)) > c.maxResponse {
			return nil, ErrTooLarge
		}
		return apiResponse{r.StatusCode, r.Header, body}, nil
	}
	return kithttp.NewExplicitClient(create, decode, kithttp.SetClient(c.http)).Endpoint()
}

func (c *Client) do(ctx context.Context, in apiRequest) (apiResponse, error) {
	if in.method == http.MethodGet {
		reads.Inc()
	} else {
		writes.Inc()
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.endpoint()(ctx, in)
	if err != nil {
		failures.Inc()
		return apiResponse{}, fmt.Errorf("platform %s %s: %w: %w", in.method, in.path, noResponseError(in.method, err), err)
	}
	resp := out.(apiResponse)
	if err := statusError(resp); err != nil {
		return resp, fmt.Errorf("platform %s %s: %w", in.method, in.path, err)
	}
	return resp, nil
}

// noResponseError classifies the error of a request without a response by whether
// the request may have taken effect.
func noResponseError(method string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || notSent {
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

func statusError(resp apiResponse) error {
	switch {
	case resp.status < 300:
		return nil
	case resp.status == http.StatusNotFound:
		return ErrNotFound
	case resp.status == http.StatusPreconditionFailed:
		var ce ConflictError
		if err := json.Unmarshal(resp.body, &ce); err == nil && ce.Table != "" {
			return &ce
		}
		return ErrConflict
	case resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests:
		failures.Inc()
		return ErrUnavailable
	}
	failures.Inc()
	return fmt.Errorf("status %d: %w", resp.status, ErrUnknownOutcome)
}

func tablePath(table, key string) string {
	return "tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}

// Get reads a row.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	resp, err := c.do(ctx, apiRequest{method: http.MethodGet, path: tablePath(table, key)})
	if err != nil {
		return Row{}, err
	}
	return Row{Key: key, Data: resp.body, ETag: resp.header.Get("ETag")}, nil
}

// Put writes a row if the condition holds and returns the new ETag.
func (c *Client) Put(ctx context.Context, table, key string, data []byte, cond Condition) (string, error) {
	h := map[string]string{"Content-Type": "application/octet-stream"}
	if cond.IfMatch != "" {
		h["If-Match"] = cond.IfMatch
	}
	if cond.IfNoneMatch {
		h["If-None-Match"] = "*"
	}
	resp, err := c.do(ctx, apiRequest{method: http.MethodPut, path: tablePath(table, key), header: h, body: data})
	return resp.header.Get("ETag"), err
}

// Delete removes a row. It is not an error if the row does not exist.
func (c *Client) Delete(ctx context.Context, table, key string) error {
	_, err := c.do(ctx, apiRequest{method: http.MethodDelete, path: tablePath(table, key)})
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// List returns at most limit rows in the order of their keys. The keys have the
// given prefix and are greater than after.
func (c *Client) List(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	resp, err := c.do(ctx, apiRequest{method: http.MethodGet, path: "tables/" + url.PathEscape(table), query: q})
	if err != nil {
		return nil, err
	}
	// An empty row takes twenty times as much memory as its text. Each row has three
	// fields.
	if n := bytes.Count(resp.body, []byte(",")); limit > 0 && n > 3*limit {
		return nil, fmt.Errorf("list of table %q with at most %d rows: %w", table, limit, ErrTooLarge)
	}
	var values []Row
	if err := json.Unmarshal(resp.body, &values); err != nil {
		return nil, fmt.Errorf("decode list of table %q: %w", table, err)
	}
	return values, nil
}

// Transact applies all operations or none. They may have taken effect if the
// error matches ErrUnknownOutcome; after any other error none did.
func (c *Client) Transact(ctx context.Context, t Transaction) error {
	body, err := json.Marshal(&t)
	if err != nil {
		return fmt.Errorf("encode transaction: %w", err)
	}
	_, err = c.do(ctx, apiRequest{method: http.MethodPost, path: "transactions", body: body, header: map[string]string{"Content-Type": "application/json"}})
	return err
}

// PutObject stores an object. Objects are named by the hash of their content, so
// storing one twice is harmless.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, apiRequest{method: http.MethodPut, path: "objects/" + url.PathEscape(name), body: data})
	return err
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.do(ctx, apiRequest{method: http.MethodGet, path: "objects/" + url.PathEscape(name)})
	return resp.body, err
}
