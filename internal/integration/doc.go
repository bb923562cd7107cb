// Package integration holds the tests that run entries as processes against
// the stand-ins of the platform, behind proxies that inject faults.
//
// # Usage
//
//	go test ./internal/integration
package integration
