package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/platform"
	"parsleyturn/platform/platformtest"
)

// Guards against a node that is ended by a SIGHUP while it starts, as when the
// settings file changes at that moment: the process waits for its settings, which a
// named pipe holds back until the signal has been sent.
func TestHangupWhileStartingIsSurvived(t *testing.T) {
	dir := t.TempDir()
	binary, file, pipe := filepath.Join(dir, "parsleyturnd"), filepath.Join(dir, "settings"), filepath.Join(dir, "pipe")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	settings := platformtest.VMSettings{
		Name: "n1", Zone: "z1", Service: "s", IP: "127.0.0.1", CallerAddress: "127.0.0.1:7100", ReadyAddress: "127.0.0.1:7101", ControlAddress: "127.0.0.1:7102",
		LinkPort: 7103, GossipPort: 7104, StoreAddress: "127.0.0.1:7105", Heartbeat: time.Second, GracePeriod: 6 * time.Second,
	}
	assert.NilError(t, settings.WriteSettings(file))
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))

	var stderr bytes.Buffer
	node := exec.Command(binary, "mesh", "--check")
	node.Env, node.Stderr = append(os.Environ(), platform.SettingsFileVar+"="+pipe), &stderr
	assert.NilError(t, node.Start())
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process reads its settings
	assert.NilError(t, err)
	assert.NilError(t, node.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = w.Write(text)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.NilError(t, node.Wait(), stderr.String())
}
