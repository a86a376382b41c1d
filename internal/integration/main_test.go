package integration

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// TestMain builds the programs that the tests start, and removes them at the
// end.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "parsleyturn-test-")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir, "parsleyturn/cmd/parsleyturnd", "parsleyturn/cmd/parsleyctl", "parsleyturn/cmd/standin-target", "parsleyturn/cmd/standin-platform")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs under test failed: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
