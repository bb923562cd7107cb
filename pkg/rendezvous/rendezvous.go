// Package rendezvous shares things out over nodes by rendezvous hashing,
// weighted by the size of the nodes: every process that knows the same nodes
// gives a thing to the same one, and when a node comes or goes only the things
// that it wins or loses move.
//
// # Usage
//
//	for _, node := range nodes {
//		score := rendezvous.Score(thing, node.Name, node.Size)
//		// The node with the highest score gets the thing.
//	}
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score ranks a node of a size above 0 for a thing; the highest score wins. The
// share of things that a node wins is proportional to its size.
func Score(thing, node string, size float64) float64 {
	return -size / math.Log(Uniform(thing, node))
}

// Uniform returns a number in (0, 1) for a pair of names, the same everywhere.
func Uniform(thing, node string) float64 {
	const mantissaBits = 53
	sum := xxhash.Sum64String(thing + "\x00" + node)
	return (float64(sum>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
