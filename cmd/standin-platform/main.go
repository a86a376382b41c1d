// Command standin-platform is an in-memory substitute for the platform's table
// service and object store. It is for tests only.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"parsleyturn/internal/standin/platform"
)

func main() {
	app := kingpin.New("standin-platform", "In-memory stand-in for the platform's table service and object store, for tests.")
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:9000").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	srv := &http.Server{Addr: *listen, Handler: platform.New(), ReadHeaderTimeout: 10 * time.Second}
	if err := srv.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}
