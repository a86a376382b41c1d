package soak

import (
	"io"
	"strings"
	"time"
)

const (
	// An upload begins with more bytes than a node buffers. Its other parts follow with
	// pauses, so that a target can respond before the end.
	uploadStartSize = 72 << 10
	uploadPartSize  = 4 << 10
	uploadParts     = 4
	uploadPause     = 40 * time.Millisecond
	// Each uploadInterval-th order of a client is an upload.
	uploadInterval = 4
)

// upload is the body of a request that is sent slowly.
type upload struct {
	reader io.Reader
	parts  int
}

func newUpload() *upload {
	return &upload{strings.NewReader(strings.Repeat("u", uploadStartSize)), uploadParts}
}

func (u *upload) Read(p []byte) (int, error) {
	n, err := u.reader.Read(p)
	if n > 0 || err != io.EOF || u.parts == 0 {
		return n, err
	}
	time.Sleep(uploadPause)
	u.parts--
	u.reader = strings.NewReader(strings.Repeat("u", uploadPartSize))
	return u.reader.Read(p)
}
