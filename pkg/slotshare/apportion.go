package slotshare

// Claim is what one process may get of a pool of slots.
type Claim struct {
	// Size weighs the process against the others; below 1 counts as 1.
	Size int
	// Demand is the number of slots that it can use.
	Demand int
}

// Apportion divides the slots among the claims and returns the part of each.
// No part is above its demand, the parts add up to at most the slots, and all
// slots are given while there is demand. Claims below their share by size get
// their demand; the others share the rest by size, to within one slot.
func Apportion(slots int, claims []Claim) []int {
	parts := make([]int, len(claims))
	for left := slots; left > 0; left-- {
		best := -1
		for i, cl := range claims {
			if parts[i] >= cl.Demand {
				continue
			}
			// Compares (parts+1)/size without division.
			if best < 0 || (parts[i]+1)*max(1, claims[best].Size) < (parts[best]+1)*max(1, cl.Size) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		parts[best]++
	}
	return parts
}
