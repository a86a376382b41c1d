package executor

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/rawtarget"
	"parsleyturn/internal/targetstatus"
)

// uploadSize is more than the socket buffers between a node and its target hold.
const uploadSize = 8 << 20

// Guards against a broken response that is recorded as that of a ticket, and that each
// retry gets as a complete one (MIXED), against "not run" after it (REFUSED), and against
// a retry that runs the request again (TWICE).
func TestBrokenResponseIsNotRecorded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + headers.ContextToken + ": ID\r\n"
	for name, response := range map[string]rawtarget.Response{
		"reset during the upload":         {Bytes: head + "\r\npart", Early: true, End: rawtarget.Reset},
		"reset during the upload, large":  {Bytes: head + "\r\n" + strings.Repeat("x", 2*smallResponse), Early: true, End: rawtarget.Reset},
		"reset after the upload":          {Bytes: head + "\r\npart", End: rawtarget.Reset},
		"status 999":                      {Bytes: strings.Replace(head, "200", "999", 1) + "Content-Length: 5\r\n\r\nwhole"},
		"blank in the name of the length": {Bytes: head + "Content-Length : 5\r\n\r\nwhole, and more"},
		"refusal with a broken head":      {Bytes: strings.Replace(head, "200", "503", 1) + headers.Outcome + ": not-run\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestExecutor(t, 10)
			var runs atomic.Int32
			address := rawtarget.Start(t, headers.ContextToken, func(*http.Request) rawtarget.Response {
				runs.Add(1)
				return response
			})
			assert.NilError(t, r.targetStatus.HandleAnnouncement(targetstatus.Announcement{Service: "s", Address: address, Slots: 10, Connections: 50, State: targetstatus.Ready, Incarnation: "2"}))
			tk := r.issueTestTicket(t)
			for _, want := range []apierror.Code{apierror.TargetFailed, apierror.TicketUnknown} {
				req := newRequest("/x", tk)
				req.Method, req.RemainingMicros = http.MethodPost, 3_000_000
				resp, err := r.Execute(context.Background(), req, make([]byte, uploadSize))
				if err == nil {
					body, _ := io.ReadAll(resp.Body)
					t.Fatalf("got status %d and %.20q", resp.Status, body)
				}
				assert.Equal(t, apierror.From(err).Code, want, "%v", err)
				assert.Equal(t, apierror.From(err).Outcome, apierror.Unknown)
			}
			assert.Equal(t, runs.Load(), int32(1))
		})
	}
}
