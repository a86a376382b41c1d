// Command parsleysoak runs real nodes under random faults and checks that the
// guarantees to callers and targets hold. It exits with 1 if a guarantee was
// violated or the command line is invalid, and with 2 if a run could not be
// started or was interrupted.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"parsleyturn/internal/soak"
)

func main() {
	app := kingpin.New("parsleysoak", "Run nodes under random faults and check their guarantees.")
	binary := app.Flag("binary", "Path of the parsleyturnd binary.").Default("target/parsleyturnd").String()
	seed := app.Flag("seed", "First seed; 0 chooses a random one.").Default("0").Uint64()
	count := app.Flag("count", "Number of runs, with consecutive seeds, one after the other.").Default("1").Int()
	vms := app.Flag("vms", "Number of VMs, at most 200.").Default("6").Int()
	faultDuration := app.Flag("faults", "Duration of fault injection in each run.").Default("20s").Duration()
	dir := app.Flag("dir", "Directory for settings and logs; the default is a new temporary directory.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed, err := runSeeds(ctx, *binary, *seed, *count, *vms, *faultDuration, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "parsleysoak:", err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

func runSeeds(ctx context.Context, binary string, seed uint64, count, vms int, faultDuration time.Duration, dir string) (int, error) {
	if vms < 2 || vms > 200 {
		return 0, fmt.Errorf("number of VMs is %d; use 2 to 200", vms)
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		return 0, err
	}
	if _, err := os.Stat(binary); err != nil {
		return 0, fmt.Errorf("%w; build it with 'go build -o target/ ./cmd/parsleyturnd' or set --binary", err)
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "parsleysoak-"); err != nil {
			return 0, err
		}
	}
	if seed == 0 {
		seed = rand.Uint64N(1 << 32)
	}
	failed := 0
	for i := range uint64(count) {
		logs := filepath.Join(dir, fmt.Sprint("seed-", seed+i))
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return failed, err
		}
		report, err := soak.Run(ctx, soak.Config{Seed: seed + i, FaultDuration: faultDuration, VMs: vms, Binary: binary, Dir: logs})
		if err != nil {
			return failed, err
		}
		if ctx.Err() != nil {
			return failed, ctx.Err()
		}
		fmt.Printf("seed %d: %d faults, responses by status %v, %d violated guarantees\n", report.Seed, len(report.Faults), report.Statuses, len(report.Violations))
		if len(report.Violations) == 0 {
			_ = os.RemoveAll(logs) // logs are kept only for failed runs
			continue
		}
		failed++
		for _, line := range report.Violations {
			fmt.Println("  ", line)
		}
		fmt.Println("   faults:")
		for _, line := range report.Faults {
			fmt.Println("    ", line)
		}
		fmt.Println("   logs:", logs)
	}
	return failed, nil
}
