package rendezvous_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// TestShares guards against shares that are not proportional to the sizes, and
// against things that move between the remaining nodes when a node is removed.
func TestShares(t *testing.T) {
	sizes := map[string]float64{"a": 1, "b": 2, "c": 5}
	winner := func(thing string, without string) string {
		best, bestScore := "", math.Inf(-1)
		for node, size := range sizes {
			if score := rendezvous.Score(thing, node, size); node != without && score > bestScore {
				best, bestScore = node, score
			}
		}
		return best
	}
	const things = 20_000
	count := map[string]int{}
	for num := range things {
		thing := fmt.Sprint("thing-", num)
		best := winner(thing, "")
		count[best]++
		if left := winner(thing, "b"); best != "b" && left != best {
			t.Fatalf("%s moves from %s to %s when b is removed", thing, best, left)
		}
	}
	for node, size := range sizes {
		const tolerance = 0.02
		if share, want := float64(count[node])/things, size/8; math.Abs(share-want) > tolerance {
			t.Errorf("%s wins %.3f of the things, want %.3f", node, share, want)
		}
	}
}
