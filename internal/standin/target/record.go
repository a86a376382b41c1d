package target

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Result is the state or outcome of a request at the target.
type Result string

// Results of a request.
const (
	Running   Result = "running"
	Completed Result = "completed"
	// Canceled means that the work or the response was stopped after the work
	// had started.
	Canceled Result = "canceled"
	// CanceledQueued means that the request was canceled before its work
	// started.
	CanceledQueued Result = "canceled-queued"
	// Shed means that the request was rejected because no slot was free.
	Shed Result = "shed"
	// SubCallFailed means that the work was aborted because a sub-call failed.
	SubCallFailed Result = "sub-call-failed"
	// Truncated means that the work was done, but a fault closed the connection
	// before the response or in the middle of it.
	Truncated Result = "cut"
)

// Record describes one request received by the target. Times are µs since the
// Unix epoch; StartedMicros is 0 if the work did not start.
type Record struct {
	RequestID      string `json:"request_id"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	ReceivedMicros int64  `json:"received_us"`
	StartedMicros  int64  `json:"started_us"`
	EndedMicros    int64  `json:"ended_us"`
	Result         Result `json:"result"`
}

// Counters are the totals since the last reset.
type Counters struct {
	Received int64            `json:"received"`
	Started  int64            `json:"started"`
	Results  map[Result]int64 `json:"results"`
	// DuplicatePosts counts executions of POST requests beyond the first of
	// each request ID and path.
	DuplicatePosts int64 `json:"doubled_posts"`
	// Dropped counts requests that were not recorded because the maximum number
	// of records was reached.
	Dropped       int64 `json:"dropped"`
	SubCalls      int64 `json:"sub_calls"`
	SubCallErrors int64 `json:"sub_call_errors"`
	// WorkMicros is the total time between the start and the end of executions,
	// including the sending of their responses, in µs; WastedMicros is the part
	// spent on requests that did not complete.
	WorkMicros   int64 `json:"work_us"`
	WastedMicros int64 `json:"wasted_us"`
}

type recorder struct {
	mu           sync.Mutex
	max          int
	records      []*Record
	startedPosts map[string]bool
	counters     Counters
	// file is nil unless RecordFile is set.
	file *os.File
}

func newRecorder(max int) *recorder {
	r := &recorder{max: max}
	r.reset()
	return r
}

func (r *recorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records, r.startedPosts = nil, map[string]bool{}
	r.counters = Counters{Results: map[Result]int64{}}
}

func (r *recorder) receive(id, method, path string) *Record {
	rec := &Record{RequestID: id, Method: method, Path: path, ReceivedMicros: time.Now().UnixMicro(), Result: Running}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Received++
	if len(r.records) < r.max {
		r.records = append(r.records, rec)
	} else {
		r.counters.Dropped++
	}
	return rec
}

func (r *recorder) start(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.StartedMicros = time.Now().UnixMicro()
	r.counters.Started++
	if r.file != nil {
		line, _ := json.Marshal(rec)
		_, _ = r.file.Write(append(line, '\n'))
	}
	if rec.Method != "POST" {
		return
	}
	key := rec.Path + " " + rec.RequestID
	if r.startedPosts[key] {
		r.counters.DuplicatePosts++
	}
	r.startedPosts[key] = true
}

func (r *recorder) end(rec *Record, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.EndedMicros, rec.Result = time.Now().UnixMicro(), result
	r.counters.Results[result]++
	if rec.StartedMicros == 0 {
		return
	}
	work := rec.EndedMicros - rec.StartedMicros
	r.counters.WorkMicros += work
	if result != Completed {
		r.counters.WastedMicros += work
	}
}

func (r *recorder) countSubCall(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.SubCalls++
	if failed {
		r.counters.SubCallErrors++
	}
}

// snapshot returns copies of the records with the given method, or of all
// records if method is empty.
func (r *recorder) snapshot(method string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Record, 0, len(r.records))
	for _, rec := range r.records {
		if method == "" || rec.Method == method {
			out = append(out, *rec)
		}
	}
	return out
}

func (r *recorder) totals() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counters
	c.Results = make(map[Result]int64, len(r.counters.Results))
	for k, v := range r.counters.Results {
		c.Results[k] = v
	}
	return c
}
