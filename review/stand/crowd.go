package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFds is limits.maxFds of the settings.
	maxFds = 4100
	// usualRate is the number of users per second that come to the crowded machine,
	// each with a connection of its own, and burstFactor that of the burst.
	usualRate   = 53
	burstFactor = 1.8
	burstLength = 18 * time.Second
)

// limitFds sets the limit of descriptors of the node's process.
func (m *machine) limitFds() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := unix.Rlimit{Cur: maxFds, Max: maxFds}
	return unix.Prlimit(m.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// users are clients that each open a connection, send a request, and leave the
// connection open for further ones.
type users struct {
	machine  *machine
	mu       sync.Mutex
	conns    []net.Conn
	sent     atomic.Int64
	answered atomic.Int64
}

// visit sends the request of one user and records its outcome.
func (u *users) visit() {
	u.sent.Add(1)
	begin, id := time.Now(), fmt.Sprintf("%016x", rand.Uint64())
	status, err := u.request(id)
	if err == nil && status == http.StatusOK {
		u.answered.Add(1)
	}
	u.machine.lab.record.printAt(begin, "request %s GET %s of a user sent to %s: status %d, error %v, after %.0f ms", id, browse, u.machine.spec.name, status, err, time.Since(begin).Seconds()*1000)
}

func (u *users) request(id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", u.machine.addr(portOutbound), time.Second)
	if err != nil {
		return 0, err
	}
	u.mu.Lock()
	u.conns = append(u.conns, c)
	u.mu.Unlock()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: hulo84.example\r\nParsleyturn-Request-Id: %s\r\nParsleyturn-Deadline-Ms: 5000\r\n\r\n", browse, id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (u *users) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}

var threeMachines = []machineSpec{
	{"kumasi-a-1", "kumasi-a", "directory"}, {"kumasi-b-1", "kumasi-b", "directory"}, {"kumasi-a-2", "kumasi-a", "bookings"},
}

// crowd: many users come to a machine at once, while the nodes of the others are
// restarted one after the other. When the users have left, bookings are sent to those.
func crowd(rec *record, trouble bool) ([]string, error) {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < 2*maxFds {
		return nil, fmt.Errorf("this program may open %d descriptors and needs %d", own.Cur, 2*maxFds)
	}
	l, err := newLab(rec, []byte(config), threeMachines)
	if err != nil {
		return nil, err
	}
	defer l.stop()
	if err := l.start([]string{browse, book}); err != nil {
		return nil, err
	}
	crowded := l.machines[2]
	if err := crowded.limitFds(); err != nil {
		return nil, err
	}
	begin := time.Now()
	at := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
	u := &users{machine: crowded}
	stopUsers := make(chan struct{})
	go func() {
		for next := begin; ; {
			rate := float64(usualRate)
			if since := time.Since(begin); trouble && since > 30*time.Second && since < 30*time.Second+burstLength {
				rate *= burstFactor
			}
			next = next.Add(time.Duration(float64(time.Second) / rate))
			select {
			case <-stopUsers:
				return
			case <-time.After(time.Until(next)):
				go u.visit()
			}
		}
	}()
	var bookings, browsing []answer
	booking := func(n int) request {
		return request{at: l.machines[n%2], method: http.MethodPost, path: book, body: []byte("{}"), deadline: 5 * time.Second}
	}
	stop := make(chan struct{})
	before := l.load(stop, 2, booking)
	at(20)
	close(stop)
	bookings = before()
	rec.printf("bookings before: %s", shares(bookings))
	at(61)
	stop = make(chan struct{})
	during := l.load(stop, 5, booking)
	at(61.7)
	for i, m := range l.machines[:2] {
		m.signal(syscall.SIGTERM)
		<-m.done
		time.Sleep(500 * time.Millisecond)
		if err := m.startNode(); err != nil {
			return nil, err
		}
		rec.printf("descriptors of %s: %d", crowded.spec.name, fds(crowded))
		at(66.2 + 4.5*float64(i))
	}
	at(75)
	close(stop)
	close(stopUsers)
	rec.printf("descriptors of %s: %d; %d users came, %d were served", crowded.spec.name, fds(crowded), u.sent.Load(), u.answered.Load())
	d := during()
	rec.printf("bookings during the last seconds: %s", shares(d))
	bookings = append(bookings, d...)
	u.leave()
	at(82)
	rec.printf("the users have left; descriptors of %s: %d", crowded.spec.name, fds(crowded))
	stop = make(chan struct{})
	after := l.load(stop, 25, booking)
	other := l.load(stop, 20, func(n int) request {
		return request{at: l.machines[n%3], method: http.MethodGet, path: browse, deadline: 5 * time.Second}
	})
	at(97)
	close(stop)
	a := after()
	browsing = other()
	bookings = append(bookings, a...)
	ready := l.ready(crowded)
	rec.printf("afterwards, bookings: %s; browsing: %s; %s says that it is ready: %v", shares(a), shares(browsing), crowded.spec.name, ready)
	allSent := len(bookings) + len(browsing) + int(u.sent.Load())
	allServed := served(bookings) + served(browsing) + int(u.answered.Load())
	what := fmt.Sprintf("in the whole run, %d of %d bookings were served, and %d of %d of all requests; after the users had left, %d of %d bookings", served(bookings), len(bookings), allServed, allSent, served(a), len(a))
	rec.printf("%s", what)
	if float64(served(bookings))/float64(len(bookings)) < 0.25*float64(allServed)/float64(allSent) {
		return []string{"Starved: " + what}, nil
	}
	return nil, nil
}

func (l *lab) ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(portReady)+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func served(answers []answer) int {
	n := 0
	for _, a := range answers {
		if a.status == http.StatusOK && a.err == nil {
			n++
		}
	}
	return n
}

func shares(answers []answer) string {
	return fmt.Sprintf("%d of %d served", served(answers), len(answers))
}
