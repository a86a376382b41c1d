package baseline

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func startForwarder(t *testing.T, h http.HandlerFunc) string {
	target := httptest.NewServer(h)
	t.Cleanup(target.Close)
	c := Config{Routes: []Route{{PathPrefix: "/", Targets: []string{target.Listener.Addr().String()}}}}
	assert.NilError(t, c.Validate("test"))
	f := New(c)
	node := httptest.NewServer(f)
	t.Cleanup(func() {
		f.Close()
		node.Close()
	})
	return node.URL
}

// Guards against a baseline that retries more or fewer than three times when a
// target returns 503.
func TestThreeNaiveRetries(t *testing.T) {
	n := 0
	url := startForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		n++
		body, _ := io.ReadAll(r.Body)
		assert.Check(t, string(body) == "order")
		w.WriteHeader(503)
	})
	resp, err := http.Post(url+"/a", "", strings.NewReader("order"))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, n, 4)
}

// Guards against a truncated response that the caller takes for complete: the
// target closes the connection in the middle of the body.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	url := startForwarder(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100000))
		panic(http.ErrAbortHandler)
	})
	resp, err := http.Get(url + "/a")
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	assert.Assert(t, err != nil)
}
