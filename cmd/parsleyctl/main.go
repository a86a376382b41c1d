// Command parsleyctl is the command-line tool for operators of parsleyturn.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"parsleyturn/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
