// Package baseline is the reference system of the result tables: a plain HTTP
// forwarder with round robin over a fixed list of targets, naive retries at every
// hop, no admission control and no tickets. Callers and the sub-calls of targets
// use it in the same way.
package baseline

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"parsleyturn/internal/tomlfile"
)

// Config configures a forwarder.
type Config struct {
	// Retries is the number of retries after a failure. Default 3.
	Retries *int    `toml:"retries"`
	Routes  []Route `toml:"route"`
}

// Route forwards requests with a path prefix to its targets by round robin.
type Route struct {
	PathPrefix string   `toml:"path_prefix"`
	Targets    []string `toml:"targets"`
}

// DefaultRetries is the number of retries in the result tables.
const DefaultRetries = 3

// Load reads and validates a configuration file.
func Load(path string) (Config, error) {
	var c Config
	content, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("read baseline configuration: %w; pass the path of a TOML file", err)
	}
	if err := tomlfile.Decode(path, content, &c); err != nil {
		return c, err
	}
	return c, c.Validate(path)
}

// Validate reports all problems. name is the file name in errors.
func (c *Config) Validate(name string) error {
	p := &tomlfile.Checker{File: name}
	p.Check(c.Retries == nil || *c.Retries >= 0, "retries", "set 0 or more", "negative")
	p.Check(len(c.Routes) > 0, "route", "add a [[route]] table", "missing")
	for i, r := range c.Routes {
		prefix := fmt.Sprintf("route[%d].", i)
		p.Check(strings.HasPrefix(r.PathPrefix, "/"), prefix+"path_prefix", `use a form like "/bookings/"`, "%q does not start with a slash", r.PathPrefix)
		p.Check(len(r.Targets) > 0, prefix+"targets", "list addresses of targets", "missing")
		for _, t := range r.Targets {
			_, _, err := net.SplitHostPort(t)
			p.Check(err == nil, prefix+"targets", `use a form like "127.0.0.1:9000"`, "%q is not an address", t)
		}
	}
	return p.Err()
}

type route struct {
	Route
	next atomic.Uint64
}

// Forwarder is an http.Handler that forwards requests to targets.
type Forwarder struct {
	routes    []*route
	retries   int
	transport *http.Transport
}

// New returns a forwarder for a valid configuration.
func New(c Config) *Forwarder {
	f := &Forwarder{retries: DefaultRetries, transport: &http.Transport{
		MaxIdleConnsPerHost: 1024, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	if c.Retries != nil {
		f.retries = *c.Retries
	}
	for _, r := range c.Routes {
		f.routes = append(f.routes, &route{Route: r})
	}
	return f
}

// Close closes idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

func (f *Forwarder) match(path string) *route {
	var best *route
	for _, r := range f.routes {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// ServeHTTP forwards a request and retries it after an error or a 5xx status.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route := f.match(r.URL.Path)
	if route == nil {
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "request body is incomplete", http.StatusBadRequest)
		return
	}
	var resp *http.Response
	for attempt := 0; attempt <= f.retries && r.Context().Err() == nil; attempt++ {
		if resp != nil {
			resp.Body.Close()
		}
		target := route.Targets[(route.next.Add(1)-1)%uint64(len(route.Targets))]
		resp, err = f.send(r.Context(), r, target, body)
		if err == nil && resp.StatusCode < 500 {
			break
		}
	}
	if resp == nil {
		http.Error(w, fmt.Sprintf("target failed: %v", err), http.StatusBadGateway)
		return
	}
	writeResponse(w, resp)
}

func (f *Forwarder) send(ctx context.Context, r *http.Request, target string, body []byte) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	copyHeader(out.Header, r.Header)
	resp, err := f.transport.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// writeResponse forwards the response. If its body is truncated, it aborts the
// connection so that the caller does not take the response for complete.
func writeResponse(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	copyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyHeader copies all fields except the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		default:
			to[name] = values
		}
	}
}

// Serve serves a handler on all addresses until ctx is done.
func Serve(ctx context.Context, h http.Handler, addresses []string) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	errs := make(chan error, len(addresses))
	started := 0
	var listenErr error
	for _, a := range addresses {
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp", a)
		if err != nil {
			listenErr = fmt.Errorf("listen for baseline node: %w; choose a free address", err)
			break
		}
		started++
		go func() { errs <- srv.Serve(l) }()
	}
	if listenErr == nil {
		<-ctx.Done()
	}
	_ = srv.Close()
	for range started {
		if err := <-errs; !errors.Is(err, http.ErrServerClosed) {
			listenErr = errors.Join(listenErr, err)
		}
	}
	return listenErr
}
