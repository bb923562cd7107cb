// Package rendezvous assigns keys to nodes by rendezvous hashing, weighted by
// the size of the nodes. All processes with the same list of nodes assign a key
// to the same node. When a node is added or removed, only the keys that it
// gains or loses move.
//
// # Usage
//
//	for _, node := range nodes {
//		score := rendezvous.Score(key, node.Name, node.Size)
//		// The node with the highest score gets the key.
//	}
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a node for a key; the node with the highest score
// gets the key. The size must be above 0. The share of keys that a node gets is
// proportional to its size.
func Score(key, node string, size float64) float64 {
	return -size / math.Log(Uniform(key, node))
}

// Uniform returns a uniformly distributed number in (0, 1) that depends only on
// the pair of names, so all processes compute the same one.
func Uniform(key, node string) float64 {
	const mantissaBits = 53
	sum := xxhash.Sum64String(key + "\x00" + node)
	return (float64(sum>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
