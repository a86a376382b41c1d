package platformclient

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/memtest"
)

// A platform, or what responds in its place, sends bytes that do not end. Guards against
// a node that keeps them until it runs out of memory.
func TestMemoryWhilePlatformSendsWithoutEnd(t *testing.T) {
	memtest.SkipIfShort(t)
	ok := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, response := range map[string]memtest.Response{
		"head":            {Prefix: "HTTP/1.1 200 OK\r\nX-Long: ", Filler: "a"},
		"fields":          {Prefix: "HTTP/1.1 200 OK\r\n", Filler: "X-F: 1\r\n"},
		"body":            {Prefix: ok, Filler: "a"},
		"empty rows":      {Prefix: ok + "[{}" + strings.Repeat(",{}", 500<<10) + "]"},
		"numbers as rows": {Prefix: ok + "[1" + strings.Repeat(",1", 700<<10) + "]"},
		"one value":       {Prefix: ok + `[{"value":"`, Filler: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						_, _ = c.Read(make([]byte, 4096))
						deadline := time.Now().Add(memtest.Duration)
						if response.Filler == "" {
							_ = c.SetDeadline(deadline)
							_, _ = c.Write([]byte(response.Prefix))
							return
						}
						memtest.Flood(c, response.Prefix, response.Filler, deadline)
					}()
				}
			}()
			client, err := New("http://" + l.Addr().String())
			assert.NilError(t, err)
			client.SetMaxResponse(2 << 20)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			peak := memtest.Peak(t, func() {
				_, err := client.List(ctx, "bootstrap", "", "", 256)
				assert.Check(t, err != nil)
				_, _ = client.Get(ctx, "config", "current")
				_, _ = client.GetObject(ctx, "hash")
			})
			t.Logf("%s: %d KB", name, peak>>10)
			assert.Assert(t, peak < memtest.Bound)
		})
	}
}
