package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoServer returns the address of a server that echoes what it receives.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func roundTrip(c net.Conn, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against a proxy that injects other faults than configured: a rule with
// Drop that lets data pass, or that loses the data sent meanwhile instead of
// delivering it once the rule is cleared, and a blackholed connection that still
// delivers data, is closed, or affects new connections.
func TestConnectionFaults(t *testing.T) {
	p := New()
	t.Cleanup(p.Close)
	address, err := p.ListenTCP("127.0.0.1:0", startEchoServer(t))
	assert.NilError(t, err)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, roundTrip(c, time.Second))

	p.SetRules(func(_, _ string) Rule { return Rule{Drop: true} })
	assert.ErrorContains(t, roundTrip(c, 50*time.Millisecond), "timeout")
	p.SetRules(func(_, _ string) Rule { return Rule{} })
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.NilError(t, err, "data sent while the connection was stalled is not delivered after the rule is cleared")

	assert.Equal(t, p.Blackhole("", ""), 1)
	assert.ErrorContains(t, roundTrip(c, 50*time.Millisecond), "timeout")
	other, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer other.Close()
	assert.NilError(t, roundTrip(other, time.Second), "a new connection does not work while another one is blackholed")
}
