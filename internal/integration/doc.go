// Package integration holds the tests that run entries as processes against
// the stand-ins of the platform, behind a proxy that injects faults.
//
// # Usage
//
//	go test ./internal/integration
package integration
