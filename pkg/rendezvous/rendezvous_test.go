package rendezvous_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// TestShares guards against shares that are not proportional to the sizes, and
// against keys that move between the remaining nodes when a node is removed.
func TestShares(t *testing.T) {
	sizes := map[string]float64{"a": 1, "b": 2, "c": 5}
	winner := func(key string, without string) string {
		best, bestScore := "", math.Inf(-1)
		for node, size := range sizes {
			if score := rendezvous.Score(key, node, size); node != without && score > bestScore {
				best, bestScore = node, score
			}
		}
		return best
	}
	const keys = 20_000
	count := map[string]int{}
	for num := range keys {
		key := fmt.Sprint("thing-", num)
		best := winner(key, "")
		count[best]++
		if moved := winner(key, "b"); best != "b" && moved != best {
			t.Fatalf("%s moves from %s to %s when b is removed", key, best, moved)
		}
	}
	for node, size := range sizes {
		const tolerance = 0.02
		if share, want := float64(count[node])/keys, size/8; math.Abs(share-want) > tolerance {
			t.Errorf("%s gets %.3f of the keys, want %.3f", node, share, want)
		}
	}
}
