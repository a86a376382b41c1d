// Package integration runs the real programs as separate processes behind a
// fault-injecting proxy and tests the deployment as a whole. Run the short set
// of tests with
//
//	go test ./internal/integration
//
// and the full fault matrix with
//
//	go test ./internal/integration -run TestFaultMatrix -matrix full -timeout 40m
//
// Run the full matrix of control actions, and write its report in Markdown,
// with
//
//	go test ./internal/integration -run TestControlMatrix -matrix full -timeout 40m -control-report FILE
package integration
